"""Structured logs: one JSON object a line, whose sentence is prefixed with the component."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(process: str) -> None:
    """Send logs to standard error and adds the process name to each line."""
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


class ComponentLog:
    """Log of one component; every sentence starts with the component's name."""

    def __init__(self, component: str) -> None:
        self._component = component
        self._logger = structlog.get_logger()

    def info(self, sentence: str, **fields: Any) -> None:
        """Log a sentence that requires no action."""
        self._logger.info(f"{self._component}: {sentence}", **fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log a sentence that an operator may want to act on."""
        self._logger.warning(f"{self._component}: {sentence}", **fields)
