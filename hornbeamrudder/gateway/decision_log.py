"""Structured log of decisions on standard output, bounded and non-blocking.

A line that exceeds the rate, or that standard output would not take at once,
is left out and counted; the count is logged once there is room again.
"""

import os
from typing import Any, Mapping

import orjson
import structlog

from . import clock

# Lines a second that a node may write, and the most that may come at once.
LINES_PER_S = 150.0
BURST_LINES = 300.0
# At most this often the count of missing lines is written.
REPORT_INTERVAL_S = 1.0


class BoundedWriter:
    """Writes lines while there is budget; never waits."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._level = BURST_LINES
        self._filled_at = clock.now()
        self._reported_at = 0.0
        self._rest = b''
        self.dropped = 0
        self.dropped_total = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line, or count it as missing."""
        now = clock.now()
        self._level = min(
            BURST_LINES, self._level + (now - self._filled_at) * LINES_PER_S
        )
        self._filled_at = now
        if self._level < 1.0:
            self._drop()
            return
        if self.dropped and now - self._reported_at > REPORT_INTERVAL_S:
            self._reported_at = now
            missing = orjson.dumps(
                {'event': 'log lines were left out', 'count': self.dropped}
            )
            if self._write(missing):
                self.dropped = 0
        if self._write(line):
            self._level -= 1.0
        else:
            self._drop()

    # structlog calls the method that is named like the level.
    debug = info = warning = error = critical = msg

    def _drop(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _write(self, line: bytes) -> bool:
        # The rest of a line that was taken in part goes first.
        data = self._rest + line + b'\n'
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log; serving goes on.
            return False
        if written < len(self._rest):
            self._rest = self._rest[written:]
            return False
        self._rest = data[written:]
        return True


def _add_times(
    _: Any, __: str, fields: Mapping[str, Any]
) -> Mapping[str, Any]:
    return {'wall': round(clock.wall(), 3), **fields}


def _render(_: Any, __: str, fields: Mapping[str, Any]) -> bytes:
    return orjson.dumps(fields, default=str)


def configure(node: str, writer: BoundedWriter) -> Any:
    """Return a logger that names the node in each line."""
    return structlog.wrap_logger(
        writer,
        processors=[
            structlog.processors.add_log_level,
            _add_times,
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        cache_logger_on_first_use=True,
    ).bind(node=node)
