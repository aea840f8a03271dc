"""Scenarios of the policy simulation, read from YAML."""

import math
import pathlib
from typing import Annotated, Literal

import pydantic
import yaml

from ..core import types

Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Positive = Annotated[float, pydantic.Field(gt=0)]
RankName = Literal['urgent', 'standard', 'batch']


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Service(_Model):
    """A backend service.

    Attributes
    ----------
    token_rate : float
        Tokens per second of a request in a batch of one.
    halving_batch : float
        Number of other requests in the batch at which the rate is halved;
        infinite for plain services.
    prefill_cost : float
        Cost of one uncached prompt token, in generated tokens.
    cache_tokens : int
        Capacity of the prefix cache of one worker, in prompt tokens.
    """

    name: str
    workers: Annotated[int, pydantic.Field(ge=1, le=1000)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1000)] = 16
    token_rate: Positive = 50.0
    halving_batch: Positive = 20.0
    prefill_cost: float = 0.02
    cache_tokens: int = 12_000

    def rate(self, batch: int) -> float:
        """Tokens per second of each request in a batch of this size."""
        return self.token_rate / (1 + (batch - 1) / self.halving_batch)

    @property
    def capacity(self) -> float:
        """Tokens per second of all workers with full batches."""
        return self.workers * self.slots * self.rate(self.slots)


class Load(_Model):
    """Requests of one account with one rank.

    Attributes
    ----------
    capacity_part : float
        Offered work as a fraction of the capacity of the service.
    tokens, tokens_spread : float
        Median and log-normal sigma of the number of generated tokens.
    prompt_tokens, prefix_tokens : int
        Prompt tokens unique to a request, and those of its shared prefix.
    prefixes : int
        Number of distinct prefixes; the k-th is used in proportion to 1 / k.
    small : bool
        Whether the figures count the account as a small caller.
    """

    account: str
    rank: RankName
    service: str
    capacity_part: Positive
    tokens: Positive
    tokens_spread: float = 0.3
    prompt_tokens: int = 150
    prefix_tokens: int = 1500
    prefixes: int = 1
    deadline_s: Positive
    from_s: float = 0.0
    to_s: float = math.inf
    idempotent: bool = True
    small: bool = False

    @property
    def rank_value(self) -> types.Rank:
        """Rank as an enum member."""
        return types.Rank[self.rank.upper()]

    def request_rate(self, service: Service) -> float:
        """Requests per second for `capacity_part` if all prefixes hit."""
        mean = self.tokens * math.exp(self.tokens_spread**2 / 2)
        work = mean + self.prompt_tokens * service.prefill_cost
        return self.capacity_part * service.capacity / work


class WorkerLoss(_Model):
    """Simultaneous loss of a fraction of the workers of a service.

    Attributes
    ----------
    notice_s : float
        Time from the reclaim notice to the loss; 0 for no notice.
    detect_s : float
        Time from the loss to its detection by the nodes.
    """

    kind: Literal['lose_workers']
    at_s: float
    service: str
    part: Share
    notice_s: float = 0.0
    detect_s: float = 2.0
    replaced_after_s: float = math.inf


class NodeLoss(_Model):
    """Failure of an entry host; its callers retry after a delay."""

    kind: Literal['lose_node']
    at_s: float
    node: int
    detect_s: float = 2.0
    callers_retry_after_s: float = 0.5


class Target(_Model):
    """A bound on the median of a figure, from docs/design.md.

    Attributes
    ----------
    relative_to : str
        Label of the run that this figure is divided by; empty for none.
    """

    figure: str
    at_least: float = -math.inf
    at_most: float = math.inf
    relative_to: str = ''


class Scenario(_Model):
    """One experiment: services, loads, faults and targets.

    Attributes
    ----------
    balancer_spread : tuple of float, shape (nodes,)
        Relative weight of each node at the load balancer.
    baselines : tuple of str
        Names in `baselines.POLICIES` to compare the policy with.
    without_accounts : tuple of str
        If not empty, the policy is also run without these accounts.
    quiet_part : float
        Maximum fraction of the workers that is reserved for small callers.
    event_loss : float
        Fraction of the cache events that is lost.
    figures : tuple of str
        Figures of the table and the plot, in order; all if empty.
    """

    name: str
    about: str
    duration_s: Positive = 60.0
    warm_up_s: float = 10.0
    nodes: Annotated[int, pydantic.Field(ge=1, le=100)] = 7
    balancer_spread: tuple[Positive, ...] = ()
    services: tuple[Service, ...]
    loads: tuple[Load, ...]
    faults: tuple[
        Annotated[WorkerLoss | NodeLoss, pydantic.Field(discriminator='kind')],
        ...,
    ] = ()
    floors: tuple[Share, Share, Share] = (0.0, 0.10, 0.05)
    quiet_part: Share = 0.0
    report_interval_s: Positive = 0.5
    report_lag_s: float = 0.5
    event_loss: Share = 0.05
    baselines: tuple[str, ...] = ()
    without_accounts: tuple[str, ...] = ()
    figures: tuple[str, ...] = ()
    targets: tuple[Target, ...] = ()

    @pydantic.model_validator(mode='after')
    def _check_references(self) -> 'Scenario':
        names = {service.name for service in self.services}
        used = {load.service for load in self.loads} | {
            fault.service
            for fault in self.faults
            if isinstance(fault, WorkerLoss)
        }
        if unknown := used - names:
            raise ValueError(f'unknown services: {sorted(unknown)}')
        if self.balancer_spread and len(self.balancer_spread) != self.nodes:
            raise ValueError(
                f'balancer_spread has {len(self.balancer_spread)} entries for'
                f' {self.nodes} nodes'
            )
        return self

    def without(self, accounts: tuple[str, ...]) -> 'Scenario':
        """Return the scenario without the load of some accounts."""
        loads = tuple(
            load for load in self.loads if load.account not in accounts
        )
        return self.model_copy(update={'loads': loads})


def load_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    OSError, yaml.YAMLError, pydantic.ValidationError
    """
    return Scenario.model_validate(yaml.safe_load(path.read_text()))
