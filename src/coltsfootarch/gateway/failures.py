"""What a failed attempt says about its engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Callable

CRASHED = "crashed"
FAILED = "failed"
CANCELLED = "cancelled"

# Names of engine errors in docs/upstream-protocol.md.
LOST_STATE = frozenset({"crashed", "unknown-request"})
EXPORT_EXPIRED = "export-expired"
# Codes with which a request is ended from outside.
ENDINGS = frozenset({results.CLIENT_CANCELLED, results.KEY_WITHDRAWN})


class AttemptFailedError(errors.UpstreamError):
    """An attempt can't go on with the engine that it was placed on.

    Args:
        upstream: Name of the engine.
        step: Step to report to the scheduler: `CRASHED` if the engine died
            or lost its state, `CANCELLED` if it is not to blame, else
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
    answers: Callable[[], bool],
    holds: Callable[[], bool],
) -> AttemptFailedError:
    """Returns the failure that an engine's error amounts to.

    An engine that was restarted at once answers again, but no longer holds
    the request whose connection broke. After a silence that says nothing: the
    engine may have ended the request meanwhile.

    Args:
        upstream: Name of the engine.
        error: Error of the last call.
        answers: Returns whether the engine answers on a new connection.
        holds: Returns whether it answers and holds the request.
    """
    if isinstance(error, errors.UpstreamRefusedError):
        if error.reason == EXPORT_EXPIRED:
            return AttemptFailedError(upstream, CANCELLED)
        lost = error.reason in LOST_STATE
        return AttemptFailedError(upstream, CRASHED if lost else FAILED)
    silent = isinstance(error, errors.UpstreamTimeoutError)
    alive = answers() if silent else holds()
    return AttemptFailedError(upstream, FAILED if alive else CRASHED)
