"""Levels of ledgers that no one has used yet, across register edits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.limits import shares

if TYPE_CHECKING:
    from coltsfootarch.config import register as registers


class Edit(NamedTuple):
    """A change of an account's share.

    Attributes:
        at: Instant until which the earlier share counts.
        before: Share until then.
    """

    at: float
    before: shares.Share | None


class Edits:
    """Remembers how the shares of accounts have changed on this host.

    An unused ledger has no state, so its level is computed from the shares
    that were in force since the shard was acquired. Without them, raising a
    burst twice would hand out the difference twice.

    Args:
        availability_zone: Zone whose shares are meant.
    """

    LIMIT = 8  # edits kept per account; before them a ledger counts as empty

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone
        self.register: registers.Register | None = None
        self.followed_at = 0.0
        self.by_account: dict[str, list[Edit]] = {}

    def follow(self, register: registers.Register, now: float) -> None:
        """Records the changes if the register is another one than before.

        The edit happened between the last call and this one. The smaller
        rate counts for the time in between.
        """
        followed_at, self.followed_at = self.followed_at, now
        if register is self.register:
            return
        earlier, self.register = self.register, register
        if earlier is None:
            return
        zone = self.availability_zone
        for account in register.client_accounts:
            before = shares.share_of(earlier, account, zone)
            after = shares.share_of(register, account, zone)
            if before == after:
                continue
            lowered = before and after and after.rate < before.rate
            edits = self.by_account.setdefault(account, [])
            edits.append(Edit(followed_at if lowered else now, before))
            del edits[: -self.LIMIT]
        for account in earlier.client_accounts:
            if account not in register.client_accounts:
                self.by_account.pop(account, None)

    def unused_level(
        self, account: str, share: shares.Share, since: float, now: float
    ) -> float:
        """Returns the level of a ledger without state.

        Args:
            account: Client account.
            share: Share in force.
            since: Instant from which it refills, starting at zero.
            now: Current instant.
        """
        level = 0.0
        edits = self.by_account.get(account, [])
        if len(edits) == self.LIMIT:
            since = max(since, edits[0].at)
        for edit in edits:
            if edit.before is None:
                since = max(since, edit.at)
            elif edit.at > since:
                refill = (edit.at - since) * edit.before.rate
                level = min(level + refill, float(edit.before.burst))
                since = edit.at
        refill = max(0.0, now - since) * share.rate
        return min(level + refill, float(share.burst))
