"""Token bucket of one account in one availability zone."""

from __future__ import annotations

import datetime
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.limits import fill_maxima
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from coltsfootarch.limits import shares

GRANT_VALIDITY = datetime.timedelta(seconds=5)

# A grant lives longer on the ledger than on the host, which covers clocks
# that run at slightly different speeds.
EXPIRY_MARGIN = datetime.timedelta(milliseconds=100)

# Refunds for requests that ran longer than this are lost.
REFUND_MEMORY = datetime.timedelta(seconds=120)

# Rounding errors of repeated refills stay below this many tokens.
ROUNDING = 1e-6


class LiveGrant:
    """A grant that its host may still spend.

    Attributes:
        tokens: Tokens granted.
        spent: Tokens reported as spent.
        refunded: Tokens reported as refunded.
        expires_at: Instant from which no host spends it.
        spent_since: Observation of the ledger's fill at the first report of
            spent tokens, or None before it.
    """

    __slots__ = ("expires_at", "refunded", "spent", "spent_since", "tokens")

    def __init__(self, tokens: int, expires_at: float) -> None:
        self.tokens = tokens
        self.spent = 0
        self.refunded = 0
        self.expires_at = expires_at
        self.spent_since: int | None = None

    @property
    def outstanding(self) -> int:
        """Tokens not reported as spent."""
        return self.tokens - self.spent


class PastGrant(NamedTuple):
    """A grant that can only be refunded.

    Attributes:
        refundable: Tokens that may still be refunded.
        refunded: Tokens refunded so far.
        spent_since: As in `LiveGrant`.
        forget_at: Instant from which refunds are ignored.
    """

    refundable: int
    refunded: int
    spent_since: int
    forget_at: float


class Granted(NamedTuple):
    """Result of asking a ledger.

    Attributes:
        tokens: Tokens granted, 0 for none.
        retry_after: Seconds until the rest of the minimum has refilled.
    """

    tokens: int
    retry_after: float


class Ledger:
    """Holds `level + outstanding <= share of burst` at all times.

    Pure: instants are passed in.

    Args:
        share: The zone's share of rate and burst.
        level: Tokens at the start; cut to the share of burst.
        now: Current instant.
    """

    __slots__ = (
        "fills",
        "level",
        "live",
        "next_expiry",
        "outstanding",
        "past",
        "refilled_at",
        "share",
    )

    def __init__(self, share: shares.Share, level: float, now: float) -> None:
        self.share = share
        self.level = min(level, float(share.burst))
        self.outstanding = 0
        self.refilled_at = now
        self.live: dict[str, LiveGrant] = {}
        self.past: dict[str, PastGrant] = {}
        self.next_expiry = math.inf
        self.fills = fill_maxima.FillMaxima()

    @property
    def fill(self) -> float:
        """Tokens that hosts may admit without further refill, at most."""
        return self.level + self.outstanding

    def advance(self, share: shares.Share, now: float) -> None:
        """Expires grants and refills up to `now`.

        Where the share has changed since the last call, the smaller rate
        counts for the whole time in between, since the moment of the edit is
        not known here.

        Args:
            share: Share in force.
            now: Current instant.
        """
        rate = min(share.rate, self.share.rate)
        refill = max(0.0, now - self.refilled_at) * rate
        self.share = share
        self.refilled_at = max(now, self.refilled_at)
        self.add(refill)
        if now >= self.next_expiry:
            self.expire(now)
        self.fills.observe(self.fill)

    def add(self, tokens: float) -> None:
        """Raises the level as far as the share of burst allows."""
        room = self.share.burst - self.outstanding
        self.level = max(0.0, min(self.level + tokens, float(room)))

    def expire(self, now: float) -> None:
        """Ends the grants whose time is over; their tokens are lost."""
        for grant_id, grant in list(self.live.items()):
            if grant.expires_at <= now:
                self.retire(grant_id, grant, grant.tokens, now)
        self.next_expiry = min(
            (grant.expires_at for grant in self.live.values()),
            default=math.inf,
        )
        for grant_id, past in list(self.past.items()):
            if past.forget_at > now:
                break
            del self.past[grant_id]

    def retire(
        self, grant_id: str, grant: LiveGrant, refundable: int, now: float
    ) -> None:
        """Takes a grant out of the outstanding ones."""
        del self.live[grant_id]
        self.outstanding -= grant.outstanding
        since = grant.spent_since
        self.past[grant_id] = PastGrant(
            refundable,
            grant.refunded,
            self.fills.sequence if since is None else since,
            now + REFUND_MEMORY.total_seconds(),
        )

    def grant(
        self,
        grant_id: str,
        minimum: int,
        wanted: int,
        hosts: int,
        validity: float,
        now: float,
    ) -> Granted:
        """Subtracts tokens for a host; call `advance` first.

        Args:
            grant_id: Id of the new grant.
            minimum: Tokens that a waiting request lacks.
            wanted: Tokens that the host would like.
            hosts: Live hosts that share what is left.
            validity: Seconds that the grant lives on the host.
            now: Current instant.

        Returns:
            What was granted; part of the minimum if there is not more.
        """
        available = int(self.level + ROUNDING)
        tokens = min(minimum, available)
        if tokens == minimum:
            spare = (available - tokens) // (2 * max(1, hosts))
            tokens += min(max(0, wanted - minimum), spare)
        lacking = max(0, minimum - tokens)
        retry_after = lacking / self.share.rate if self.share.rate else 60.0
        if tokens <= 0:
            return Granted(0, retry_after)
        expires_at = now + validity + EXPIRY_MARGIN.total_seconds()
        self.level = max(0.0, self.level - tokens)
        self.outstanding += tokens
        self.live[grant_id] = LiveGrant(tokens, expires_at)
        self.next_expiry = min(self.next_expiry, expires_at)
        return Granted(tokens, retry_after)

    def report(self, usage: messages.GrantUsage, now: float) -> None:
        """Applies a host's totals for a grant; call `advance` first.

        Reports that repeat or come late change nothing.
        """
        grant = self.live.get(usage.grant_id)
        if grant is not None:
            self.report_spent(grant, usage.spent)
            if usage.returned:
                self.take_back(usage, grant, now)
            elif usage.refunded:
                self.refund_live(usage, grant)
        if usage.refunded:
            self.refund_past(usage)

    def report_spent(self, grant: LiveGrant, spent: int) -> None:
        """Moves newly spent tokens out of the outstanding ones."""
        newly = min(spent, grant.tokens) - grant.spent
        if newly <= 0:
            return
        grant.spent += newly
        self.outstanding -= newly
        if grant.spent_since is None:
            grant.spent_since = self.fills.sequence

    def take_back(
        self, usage: messages.GrantUsage, grant: LiveGrant, now: float
    ) -> None:
        """Ends a grant whose host has given back what it did not spend."""
        returned = min(usage.returned, grant.outstanding)
        self.retire(usage.grant_id, grant, grant.spent, now)
        self.add(returned)

    def refund_live(self, usage: messages.GrantUsage, grant: LiveGrant) -> None:
        """Credits a refund of a grant that is still outstanding."""
        newly = min(usage.refunded, grant.spent) - grant.refunded
        if newly > 0 and grant.spent_since is not None:
            grant.refunded += newly
            self.credit(newly, grant.spent_since)

    def refund_past(self, usage: messages.GrantUsage) -> None:
        """Credits a refund of a grant that has ended."""
        past = self.past.get(usage.grant_id)
        if past is None:
            return
        newly = min(usage.refunded, past.refundable) - past.refunded
        if newly > 0:
            refunded = past.refunded + newly
            self.past[usage.grant_id] = past._replace(refunded=refunded)
            self.credit(newly, past.spent_since)

    def credit(self, tokens: int, spent_since: int) -> None:
        """Credits tokens that requests reserved and did not use."""
        highest = max(self.fills.highest_since(spent_since), self.fill)
        credit = max(0.0, min(tokens, self.share.burst - highest))
        self.add(credit)
        self.fills.credit(spent_since, credit)

    def idle(self) -> bool:
        """Returns whether the ledger is full and no grant is outstanding."""
        full = self.level >= self.share.burst - ROUNDING
        return full and not self.live

    def export(self, account: str, now: float) -> messages.LedgerState:
        """Returns the state for a hand-over; call `advance` first."""
        outstanding = [
            messages.OutstandingGrant(
                grant_id,
                grant.outstanding,
                grant.expires_at - now,
                grant.spent,
            )
            for grant_id, grant in self.live.items()
        ]
        return messages.LedgerState(account, self.level, outstanding)


def restore(
    state: messages.LedgerState, share: shares.Share, now: float
) -> Ledger:
    """Returns a ledger that continues one of another host.

    The state's age in transit only delays expiry and refill.

    Args:
        state: State exported by the earlier holder.
        share: Share in force.
        now: Current instant.
    """
    ledger = Ledger(share, 0.0, now)
    # The fills before the hand-over are unknown here. Taking the ledger to
    # have been full keeps refunds for that time from being credited.
    ledger.fills.observe(float(share.burst))
    for item in state.outstanding:
        grant = LiveGrant(item.tokens + item.spent, now + item.remaining)
        grant.spent = item.spent
        grant.spent_since = 0 if item.spent else None
        ledger.live[item.grant_id] = grant
        ledger.outstanding += item.tokens
        ledger.next_expiry = min(ledger.next_expiry, grant.expires_at)
    ledger.add(state.level)
    return ledger
