"""CPU time, memory and threads of a process, from /proc."""

import dataclasses
import os
import pathlib
import time

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process; `at` is the monotonic time in seconds."""

    at: float
    cpu_s: float
    resident_kb: int
    threads: int


def parse(stat: str, status: str, ticks_per_s: int, at: float) -> Usage:
    """Parse the contents of `/proc/<pid>/stat` and `/proc/<pid>/status`.

    Raises
    ------
    ValueError
        A field is missing.
    """
    # The command name may contain spaces and parentheses.
    fields = stat.rpartition(')')[2].split()
    value_by_name = dict(
        line.split(':', 1) for line in status.splitlines() if ':' in line
    )
    try:
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return Usage(
            at,
            ticks / ticks_per_s,
            int(value_by_name['VmRSS'].split()[0]),
            int(value_by_name['Threads']),
        )
    except (IndexError, KeyError) as error:
        raise ValueError(f'missing field: {error!r}') from error


def read(pid: int) -> Usage:
    """Read the resource usage of a running process."""
    folder = pathlib.Path('/proc') / str(pid)
    return parse(
        (folder / 'stat').read_text(),
        (folder / 'status').read_text(),
        TICKS_PER_S,
        time.monotonic(),
    )


def load_average() -> float:
    """Load average of the host over the last minute."""
    return os.getloadavg()[0]
