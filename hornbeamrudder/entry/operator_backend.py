"""Operator API backend of a node."""

from typing import Any, Callable, Mapping, Sequence

import orjson
from returns import result
import structlog

from ..backends import watch
from ..configuration import publish
from ..configuration import service as configuration_service
from ..configuration import versions
from ..core import errors
from ..core import hosts
from ..core import ids
from ..core import types
from ..inventory import problems
from ..inventory import schema
from . import node_configuration
from ..operators import messages
from ..settings import schema as settings_schema

APPLY_TIMEOUT_S = 15.0
# Author shown for a change older than those listed in the version row.
UNKNOWN_AUTHOR = 'an operator not in the recent changes'

log = structlog.get_logger()

StatusFunction = Callable[[], Mapping[str, Any]]


class OperatorBackend:
    """Implements `operators.api.Backend` with the components of a node."""

    def __init__(
        self,
        service: configuration_service.ConfigurationService,
        configuration: node_configuration.NodeConfiguration,
        watcher: watch.Watcher,
        settings_operators: Sequence[schema.Operator],
        status: StatusFunction,
    ) -> None:
        self._service = service
        self._configuration = configuration
        self._watcher = watcher
        self._settings_operators = tuple(settings_operators)
        self._status = status

    def operators(self) -> Sequence[schema.Operator]:
        """Return the operators of the settings and of the document."""
        document = self._configuration.document()
        return self._settings_operators + document.operators

    def current(self) -> result.Result[messages.Configuration, errors.Failure]:
        """Return the active configuration.

        The version and the document are read from one snapshot. If a version
        were combined with the preceding document, an operator's next change
        would silently revert the change of that version.
        """
        current = self._service.current()
        if current is None:
            return result.Success(
                messages.Configuration(
                    ids.Version(0), node_configuration.EMPTY_DOCUMENT
                )
            )
        version = current.row.version
        return (
            schema.parse_document(orjson.loads(current.document))
            .map(lambda document: messages.Configuration(version, document))
            .alt(
                lambda found_problems: _unusable_version(
                    version, found_problems
                )
            )
        )

    def apply(self, change: messages.ChangeRequest) -> messages.ChangeResult:
        """Commit a change and wait until it is in force on all nodes."""
        future = self._service.apply(
            schema.to_json(change.document),
            change.base_version,
            change.operator,
        )
        try:
            outcome = future.result(APPLY_TIMEOUT_S)
        except TimeoutError:
            return result.Failure(
                _unknown_outcome('the outcome is not known in time')
            )
        return _to_change_result(outcome)

    def status(self) -> Mapping[str, Any]:
        """Return the state of the node and its peers."""
        return self._status()

    def history(
        self, limit: int
    ) -> result.Result[messages.History, errors.Failure]:
        """Return the most recent versions listed in the version row."""
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
                        at_wall_s=_change_time(change, row),
                        keys=change.keys,
                    )
                    for change in reversed(row.recent[-limit:])
                )
            )
        )

    def drain(
        self, operator: ids.OperatorId, host: ids.HostId
    ) -> result.Result[types.HostState, errors.Failure]:
        """Mark a host as leaving; peers are notified by the next heartbeat."""
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
    """Convert operators of the settings to operators of a document."""
    return tuple(
        schema.Operator(id=operator.id, token_sha256=operator.token_sha256)
        for operator in operators
    )


def _to_change_result(outcome: publish.Result) -> messages.ChangeResult:
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
                _unknown_outcome(
                    f'{written}; not in force on: {", ".join(missing)}'
                )
            )
    raise AssertionError(outcome)


def _change_time(change: versions.Change, row: versions.VersionRow) -> float:
    """Return the time of a change, 0 if an earlier release stored none."""
    if change.version == row.version:
        return row.wall
    return min(max(change.wall, 0.0), messages.MAX_TIMESTAMP_S)


def _unusable_version(
    version: ids.Version, found_problems: tuple[problems.Problem, ...]
) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.PUBLISH_CONFIGURATION,
        '',
        f'this release cannot use version {version}: '
        + '; '.join(map(str, found_problems)),
    )


def _unknown_outcome(detail: str) -> errors.Failure:
    return errors.Failure(
        errors.FailureKind.UNAVAILABLE,
        errors.Step.PUBLISH_CONFIGURATION,
        '',
        detail,
        types.Outcome.UNKNOWN,
    )
