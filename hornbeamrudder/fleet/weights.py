"""Plans weight loads and role changes for the weight store's throughput."""

import collections
import dataclasses
import math
from typing import Mapping, Sequence

from ..core import ids
from ..core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model of a service and the engines that it needs.

    Models with a more urgent `rank` get engines first.

    Attributes
    ----------
    bytes : int
        Size of the weights in bytes.
    engines : int
        Number of engines that are to serve the model.
    """

    name: str
    service: ids.ServiceName
    rank: types.Rank
    bytes: int
    engines: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """A model engine, which can serve one model at a time.

    Attributes
    ----------
    serves : str
        Model that the engine serves or is to serve, '' for none.
    present : frozenset of str
        Models whose weights the engine has.
    loading : str
        Model whose weights are being loaded, '' for none.
    """

    id: ids.WorkerId
    serves: str
    present: frozenset[str]
    loading: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Role changes and weight loads to order now, as model by engine."""

    serve: Mapping[ids.WorkerId, str]
    load: Mapping[ids.WorkerId, str]


def max_concurrent_downloads(
    store_bytes_per_s: float, model_bytes: int, max_download_s: float
) -> int:
    """Return how many downloads may run at once within `max_download_s`.

    Downloads share the throughput of the store: with more of them at once,
    the last one would not finish earlier and the first one would finish later.
    """
    if model_bytes <= 0:
        return 1
    return max(1, int(store_bytes_per_s * max_download_s / model_bytes))


def plan(
    models: Sequence[Model],
    engines: Sequence[Engine],
    store_bytes_per_s: float,
    max_download_s: float,
    store_busy: bool = False,
) -> Plan:
    """Assign models to engines and choose the weights to load.

    Models are served by rank, then by the share of their engines that is
    missing. Engines that have the weights are preferred, then idle engines.
    An engine is taken from another model only if that has more than it needs.

    Parameters
    ----------
    store_busy : bool
        Whether the weight store refused a download or is slow; if so, only
        role changes that need no download are planned.
    """
    assignment = _Assignment(models, engines)
    for model in _by_urgency(models, assignment.count_by_model):
        while assignment.lacks_engines(model):
            engine = assignment.take_engine(model, with_weights=True)
            if engine is None:
                break
            assignment.serve[engine.id] = model.name
    if store_busy:
        return Plan(assignment.serve, {})
    loading_count = sum(bool(engine.loading) for engine in engines)
    loads: dict[ids.WorkerId, str] = {}
    for model in _by_urgency(models, assignment.count_by_model):
        limit = max_concurrent_downloads(
            store_bytes_per_s, model.bytes, max_download_s
        )
        for engine in assignment.without_weights(model):
            if loading_count + len(loads) >= limit:
                break
            loads[engine.id] = model.name
        while (
            assignment.lacks_engines(model)
            and loading_count + len(loads) < limit
        ):
            taken = assignment.take_engine(model, with_weights=False)
            if taken is None:
                break
            assignment.serve[taken.id] = model.name
            loads[taken.id] = model.name
    return Plan(assignment.serve, loads)


def _by_urgency(
    models: Sequence[Model], count_by_model: Mapping[str, int]
) -> list[Model]:
    def order(model: Model) -> tuple[int, float, str]:
        missing = max(0, model.engines - count_by_model.get(model.name, 0))
        missing_share = missing / model.engines if model.engines else 0.0
        return (model.rank, -missing_share, model.name)

    return sorted(models, key=order)


class _Assignment:
    """Assignment of engines to models while a plan is made."""

    def __init__(
        self, models: Sequence[Model], engines: Sequence[Engine]
    ) -> None:
        self.serve: dict[ids.WorkerId, str] = {}
        self.count_by_model = collections.Counter(
            engine.loading or engine.serves for engine in engines
        )
        self._desired_by_model = {
            model.name: model.engines for model in models
        }
        self._engines = engines

    def lacks_engines(self, model: Model) -> bool:
        """Return whether the model has fewer engines than it needs."""
        return self.count_by_model[model.name] < model.engines

    def without_weights(self, model: Model) -> list[Engine]:
        """Return engines that are to serve the model but lack its weights."""
        return [
            engine
            for engine in self._engines
            if self._served_model(engine) == model.name
            and model.name not in engine.present
            and not engine.loading
        ]

    def take_engine(self, model: Model, with_weights: bool) -> Engine | None:
        """Assign an engine that is idle or whose model has a surplus."""
        available = [
            engine
            for engine in self._engines
            if not engine.loading
            and engine.id not in self.serve
            and engine.serves != model.name
            and (not with_weights or model.name in engine.present)
            and self._surplus(engine.serves) > 0
        ]
        if not available:
            return None
        chosen = max(
            available,
            key=lambda engine: (self._surplus(engine.serves), engine.id),
        )
        self.count_by_model[chosen.serves] -= 1
        self.count_by_model[model.name] += 1
        return chosen

    def _served_model(self, engine: Engine) -> str:
        return self.serve.get(engine.id, engine.serves)

    def _surplus(self, model: str) -> float:
        if not model:
            return math.inf
        desired = self._desired_by_model.get(model, 0)
        return self.count_by_model[model] - desired
