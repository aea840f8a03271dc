"""Configuration document: models, validation and queries."""

import functools
import hmac
import ipaddress
import posixpath
from typing import Annotated, Any, Mapping, Optional
import urllib.parse

import orjson
import pydantic
from returns import result

from ..core import ids
from ..core import types
from . import cross_checks
from . import problems

DEFAULT_ORDER_RETENTION_S = 24 * 3600.0
DEFAULT_DEADLINE_S = 30.0
DEFAULT_STANDARD_FLOOR = 0.10
DEFAULT_BATCH_FLOOR = 0.05
MAX_DEADLINE_S = 24 * 3600.0


def _parse_rank(value: Any) -> types.Rank:
    if isinstance(value, types.Rank):
        return value
    for rank in types.Rank:
        if value == rank.name.lower():
            return rank
    raise ValueError('expected urgent, standard or batch')


def _parse_ipv4_address(value: str) -> str:
    # core.types.Address is written as `ip:port` without brackets, which is
    # ambiguous for IPv6.
    try:
        return str(ipaddress.IPv4Address(value))
    except ValueError:
        raise ValueError('expected an IPv4 number such as 10.1.2.3') from None


# Ids are segments of table keys (`order/<account>/...`) and difference keys,
# so that they must not contain a slash.
Id = Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._:@-]{0,126}$')
]
Digest = Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
Method = Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,16}$')]
# Each prefix has one spelling: no empty segments and no trailing slash.
PathPrefix = Annotated[
    str,
    pydantic.Field(
        pattern=r'^(/|(/[A-Za-z0-9._~!$&()*+,;=:@-]+)+)$', max_length=512
    ),
]
Rank = Annotated[
    types.Rank,
    pydantic.PlainValidator(_parse_rank),
    pydantic.PlainSerializer(lambda rank: rank.name.lower(), str),
    pydantic.WithJsonSchema({'enum': ['urgent', 'standard', 'batch']}),
]
Ipv4Address = Annotated[str, pydantic.AfterValidator(_parse_ipv4_address)]
PositiveNumber = Annotated[float, pydantic.Field(gt=0, le=1e12)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
QuietPart = Annotated[float, pydantic.Field(ge=0, lt=1)]
Count = Annotated[int, pydantic.Field(ge=1, le=10**12)]
Deadline = Annotated[float, pydantic.Field(gt=0, le=MAX_DEADLINE_S)]


class Entry(pydantic.BaseModel):
    """Base class of all parts of the document."""

    model_config = pydantic.ConfigDict(
        frozen=True, extra='forbid', allow_inf_nan=False
    )


class Service(Entry):
    """A service that callers address by name."""

    name: Id
    kind: types.ServiceKind
    models: tuple[Id, ...] = ()
    path_prefixes: tuple[PathPrefix, ...] = ()


class AccountLimits(Entry):
    """Limits of one account; None means no limit.

    Attributes
    ----------
    tokens_per_second : float or None
        Expected prompt and output tokens per second.
    open_requests : int or None
        Maximum number of requests that are queued or running.
    """

    requests_per_second: Optional[PositiveNumber] = None
    tokens_per_second: Optional[PositiveNumber] = None
    open_requests: Optional[Count] = None


class Account(Entry):
    """A client account; `weight` is its relative share within a rank."""

    id: Id
    token_sha256: Digest
    weight: PositiveNumber = 1.0
    limits: AccountLimits = AccountLimits()


class Operator(Entry):
    """A person or program that may change the configuration."""

    id: Id
    token_sha256: Digest


class Worker(Entry):
    """A backend server process on a host."""

    id: Id
    service: Id
    ip: Ipv4Address
    port: Annotated[int, pydantic.Field(ge=1, le=65535)]
    slots: Annotated[int, pydantic.Field(ge=1, le=100_000)]
    checks_fencing: bool = False
    checks_sender: bool = False


class Host(Entry):
    """A backend server host and its price in currency units per hour."""

    id: Id
    data_centre: Id
    machine_class: Id
    pricing: types.Pricing
    price_per_hour: Annotated[float, pydantic.Field(ge=0, le=1e6)]
    workers: tuple[Worker, ...] = ()


class RankRule(Entry):
    """Rank and deadline of the requests that match all fields of the rule.

    The most specific rule applies: a rule with an account takes precedence
    over one without, then the longer path prefix, then a service, then a
    method.

    Attributes
    ----------
    deadline_s : float
        Seconds from arrival to the complete response.
    """

    service: Optional[Id] = None
    account: Optional[Id] = None
    method: Optional[Method] = None
    path_prefix: Optional[PathPrefix] = None
    rank: Rank
    deadline_s: Deadline


class Floors(Entry):
    """Minimum share of capacity of each rank while more urgent work waits."""

    urgent: Share = 0.0
    standard: Share = DEFAULT_STANDARD_FLOOR
    batch: Share = DEFAULT_BATCH_FLOOR

    def share_of(self, rank: types.Rank) -> float:
        """Return the floor of `rank`, between 0 and 1."""
        return (self.urgent, self.standard, self.batch)[rank]


class AccountWeight(Entry):
    """Weight that overrides the one in the account entry."""

    account: Id
    weight: PositiveNumber


class NonIdempotent(Entry):
    """Calls that may run at most once."""

    service: Id
    method: Method
    path_prefix: PathPrefix


class AdmissionLimits(Entry):
    """Limits per node above which requests are refused as not run."""

    max_queued_requests: Count = 10_000
    max_queued_tokens: Count = 20_000_000
    max_output_tokens: Count = 8_192
    max_body_bytes: Count = 1_048_576


class FleetOffer(Entry):
    """A machine class whose hosts may be started for a service.

    Attributes
    ----------
    model : str or None
        Model served by engines on these hosts; None for plain services.
    checks_fencing, checks_sender : bool
        As in `Worker`, for the workers on the started hosts.
    """

    machine_class: Id
    model: Optional[Id] = None
    checks_fencing: bool = False
    checks_sender: bool = False


class FleetRule(Entry):
    """A service whose hosts are started and stopped by the nodes.

    Attributes
    ----------
    urgent_slots : int
        Slots that must remain after the loss of any one zone, even without
        demand.
    """

    service: Id
    offers: Annotated[tuple[FleetOffer, ...], pydantic.Field(min_length=1)]
    urgent_slots: Annotated[int, pydantic.Field(ge=0, le=10**6)] = 0


class Rules(Entry):
    """Rules that operators define in addition to the inventory.

    Attributes
    ----------
    quiet_part : float
        Maximum fraction of the workers of a service that is closed to
        standard and batch requests of large accounts while demand exceeds
        the slots; 0 disables it. Below 1, so that these requests keep a
        worker.
    """

    ranks: tuple[RankRule, ...] = ()
    default_rank: Rank = types.Rank.STANDARD
    default_deadline_s: Deadline = DEFAULT_DEADLINE_S
    floors: Floors = Floors()
    account_weights: tuple[AccountWeight, ...] = ()
    non_idempotent: tuple[NonIdempotent, ...] = ()
    admission: AdmissionLimits = AdmissionLimits()
    quiet_part: QuietPart = 0.0
    fleet: tuple[FleetRule, ...] = ()
    order_retention_s: Annotated[
        float, pydantic.Field(ge=60, le=30 * 24 * 3600)
    ] = DEFAULT_ORDER_RETENTION_S


class Document(Entry):
    """The whole configuration of one region.

    The look-up tables are cached per instance, so that a changed document
    must be created by `parse_document`, not by `model_copy`.
    """

    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    operators: tuple[Operator, ...] = ()
    hosts: tuple[Host, ...] = ()
    rules: Rules = Rules()

    @functools.cached_property
    def workers_by_id(self) -> Mapping[str, types.Worker]:
        """All workers as core types, in the order of their hosts."""
        return {
            worker.id: _core_worker(host, worker)
            for host in self.hosts
            for worker in host.workers
        }

    @functools.cached_property
    def services_by_name(self) -> Mapping[str, types.Service]:
        """All services as core types."""
        return {
            service.name: types.Service(
                ids.ServiceName(service.name), service.kind, service.models
            )
            for service in self.services
        }

    @functools.cached_property
    def accounts_by_id(self) -> Mapping[str, types.Account]:
        """All accounts as core types, with the weights of the rules."""
        weight_by_account = {
            item.account: item.weight for item in self.rules.account_weights
        }
        return {
            account.id: types.Account(
                ids.AccountId(account.id),
                account.token_sha256,
                weight_by_account.get(account.id, account.weight),
            )
            for account in self.accounts
        }

    @functools.cached_property
    def limits_by_account(self) -> Mapping[ids.AccountId, AccountLimits]:
        """Limits of all accounts."""
        return {
            ids.AccountId(account.id): account.limits
            for account in self.accounts
        }

    @functools.cached_property
    def accounts_by_token_digest(self) -> Mapping[str, types.Account]:
        """The accounts of `accounts_by_id` by their token digest."""
        return {
            account.token_digest: account
            for account in self.accounts_by_id.values()
        }


ParseResult = result.Result[Document, tuple[problems.Problem, ...]]


def validate(
    value: Any,
) -> result.Result[Document, tuple[problems.Finding, ...]]:
    """Validate a JSON value; findings have document paths."""
    try:
        text = orjson.dumps(value)
    except (TypeError, RecursionError) as error:
        return result.Failure((problems.Finding((), f'not JSON: {error}'),))
    findings: list[problems.Finding] = []
    document = None
    try:
        # In strict JSON mode, pydantic does not coerce types but accepts lists
        # for tuples and values for enums.
        document = Document.model_validate_json(text, strict=True)
    except pydantic.ValidationError as error:
        findings.extend(convert_errors(error))
    findings.extend(cross_checks.find_violations(value))
    if findings or document is None:
        return result.Failure(tuple(findings))
    return result.Success(document)


def convert_errors(
    error: pydantic.ValidationError,
) -> tuple[problems.Finding, ...]:
    """Convert pydantic errors to findings, without input values."""
    return tuple(
        problems.Finding(
            tuple(item['loc']),
            item['msg'].removeprefix('Value error, '),
        )
        for item in error.errors(
            include_url=False, include_input=False, include_context=False
        )
    )


def parse_document(value: Any) -> ParseResult:
    """Validate a JSON value; all problems are reported at once."""
    return validate(value).alt(
        lambda findings: tuple(
            problems.locate(finding, {}) for finding in findings
        )
    )


def to_json(document: Document) -> dict[str, Any]:
    """Return the document as a JSON value for `parse_document`."""
    return document.model_dump(mode='json')


def _core_worker(host: Host, worker: Worker) -> types.Worker:
    return types.Worker(
        id=ids.WorkerId(worker.id),
        service=ids.ServiceName(worker.service),
        host=ids.HostId(host.id),
        data_centre=ids.DataCentreName(host.data_centre),
        address=types.Address(worker.ip, worker.port),
        slots=worker.slots,
        checks_fencing=worker.checks_fencing,
        checks_sender=worker.checks_sender,
    )


def worker_by_id(
    document: Document, worker: ids.WorkerId
) -> types.Worker | None:
    """Return the worker with this id, or None."""
    return document.workers_by_id.get(worker)


def account_by_token_digest(
    document: Document, digest: str
) -> types.Account | None:
    """Return the account whose token has this SHA-256 digest, or None.

    The timing of the look-up reveals at most digests, not tokens; the final
    comparison takes constant time.
    """
    account = document.accounts_by_token_digest.get(digest)
    if account is None or not hmac.compare_digest(
        account.token_digest.encode(), digest.encode()
    ):
        return None
    return account


def normalize_path(path: str) -> str:
    """Decode a request path and remove its query, `.` and `..`.

    Rules must also match equivalent spellings of a path, such as
    `/orders/%6eew` or `//orders/new`.
    """
    decoded = urllib.parse.unquote(path.partition('?')[0])
    return posixpath.normpath('/' + decoded.lstrip('/'))


def has_prefix(path: str, prefix: str) -> bool:
    """Compare whole segments: `/orders` is not a prefix of `/orders-old`."""
    return prefix in ('/', path) or path.startswith(prefix + '/')


def find_rank_rule(
    document: Document,
    account: ids.AccountId,
    service: ids.ServiceName,
    method: str,
    path: str,
) -> RankRule:
    """Return the most specific matching rank rule, or the defaults."""
    normalized = normalize_path(path)
    matching = [
        rule
        for rule in document.rules.ranks
        if rule.account in (None, account)
        and rule.service in (None, service)
        and rule.method in (None, method.upper())
        and (
            rule.path_prefix is None
            or has_prefix(normalized, rule.path_prefix)
        )
    ]
    if not matching:
        return RankRule(
            rank=document.rules.default_rank,
            deadline_s=document.rules.default_deadline_s,
        )
    return max(matching, key=_specificity)


def _specificity(rule: RankRule) -> tuple[bool, int, bool, bool]:
    return (
        rule.account is not None,
        len(rule.path_prefix or ''),
        rule.service is not None,
        rule.method is not None,
    )


def is_idempotent(
    document: Document, service: ids.ServiceName, method: str, path: str
) -> bool:
    """Whether a call may run more than once, as no rule forbids it."""
    normalized = normalize_path(path)
    return not any(
        rule.service == service
        and rule.method == method.upper()
        and has_prefix(normalized, rule.path_prefix)
        for rule in document.rules.non_idempotent
    )
