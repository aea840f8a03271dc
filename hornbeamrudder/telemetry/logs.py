"""Structured logging of state changes as JSON lines."""

import logging
import sys

import structlog


def configure(level: str = 'info', process: str = '') -> None:
    """Configure structlog to write JSON lines to standard error.

    Parameters
    ----------
    process : str
        Name added to each line, such as the node id.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    if process:
        structlog.contextvars.bind_contextvars(process=process)
