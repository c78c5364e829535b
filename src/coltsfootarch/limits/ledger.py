"""Ledger of one account in one availability zone.

A ledger is a token bucket that also tracks the grants issued from it.
"""

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

# A grant expires this much later on the ledger than on its host, since the
# clocks of two hosts run at slightly different speeds.
EXPIRY_MARGIN = datetime.timedelta(milliseconds=100)

# Refunds are accepted for this long after a grant has ended. Refunds of
# requests that run longer are lost.
REFUND_RETENTION = datetime.timedelta(seconds=120)

# Accumulated rounding errors of repeated refills, in tokens, stay below this.
ROUNDING_TOLERANCE = 1e-6


class LiveGrant:
    """A grant that its host may still spend, as the ledger tracks it.

    Attributes:
        tokens: Tokens granted.
        spent: Tokens reported as spent.
        refunded: Tokens reported as refunded.
        expires_at: Instant from which its host no longer spends it.
        first_spent_sequence: Number of the last fill observation before the
            first report of spent tokens, or None before that report.
    """

    __slots__ = (
        "expires_at",
        "first_spent_sequence",
        "refunded",
        "spent",
        "tokens",
    )

    def __init__(self, tokens: int, expires_at: float) -> None:
        self.tokens = tokens
        self.spent = 0
        self.refunded = 0
        self.expires_at = expires_at
        self.first_spent_sequence: int | None = None

    @property
    def outstanding(self) -> int:
        """Tokens that are not reported as spent."""
        return self.tokens - self.spent


class EndedGrant(NamedTuple):
    """A grant that has ended but whose spent tokens can still be refunded.

    Attributes:
        refundable: Upper bound of the tokens refunded in total.
        refunded: Tokens refunded so far.
        first_spent_sequence: As in `LiveGrant`; the observation at the end of
            the grant if no spent tokens were reported.
        refundable_until: Instant from which refunds are ignored.
    """

    refundable: int
    refunded: int
    first_spent_sequence: int
    refundable_until: float


class GrantResult(NamedTuple):
    """Result of a request for a grant.

    Attributes:
        tokens: Tokens granted; 0 if no grant was made.
        retry_after: Seconds until the missing part of the minimum has been
            refilled; 0 if nothing is missing.
    """

    tokens: int
    retry_after: float


class Ledger:
    """Token bucket and grants of one account in one availability zone.

    Invariant: `level + outstanding` never exceeds the zone's share of the
    burst. The class does not read the clock; callers pass the current instant.

    Args:
        share: The zone's share of rate and burst.
        level: Initial tokens; limited to the share of the burst.
        now: Current instant.

    Attributes:
        level: Tokens available for new grants.
        outstanding: Tokens granted and not reported as spent.
        refilled_at: Instant of the last refill.
        live: Grants that their hosts may still spend, by id.
        ended: Grants that can only be refunded, by id, in the order in which
            they ended.
        next_expiry: Instant at which the next live grant expires, or earlier.
        fills: Highest fills since the observations that refunds refer to.
    """

    __slots__ = (
        "ended",
        "fills",
        "level",
        "live",
        "next_expiry",
        "outstanding",
        "refilled_at",
        "share",
    )

    def __init__(self, share: shares.Share, level: float, now: float) -> None:
        self.share = share
        self.level = min(level, float(share.burst))
        self.outstanding = 0
        self.refilled_at = now
        self.live: dict[str, LiveGrant] = {}
        self.ended: dict[str, EndedGrant] = {}
        self.next_expiry = math.inf
        self.fills = fill_maxima.FillMaxima()

    @property
    def fill(self) -> float:
        """Most tokens that hosts can admit without a further refill."""
        return self.level + self.outstanding

    def advance(self, share: shares.Share, now: float) -> None:
        """Expires grants and refills up to `now`.

        If the share has changed since the last call, the smaller rate is used
        for the whole interval, because the ledger does not know when the
        register was edited.

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
        """Adds tokens to the level, up to the share of the burst."""
        capacity = self.share.burst - self.outstanding
        self.level = max(0.0, min(self.level + tokens, float(capacity)))

    def expire(self, now: float) -> None:
        """Ends expired grants and removes ended ones past their refund time.

        Outstanding tokens of an expired grant are not returned to the level.
        """
        for grant_id, grant in list(self.live.items()):
            if grant.expires_at <= now:
                self.end_grant(grant_id, grant, grant.tokens, now)
        self.next_expiry = min(
            (grant.expires_at for grant in self.live.values()),
            default=math.inf,
        )
        for grant_id, ended in list(self.ended.items()):
            if ended.refundable_until > now:
                break
            del self.ended[grant_id]

    def end_grant(
        self, grant_id: str, grant: LiveGrant, refundable: int, now: float
    ) -> None:
        """Moves a grant from the live to the ended ones."""
        del self.live[grant_id]
        self.outstanding -= grant.outstanding
        sequence = grant.first_spent_sequence
        self.ended[grant_id] = EndedGrant(
            refundable,
            grant.refunded,
            self.fills.sequence if sequence is None else sequence,
            now + REFUND_RETENTION.total_seconds(),
        )

    def grant(
        self,
        grant_id: str,
        minimum: int,
        wanted: int,
        hosts: int,
        validity: float,
        now: float,
    ) -> GrantResult:
        """Grants tokens to a host; call `advance` first.

        Beyond the minimum, a host gets at most the 1 / (2 * hosts) part of
        what is left.

        Args:
            grant_id: Id of the new grant.
            minimum: Tokens that a waiting request is missing.
            wanted: Tokens that the host prefers to get, at least `minimum`.
            hosts: Number of live hosts that share the remaining tokens.
            validity: Seconds until the grant expires on the host.
            now: Current instant.

        Returns:
            The grant; less than the minimum if no more is available.
        """
        available = int(self.level + ROUNDING_TOLERANCE)
        tokens = min(minimum, available)
        if tokens == minimum:
            spare = (available - tokens) // (2 * max(1, hosts))
            tokens += min(max(0, wanted - minimum), spare)
        missing = max(0, minimum - tokens)
        retry_after = missing / self.share.rate if self.share.rate else 60.0
        if tokens <= 0:
            return GrantResult(0, retry_after)
        expires_at = now + validity + EXPIRY_MARGIN.total_seconds()
        self.level = max(0.0, self.level - tokens)
        self.outstanding += tokens
        self.live[grant_id] = LiveGrant(tokens, expires_at)
        self.next_expiry = min(self.next_expiry, expires_at)
        return GrantResult(tokens, retry_after)

    def report(self, usage: messages.GrantUsage, now: float) -> None:
        """Applies a host's totals for a grant; call `advance` first.

        Repeated and outdated reports have no effect.
        """
        grant = self.live.get(usage.grant_id)
        if grant is not None:
            self.report_spent(grant, usage.spent)
            if usage.returned:
                self.end_returned_grant(usage, grant, now)
            elif usage.refunded:
                self.refund_live_grant(usage, grant)
        if usage.refunded:
            self.refund_ended_grant(usage)

    def report_spent(self, grant: LiveGrant, spent: int) -> None:
        """Subtracts newly spent tokens from the outstanding ones."""
        increase = min(spent, grant.tokens) - grant.spent
        if increase <= 0:
            return
        grant.spent += increase
        self.outstanding -= increase
        if grant.first_spent_sequence is None:
            grant.first_spent_sequence = self.fills.sequence

    def end_returned_grant(
        self, usage: messages.GrantUsage, grant: LiveGrant, now: float
    ) -> None:
        """Ends a grant whose host has returned the unspent tokens."""
        returned = min(usage.returned, grant.outstanding)
        self.end_grant(usage.grant_id, grant, grant.spent, now)
        self.add(returned)

    def refund_live_grant(
        self, usage: messages.GrantUsage, grant: LiveGrant
    ) -> None:
        """Credits a refund of a live grant."""
        increase = min(usage.refunded, grant.spent) - grant.refunded
        if increase > 0 and grant.first_spent_sequence is not None:
            grant.refunded += increase
            self.credit(increase, grant.first_spent_sequence)

    def refund_ended_grant(self, usage: messages.GrantUsage) -> None:
        """Credits a refund of a grant that has ended."""
        ended = self.ended.get(usage.grant_id)
        if ended is None:
            return
        increase = min(usage.refunded, ended.refundable) - ended.refunded
        if increase > 0:
            refunded = ended.refunded + increase
            self.ended[usage.grant_id] = ended._replace(refunded=refunded)
            self.credit(increase, ended.first_spent_sequence)

    def credit(self, tokens: int, first_spent_sequence: int) -> None:
        """Credits refunded tokens, as far as `FillMaxima` allows.

        Args:
            tokens: Tokens that requests reserved and did not use.
            first_spent_sequence: As in `LiveGrant`.
        """
        highest = max(self.fills.highest_since(first_spent_sequence), self.fill)
        credit = max(0.0, min(tokens, self.share.burst - highest))
        self.add(credit)
        self.fills.credit(first_spent_sequence, credit)

    def is_idle(self) -> bool:
        """Returns whether the ledger is full and has no live grant."""
        full = self.level >= self.share.burst - ROUNDING_TOLERANCE
        return full and not self.live

    def export(self, account: str, now: float) -> messages.LedgerState:
        """Returns the state for a hand-over; call `advance` first.

        Args:
            account: Client account.
            now: Current instant.
        """
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
    """Returns a ledger restored from the state of an earlier holder.

    Transit time of the state only delays expiry and refill, which is safe.

    Args:
        state: State exported by the earlier holder.
        share: Share in force.
        now: Current instant.
    """
    ledger = Ledger(share, 0.0, now)
    # The fills before the hand-over are unknown. Assuming a full ledger keeps
    # refunds for that time from being credited.
    ledger.fills.observe(float(share.burst))
    for item in state.outstanding:
        grant = LiveGrant(item.tokens + item.spent, now + item.remaining)
        grant.spent = item.spent
        grant.first_spent_sequence = 0 if item.spent else None
        ledger.live[item.grant_id] = grant
        ledger.outstanding += item.tokens
        ledger.next_expiry = min(ledger.next_expiry, grant.expires_at)
    ledger.add(state.level)
    return ledger
