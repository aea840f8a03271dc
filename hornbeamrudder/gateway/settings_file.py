"""Changes to the settings file while a node is running.

The platform may replace the file with or without sending SIGHUP.
"""

import dataclasses
import os

from . import records

# The node id and the listening addresses only change with a restart.
RESTART_FIELDS = (
    'node',
    'ip',
    'data_centre',
    'front',
    'readiness',
    'peer_port',
    'metrics_port',
)


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChange:
    """Difference between the settings in use and a changed file.

    Attributes
    ----------
    settings : NodeSettings
        Settings to use from now on.
    changed, after_restart : tuple of str
        Fields that take effect now, and those that need a restart.
    """

    settings: records.NodeSettings
    changed: tuple[str, ...]
    after_restart: tuple[str, ...]


def compare(
    before: records.NodeSettings, loaded: records.NodeSettings
) -> SettingsChange:
    """Compare the settings of a running node with those in the file."""
    names = [
        field.name
        for field in dataclasses.fields(loaded)
        if getattr(loaded, field.name) != getattr(before, field.name)
    ]
    return SettingsChange(
        dataclasses.replace(
            loaded, **{name: getattr(before, name) for name in RESTART_FIELDS}
        ),
        tuple(name for name in names if name not in RESTART_FIELDS),
        tuple(name for name in names if name in RESTART_FIELDS),
    )


def file_stamp(path: str) -> tuple[int, int] | None:
    """Return modification time and size of a file; None if stat fails."""
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next poll detects the change.
        return None
    return status.st_mtime_ns, status.st_size
