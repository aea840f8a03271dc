"""Rate-limited, non-blocking structured log on standard output.

Lines over the rate limit, and lines that cannot be written without blocking,
are dropped and counted. The count is logged as soon as writing is possible.
"""

import os
from typing import Any, Mapping

import orjson
import structlog

from . import clock

# Rate limit of the log, as a token bucket.
MAX_LINES_PER_S = 150.0
BURST_LINES = 300.0
# Minimum interval between reports of dropped lines.
REPORT_INTERVAL_S = 1.0


class RateLimitedWriter:
    """Line writer with a token bucket; never blocks."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._available_lines = BURST_LINES
        self._refilled_at = clock.now()
        self._reported_at = 0.0
        self._unwritten = b''
        self.dropped = 0
        self.dropped_total = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: bytes) -> None:
        """Write one line, or drop and count it."""
        now = clock.now()
        self._available_lines = min(
            BURST_LINES,
            self._available_lines
            + (now - self._refilled_at) * MAX_LINES_PER_S,
        )
        self._refilled_at = now
        if self._available_lines < 1.0:
            self._count_dropped()
            return
        if self.dropped and now - self._reported_at > REPORT_INTERVAL_S:
            self._reported_at = now
            notice = orjson.dumps(
                {'event': 'log lines were left out', 'count': self.dropped}
            )
            if self._write(notice):
                self.dropped = 0
        if self._write(line):
            self._available_lines -= 1.0
        else:
            self._count_dropped()

    # structlog calls the method named after the log level.
    debug = info = warning = error = critical = msg

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _write(self, line: bytes) -> bool:
        # A partially written line must be completed first.
        data = self._unwritten + line + b'\n'
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; requests are still served.
            return False
        if written < len(self._unwritten):
            self._unwritten = self._unwritten[written:]
            return False
        self._unwritten = data[written:]
        return True


def _add_times(
    _: Any, __: str, fields: Mapping[str, Any]
) -> Mapping[str, Any]:
    return {'wall': round(clock.wall(), 3), **fields}


def _render(_: Any, __: str, fields: Mapping[str, Any]) -> bytes:
    return orjson.dumps(fields, default=str)


def configure(node: str, writer: RateLimitedWriter) -> Any:
    """Return a logger that adds the node id to each line."""
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
