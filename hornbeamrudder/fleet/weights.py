"""Weight loads and role changes under the weight store's rate."""

import collections
import dataclasses
import math
from typing import Mapping, Sequence

from ..core import ids
from ..core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """Model of a service and how urgently its engines are needed.

    Attributes
    ----------
    bytes : int
        Size of the weights.
    engines : int
        Number of engines that should serve it.
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
        Model that it serves or will serve, '' for none.
    present : frozenset of str
        Models whose weights it has.
    loading : str
        Model whose weights it is loading, '' for none.
    """

    id: ids.WorkerId
    serves: str
    present: frozenset[str]
    loading: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Orders to give now, as model by engine."""

    serve: Mapping[ids.WorkerId, str]
    load: Mapping[ids.WorkerId, str]


def downloads_at_once(
    store_bytes_per_s: float, model_bytes: int, longest_load_s: float
) -> int:
    """Downloads that may share the store so that each is fast enough.

    More downloads at once would not finish the sum of them earlier, but
    would delay the first engine that can serve.
    """
    if model_bytes <= 0:
        return 1
    return max(1, int(store_bytes_per_s * longest_load_s / model_bytes))


def plan(
    models: Sequence[Model],
    fleet: Sequence[Engine],
    store_bytes_per_s: float,
    longest_load_s: float,
    store_busy: bool = False,
) -> Plan:
    """Decide which engines serve and load which models.

    Models are taken by rank, then by the share of their engines that is
    missing. An engine that has the weights is preferred, then one that
    serves nothing; an engine is only taken from a model that has more than
    it needs.

    Parameters
    ----------
    store_busy : bool
        The weight store refused a download or is slow; only role changes
        that need no download are ordered.
    """
    state = _State(models, fleet)
    for model in _by_urgency(models, state.count_by_model):
        while state.missing(model):
            engine = state.take(model, with_weights=True)
            if engine is None:
                break
            state.serve[engine.id] = model.name
    if store_busy:
        return Plan(state.serve, {})
    loading = sum(bool(engine.loading) for engine in fleet)
    load: dict[ids.WorkerId, str] = {}
    for model in _by_urgency(models, state.count_by_model):
        limit = downloads_at_once(
            store_bytes_per_s, model.bytes, longest_load_s
        )
        for engine in state.without_weights(model):
            if loading + len(load) >= limit:
                break
            load[engine.id] = model.name
        while state.missing(model) and loading + len(load) < limit:
            taken = state.take(model, with_weights=False)
            if taken is None:
                break
            state.serve[taken.id] = model.name
            load[taken.id] = model.name
    return Plan(state.serve, load)


def _by_urgency(
    models: Sequence[Model], count_by_model: Mapping[str, int]
) -> list[Model]:
    def order(model: Model) -> tuple[int, float, str]:
        missing = max(0, model.engines - count_by_model.get(model.name, 0))
        share = missing / model.engines if model.engines else 0.0
        return (model.rank, -share, model.name)

    return sorted(models, key=order)


class _State:
    """Engines by the model that they serve, while a plan is made."""

    def __init__(
        self, models: Sequence[Model], fleet: Sequence[Engine]
    ) -> None:
        self.serve: dict[ids.WorkerId, str] = {}
        self.count_by_model = collections.Counter(
            engine.loading or engine.serves for engine in fleet
        )
        self._wanted_by_model = {model.name: model.engines for model in models}
        self._fleet = fleet

    def missing(self, model: Model) -> bool:
        """Whether the model has fewer engines than it needs."""
        return self.count_by_model[model.name] < model.engines

    def without_weights(self, model: Model) -> list[Engine]:
        """Engines that are to serve the model and do not have it yet."""
        return [
            engine
            for engine in self._fleet
            if self._serves(engine) == model.name
            and model.name not in engine.present
            and not engine.loading
        ]

    def take(self, model: Model, with_weights: bool) -> Engine | None:
        """Take an engine that serves nothing or a model with a surplus."""
        free = [
            engine
            for engine in self._fleet
            if not engine.loading
            and engine.id not in self.serve
            and engine.serves != model.name
            and (not with_weights or model.name in engine.present)
            and self._surplus(engine.serves) > 0
        ]
        if not free:
            return None
        chosen = max(
            free, key=lambda engine: (self._surplus(engine.serves), engine.id)
        )
        self.count_by_model[chosen.serves] -= 1
        self.count_by_model[model.name] += 1
        return chosen

    def _serves(self, engine: Engine) -> str:
        return self.serve.get(engine.id, engine.serves)

    def _surplus(self, model: str) -> float:
        if not model:
            return math.inf
        wanted = self._wanted_by_model.get(model, 0)
        return self.count_by_model[model] - wanted
