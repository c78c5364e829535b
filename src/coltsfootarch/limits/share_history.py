"""Changes of account shares, from which levels of unused ledgers follow."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.limits import shares

if TYPE_CHECKING:
    from coltsfootarch.config import register as registers


class ShareEdit(NamedTuple):
    """A change of an account's share.

    Attributes:
        until: Instant until which the earlier share applies.
        before: Share until then; None if there was none.
    """

    until: float
    before: shares.Share | None


class ShareHistory:
    """Records how the shares of accounts have changed on this host.

    An unused ledger has no state, so its level is computed from the shares
    that were in force since the shard was acquired. Without this history,
    raising a burst twice would grant the difference twice.

    Args:
        availability_zone: Zone whose shares are recorded.
    """

    # Edits kept per account. Before the oldest one a ledger counts as empty.
    MAX_EDITS = 8

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone
        self.register: registers.Register | None = None
        self.updated_at = 0.0
        self.by_account: dict[str, list[ShareEdit]] = {}

    def update(self, register: registers.Register, now: float) -> None:
        """Records the changes if the register has been replaced.

        The edit happened between the previous call and this one; the smaller
        rate applies to the time between them.
        """
        updated_at, self.updated_at = self.updated_at, now
        if register is self.register:
            return
        previous_register, self.register = self.register, register
        if previous_register is None:
            return
        zone = self.availability_zone
        for account in register.client_accounts:
            before = shares.share_of(previous_register, account, zone)
            after = shares.share_of(register, account, zone)
            if before == after:
                continue
            lowered = before and after and after.rate < before.rate
            edits = self.by_account.setdefault(account, [])
            edits.append(ShareEdit(updated_at if lowered else now, before))
            del edits[: -self.MAX_EDITS]
        for account in previous_register.client_accounts:
            if account not in register.client_accounts:
                self.by_account.pop(account, None)

    def unused_level(
        self, account: str, share: shares.Share, since: float, now: float
    ) -> float:
        """Returns the level of an unused ledger, in tokens.

        Args:
            account: Client account.
            share: Share in force.
            since: Instant from which it refills, from zero.
            now: Current instant.
        """
        level = 0.0
        edits = self.by_account.get(account, [])
        if len(edits) == self.MAX_EDITS:
            since = max(since, edits[0].until)
        for edit in edits:
            if edit.before is None:
                since = max(since, edit.until)
            elif edit.until > since:
                refill = (edit.until - since) * edit.before.rate
                level = min(level + refill, float(edit.before.burst))
                since = edit.until
        refill = max(0.0, now - since) * share.rate
        return min(level + refill, float(share.burst))
