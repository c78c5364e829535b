"""What became of one attempt at an upstream."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import results
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages

# Statuses that promise a caller that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Fate(enum.Enum):
    """How far an attempt got that has no answer to relay."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    TIMED_OUT = "timed out"

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self in (Fate.BROKEN, Fate.TIMED_OUT)

    @property
    def code(self) -> results.ResultCode:
        """Result code for a caller whose request may have run."""
        if self is Fate.TIMED_OUT:
            return results.UPSTREAM_TIMEOUT
        return results.UPSTREAM_FAILED

    @property
    def label(self) -> str:
        """Name in logs and metrics."""
        return self.value

    @property
    def outcome(self) -> outcomes.Outcome:
        """What it says about the upstream."""
        return OUTCOMES[self]


OUTCOMES = {
    Fate.NOT_SENT: outcomes.Outcome.ABSENT,
    Fate.NOT_RUN: outcomes.Outcome.REFUSED,
    Fate.BROKEN: outcomes.Outcome.BROKEN,
    Fate.TIMED_OUT: outcomes.Outcome.BROKEN,
}


class Answer(NamedTuple):
    """A whole answer to relay.

    Attributes:
        status: Status code.
        fields: Header fields for the caller.
        body: Body.
    """

    status: int
    fields: messages.Fields
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the upstream ran the request without an error."""
        return self.status < 500

    @property
    def label(self) -> str:
        """Name in logs and metrics."""
        return str(self.status)

    @property
    def outcome(self) -> outcomes.Outcome:
        """What it says about the upstream."""
        if self.is_success:
            return outcomes.Outcome.SUCCESS
        return outcomes.Outcome.ERROR

    @property
    def promises_not_run(self) -> bool:
        """Whether the status would wrongly say that nothing was run."""
        return self.status in NOT_RUN_STATUSES
