"""Prepaid tokens of one account on this host."""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootarch.protocol import messages


class Grant:
    """A grant as its host sees it.

    Attributes:
        account: Client account.
        availability_zone: Zone of the ledger.
        shard: Home shard of the account in that zone.
        grant_id: Id given by the ledger.
        left: Tokens not reserved.
        spent: Tokens reserved.
        reported: Largest value of `spent` in any message that was sent.
        returned: Tokens given back without having been reserved.
        refunded: Tokens reserved, reported and not used.
        granted_at: Instant at which it was asked for.
        expires_at: Instant from which it must not be spent.
    """

    __slots__ = (
        "account",
        "availability_zone",
        "expires_at",
        "grant_id",
        "granted_at",
        "left",
        "refunded",
        "reported",
        "returned",
        "shard",
        "spent",
    )

    def __init__(
        self,
        account: str,
        availability_zone: str,
        shard: int,
        grant_id: str,
        tokens: int,
        granted_at: float,
        validity: float,
    ) -> None:
        self.account = account
        self.availability_zone = availability_zone
        self.shard = shard
        self.grant_id = grant_id
        self.left = tokens
        self.spent = 0
        self.reported = 0
        self.returned = 0
        self.refunded = 0
        self.granted_at = granted_at
        self.expires_at = granted_at + validity

    def report(self) -> messages.GrantUsage:
        """Returns the totals and notes that they have been sent."""
        self.reported = max(self.reported, self.spent)
        return messages.GrantUsage(
            self.grant_id,
            self.spent,
            self.returned,
            self.refunded,
            self.account,
        )

    def give_back(self, tokens: int, now: float) -> bool:
        """Takes back reserved tokens that a request did not use.

        Tokens that the ledger still counts as outstanding can be spent again
        at once. Others become a refund, which the ledger decides on.

        Returns:
            Whether the ledger must be notified.
        """
        unreported = self.spent - self.reported
        reusable = 0
        if now < self.expires_at:
            reusable = min(tokens, unreported)
        self.spent -= reusable
        self.left += reusable
        self.refunded += tokens - reusable
        return tokens > reusable


class Part(NamedTuple):
    """Tokens of one grant within a reservation."""

    grant: Grant
    tokens: int


class Wallet:
    """Grants of one account; spends those first that expire first.

    Attributes:
        grants: Grants with tokens left, by expiry.
        last_spent_at: Instant of the last reservation.
    """

    def __init__(self, now: float) -> None:
        self.grants: list[Grant] = []
        self.last_spent_at = now
        self.window_start = now
        self.window_spent = 0
        self.earlier_spent = 0

    def add(self, grant: Grant) -> None:
        """Adds a new grant."""
        self.grants.append(grant)
        self.grants.sort(key=lambda item: item.expires_at)

    def discard_expired(self, now: float) -> None:
        """Removes grants that must not be spent any more."""
        if self.grants and self.grants[0].expires_at <= now:
            self.grants = [
                grant for grant in self.grants if now < grant.expires_at
            ]

    def balance(self, now: float) -> int:
        """Returns the tokens that can be spent now."""
        self.discard_expired(now)
        return sum(grant.left for grant in self.grants)

    def spend(self, tokens: int, now: float) -> list[Part]:
        """Reserves tokens; call only if the balance is sufficient.

        Args:
            tokens: Tokens to reserve, at most `balance(now)`.
            now: The instant passed to `balance`.

        Returns:
            The grants used and how much of each.
        """
        parts = []
        lacking = tokens
        for grant in self.grants:
            if lacking == 0:
                break
            taken = min(grant.left, lacking)
            if taken == 0:
                continue
            grant.left -= taken
            grant.spent += taken
            lacking -= taken
            parts.append(Part(grant, taken))
        self.note_spent(tokens, now)
        return parts

    def note_spent(self, tokens: int, now: float) -> None:
        """Counts spending in windows of one second."""
        self.roll(now)
        self.window_spent += tokens
        self.last_spent_at = now

    def roll(self, now: float) -> None:
        """Starts a new window when the current one is over."""
        age = now - self.window_start
        if age < 1.0:
            return
        self.earlier_spent = self.window_spent if age < 2.0 else 0
        self.window_spent = 0
        self.window_start = now

    def recent_spending(self, now: float) -> int:
        """Returns the tokens spent in about the last second."""
        self.roll(now)
        return max(self.window_spent, self.earlier_spent)

    def take_all(self) -> list[Grant]:
        """Empties the wallet and marks what is left as returned."""
        taken = self.grants
        self.grants = []
        for grant in taken:
            grant.returned += grant.left
            grant.left = 0
            grant.expires_at = -math.inf
        return taken
