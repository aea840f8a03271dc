"""Memory and descriptors of a process, read from /proc."""

import os
import pathlib


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory of a process so far.

    Raises
    ------
    FileNotFoundError
        The process has ended.
    """
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise FileNotFoundError(f'process {pid} has ended')


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))
