"""Classifies failed attempts by what they say about the engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Callable

CRASHED = "crashed"
FAILED = "failed"
CANCELLED = "cancelled"

# Error names of engines (docs/upstream-protocol.md): those by which an engine
# says that it lost the state of a request, and that of an expired KV export.
LOST_STATE = frozenset({"crashed", "unknown-request"})
EXPORT_EXPIRED = "export-expired"
# Result codes of requests ended by their caller or by a withdrawn key.
EXTERNAL_END_CODES = frozenset(
    {results.CLIENT_CANCELLED, results.KEY_WITHDRAWN}
)


class AttemptFailedError(errors.UpstreamError):
    """An attempt can't continue on the engine that it was placed on.

    Args:
        upstream: Name of the engine.
        step: Step to report to the scheduler: `CRASHED` if the engine died
            or lost its state, `CANCELLED` if the engine is not at fault, else
            `FAILED`.
    """

    def __init__(self, upstream: str, step: str) -> None:
        super().__init__(f"upstream {upstream}: attempt {step}")
        self.upstream = upstream
        self.step = step

    @property
    def excludes(self) -> bool:
        """Whether the next attempt must avoid the engine."""
        return self.step != CANCELLED


def classify(
    upstream: str,
    error: errors.UpstreamError,
    is_responding: Callable[[], bool],
    holds_request: Callable[[], bool],
) -> AttemptFailedError:
    """Returns the failure of an attempt for an error of its engine.

    After a broken connection the engine must still hold the request, because an
    engine that crashed and restarted at once answers again without it. After a
    timeout it only has to answer, because it may have ended the request in the
    meantime. An engine that didn't reply to a connection attempt never got the
    call and may only be silent for a moment.

    Args:
        upstream: Name of the engine.
        error: Error of the last call.
        is_responding: Returns whether the engine answers on a new connection.
        holds_request: Returns whether it answers and holds the request.
    """
    if isinstance(error, errors.UpstreamRefusedError):
        if error.reason == EXPORT_EXPIRED:
            return AttemptFailedError(upstream, CANCELLED)
        lost = error.reason in LOST_STATE
        return AttemptFailedError(upstream, CRASHED if lost else FAILED)
    if isinstance(error, errors.LocalConnectError):
        return AttemptFailedError(upstream, CANCELLED)
    if isinstance(error, errors.UpstreamSilentError):
        return AttemptFailedError(upstream, FAILED)
    timed_out = isinstance(error, errors.UpstreamTimeoutError)
    try:
        alive = is_responding() if timed_out else holds_request()
    except errors.LocalConnectError:
        # The engine could not be asked.
        alive = True
    return AttemptFailedError(upstream, FAILED if alive else CRASHED)
