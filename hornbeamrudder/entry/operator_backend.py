"""What a node does for operators."""

from typing import Any, Callable, Mapping, Sequence

import orjson
from returns import result
import structlog

from ..backends import watch
from ..configuration import publish
from ..configuration import service as configuration_service
from ..configuration import state
from . import configured
from ..core import errors
from ..core import hosts
from ..core import ids
from ..core import types
from ..inventory import problems
from ..inventory import schema
from ..operators import messages
from ..settings import schema as settings_schema

APPLY_TIMEOUT_S = 15.0
# Author of a change that is older than those named in the version row.
UNKNOWN_AUTHOR = 'an operator not in the recent changes'

log = structlog.get_logger()

StatusFunction = Callable[[], Mapping[str, Any]]


class OperatorBackend:
    """Implements `operators.api.Backend` on the parts of a node."""

    def __init__(
        self,
        service: configuration_service.ConfigurationService,
        configuration: configured.NodeConfiguration,
        watcher: watch.Watcher,
        first_operators: Sequence[schema.Operator],
        status: StatusFunction,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._watcher = watcher
        self._first_operators = tuple(first_operators)
        self._status = status

    def operators(self) -> Sequence[schema.Operator]:
        """Return operators of the settings and of the document."""
        document = self._configuration.document()
        return self._first_operators + document.operators

    def current(self) -> result.Result[messages.Configuration, errors.Failure]:
        """Return the configuration in force.

        Version and document come from one content. A version beside the
        document before it would let an operator's change revert the change
        of that version.
        """
        current = self._service.current()
        if current is None:
            return result.Success(
                messages.Configuration(ids.Version(0), configured.EMPTY)
            )
        version = current.row.version
        return (
            schema.parse_document(orjson.loads(current.document))
            .map(lambda document: messages.Configuration(version, document))
            .alt(lambda found: _not_usable(version, found))
        )

    def apply(self, change: messages.ChangeRequest) -> messages.ChangeResult:
        """Write a change and wait until it is in force everywhere."""
        future = self._service.apply(
            schema.to_json(change.document),
            change.base_version,
            change.operator,
        )
        try:
            outcome = future.result(APPLY_TIMEOUT_S)
        except TimeoutError:
            return result.Failure(_unknown('the outcome is not known in time'))
        return _told(outcome)

    def status(self) -> Mapping[str, Any]:
        """Return the state of the node and its peers."""
        return self._status()

    def history(
        self, limit: int
    ) -> result.Result[messages.History, errors.Failure]:
        """Return the newest versions that the version row names."""
        current = self._service.current()
        if current is None:
            return result.Success(messages.History(versions=()))
        row = current.row
        return result.Success(
            messages.History(
                versions=tuple(
                    messages.HistoryEntry(
                        version=change.version,
                        author=change.author,
                        at_wall_s=_wall_of(change, row),
                        keys=change.keys,
                    )
                    for change in reversed(row.recent[-limit:])
                )
            )
        )

    def drain(
        self, operator: ids.OperatorId, host: ids.HostId
    ) -> result.Result[types.HostState, errors.Failure]:
        """Mark a host as leaving; peers learn it with the next heartbeat."""
        record = self._watcher.snapshot().records_by_host.get(host)
        if record is None:
            return result.Failure(
                errors.Failure(
                    errors.FailureKind.NOT_FOUND,
                    errors.Step.READ_REQUEST,
                    '',
                    f'no host is named {host!r}',
                )
            )
        log.info('host drain requested', host=host, operator=operator)
        self._watcher.report_from_peer(
            [hosts.LeavingHost(host, record.incarnation, None)]
        )
        return result.Success(types.HostState.LEAVING)


def from_settings(
    operators: Sequence[settings_schema.Operator],
) -> tuple[schema.Operator, ...]:
    """Operators of the settings as those of a document."""
    return tuple(
        schema.Operator(id=operator.id, token_sha256=operator.token_sha256)
        for operator in operators
    )


def _told(outcome: publish.Result) -> messages.ChangeResult:
    match outcome:
        case publish.Accepted(version, _, seconds_by_node):
            return result.Success(
                messages.Applied(
                    version=version,
                    nodes=tuple(
                        messages.NodeActivation(id=node, seconds=seconds)
                        for node, seconds in sorted(seconds_by_node.items())
                    ),
                )
            )
        case publish.Conflict(version, changes):
            return result.Success(
                messages.Conflict(
                    version=version,
                    conflicts=tuple(
                        messages.KeyConflict(key=change.key, author=author)
                        for change in changes
                        for author in change.authors or (UNKNOWN_AUTHOR,)
                    ),
                )
            )
        case publish.Refused(failure):
            return result.Failure(failure)
        case publish.Pending(version, committed, missing, detail):
            written = f'version {version} is written' if committed else detail
            return result.Failure(
                _unknown(f'{written}; not in force on: {", ".join(missing)}')
            )
    raise AssertionError(outcome)


def _wall_of(change: state.Change, row: state.VersionRow) -> float:
    """Time of a change; 0 where an earlier release did not store it."""
    if change.version == row.version:
        return row.wall
    return min(max(change.wall, 0.0), messages.MAX_TIMESTAMP_S)


def _not_usable(
    version: ids.Version, found: tuple[problems.Problem, ...]
) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.PUBLISH_CONFIGURATION,
        '',
        f'this release cannot use version {version}: '
        + '; '.join(map(str, found)),
    )


def _unknown(detail: str) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.PUBLISH_CONFIGURATION,
        '',
        detail,
        types.Outcome.UNKNOWN,
    )
