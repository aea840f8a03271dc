"""Changes of the settings file while a node runs.

The platform may replace the file with or without a signal.
"""

import dataclasses
import os

from . import records

# What the process listens on, and its name, last as long as it does.
FIXED_FIELDS = (
    'node',
    'ip',
    'data_centre',
    'front',
    'readiness',
    'peer_port',
    'metrics_port',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a running node takes in of a changed file.

    Attributes
    ----------
    settings : NodeSettings
        Settings from now on.
    changed, after_restart : tuple of str
        Fields that have changed, and those that would have to start again.
    """

    settings: records.NodeSettings
    changed: tuple[str, ...]
    after_restart: tuple[str, ...]


def change(
    before: records.NodeSettings, loaded: records.NodeSettings
) -> Change:
    """Compare the settings of a running node with those of the file."""
    names = [
        field.name
        for field in dataclasses.fields(loaded)
        if getattr(loaded, field.name) != getattr(before, field.name)
    ]
    return Change(
        dataclasses.replace(
            loaded, **{name: getattr(before, name) for name in FIXED_FIELDS}
        ),
        tuple(name for name in names if name not in FIXED_FIELDS),
        tuple(name for name in names if name in FIXED_FIELDS),
    )


def stamp(path: str) -> tuple[int, int] | None:
    """Time of change and size of a file; None where it can't be looked at."""
    try:
        found = os.stat(path)
    except OSError:
        # Being replaced; the next look finds it.
        return None
    return found.st_mtime_ns, found.st_size
