"""Reserves loopback ports for nodes and stand-ins that start later."""

import errno
import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile
import threading
from typing import BinaryIO, Sequence

IP = '127.0.0.1'
# Below the range of ephemeral ports: an outgoing connection could take a port
# of that range between its reservation and the start of its process.
CANDIDATES = range(10_000, 32_000)

_lock = threading.Lock()
_reserved: set[int] = set()


def reserve(
    count: int, candidates: Sequence[int] = CANDIDATES
) -> tuple[int, ...]:
    """Reserve ports that are free for TCP and UDP.

    A reservation lasts until this process exits. It excludes calls of this
    function by this process and by all others on the machine, so that tests
    that run at the same time never choose the same port.

    Raises
    ------
    RuntimeError
        Fewer candidates than requested are free.
    """
    chosen: list[int] = []
    with _lock:
        # Not seeded: tests with the same seed may run at the same time.
        for port in random.SystemRandom().sample(candidates, len(candidates)):
            if len(chosen) == count:
                break
            if port not in _reserved and _acquire(port):
                _reserved.add(port)
                chosen.append(port)
    if len(chosen) < count:
        raise RuntimeError(f'{len(chosen)} of {count} ports are free')
    return tuple(chosen)


@functools.cache
def _lock_file() -> BinaryIO:
    """Open the file in which the byte at offset N locks port N.

    The file is never closed, because closing it would release the locks of
    this process. The system releases them when the process exits.
    """
    folder = pathlib.Path(tempfile.gettempdir())
    return (folder / f'hornbeamrudder-ports-{os.getuid()}').open('ab')


def _acquire(port: int) -> bool:
    """Lock a port unless another process holds its lock or uses the port."""
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except (BlockingIOError, PermissionError):
        return False
    if _is_free(port):
        return True
    fcntl.lockf(_lock_file(), fcntl.LOCK_UN, 1, port)
    return False


def _is_free(port: int) -> bool:
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((IP, port))
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    return True
