"""Structured logs: one JSON object a line, a short sentence with its part as prefix."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(process: str) -> None:
    """Send logs to standard error and bind the process name to each."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)


class PartLog:
    """The log of one part; every sentence starts with the part's name."""

    def __init__(self, part: str) -> None:
        self._part = part
        self._logger = structlog.get_logger()

    def info(self, sentence: str, **fields: Any) -> None:
        """Log a sentence that needs no action."""
        self._logger.info(f"{self._part}: {sentence}", **fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log a sentence that an operator may want to act on."""
        self._logger.warning(f"{self._part}: {sentence}", **fields)
