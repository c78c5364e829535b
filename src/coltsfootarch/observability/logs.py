"""Structured logging, with one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING
from typing import Any
from typing import TextIO

import structlog

if TYPE_CHECKING:
    from collections.abc import MutableMapping

# Log fields that could contain a secret or a caller's text.
REDACTED_FIELDS = frozenset(
    {"authorization", "key", "secret", "prompt", "text", "body", "document"}
)


def redact(
    _logger: Any, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Replaces the values of `REDACTED_FIELDS`; a structlog processor."""
    for field in REDACTED_FIELDS & event.keys():
        event[field] = "[redacted]"
    return event


def configure(level: str, stream: TextIO | None = None, host: str = "") -> None:
    """Sets up logging for the process.

    Args:
        level: Lowest level that is logged: "debug", "info", "warning" or
            "error".
        stream: Output stream; standard error when omitted.
        host: Name of this host, which is added to each line.
    """

    def add_host(
        _logger: Any, _method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        event.setdefault("host", host)
        return event

    threshold = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_host,
            redact,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
