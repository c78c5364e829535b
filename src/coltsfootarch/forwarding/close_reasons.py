"""Why connections of callers are closed."""

from __future__ import annotations

import enum


class CloseReason(enum.Enum):
    """Why a connection of a caller was closed; values appear in the log."""

    CALLER_CLOSED = "caller-closed"
    SOCKET_ERROR = "socket-error"
    # This host lacked memory to read or write.
    NO_MEMORY = "no-memory"
    SEND_TIMEOUT = "send-timeout"
    # The response had `Connection: close`: the caller wished it or was told.
    ANNOUNCED = "announced"
    IDLE_TIMEOUT = "idle-timeout"
    HEADER_TIMEOUT = "header-timeout"
    BODY_TIMEOUT = "body-timeout"
    HEADER_TOO_LARGE = "header-too-large"
    BODY_TOO_LARGE = "body-too-large"
    MALFORMED = "malformed"
    # It was idle, and its descriptor was needed.
    REPLACED = "replaced"
    DRAINED_IDLE = "drained-idle"
    SHUTDOWN = "shutdown"
    # A response can't be completed, or there is none.
    ABORTED = "aborted"
    ERROR = "error"


# Closes that are only counted if no request is lost by them.
REGULAR_REASONS = frozenset(
    {
        CloseReason.CALLER_CLOSED,
        CloseReason.SOCKET_ERROR,
        CloseReason.ANNOUNCED,
    }
)
