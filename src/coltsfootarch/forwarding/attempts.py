"""Results of one attempt to run a request at an upstream."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import results
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages

# Status codes from which a caller concludes that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Failure(enum.Enum):
    """How an attempt failed that has no response to relay.

    `NOT_SENT`: no connection; `NOT_RUN`: the upstream stated that it did not
    run the request; `BROKEN`: the connection failed before the response was
    complete; `TIMED_OUT`: the response did not arrive in time.
    """

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    TIMED_OUT = "timed out"

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self in (Failure.BROKEN, Failure.TIMED_OUT)

    @property
    def code(self) -> results.ResultCode:
        """Result code to send if the request may have run."""
        if self is Failure.TIMED_OUT:
            return results.UPSTREAM_TIMEOUT
        return results.UPSTREAM_FAILED

    @property
    def label(self) -> str:
        """Value in logs and metrics."""
        return self.value

    @property
    def outcome(self) -> outcomes.Outcome:
        """Outcome to record for the upstream."""
        return OUTCOME_BY_FAILURE[self]


OUTCOME_BY_FAILURE = {
    Failure.NOT_SENT: outcomes.Outcome.UNREACHABLE,
    Failure.NOT_RUN: outcomes.Outcome.REFUSED,
    Failure.BROKEN: outcomes.Outcome.BROKEN,
    Failure.TIMED_OUT: outcomes.Outcome.BROKEN,
}


class Response(NamedTuple):
    """A complete response of an upstream, to relay to the caller.

    Attributes:
        status: HTTP status code.
        fields: Header fields for the caller.
        body: Body; empty if it was already streamed to the caller.
    """

    status: int
    fields: messages.Fields
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the upstream handled the request without a server error."""
        return self.status < 500

    @property
    def label(self) -> str:
        """Value in logs and metrics."""
        return str(self.status)

    @property
    def outcome(self) -> outcomes.Outcome:
        """Outcome to record for the upstream."""
        if self.is_success:
            return outcomes.Outcome.SUCCESS
        return outcomes.Outcome.ERROR

    @property
    def implies_not_run(self) -> bool:
        """Whether callers would wrongly conclude that nothing was run."""
        return self.status in NOT_RUN_STATUSES
