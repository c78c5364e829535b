"""Grants of prepaid tokens that this host holds for one account."""

from __future__ import annotations

import math
from typing import NamedTuple

from coltsfootarch.protocol import messages


class Grant:
    """A grant on the host that received it; `ledger.LiveGrant` is its issuer's.

    Attributes:
        account: Client account.
        availability_zone: Zone of the ledger.
        shard: Home shard of the account in that zone.
        grant_id: Id given by the ledger.
        available: Tokens that are not reserved.
        spent: Tokens reserved for requests.
        reported: Largest value of `spent` in any message that was sent.
        returned: Tokens returned to the ledger without being reserved.
        refunded: Tokens that were reserved and reported as spent, but not
            used.
        granted_at: Instant at which the grant was requested.
        expires_at: Instant from which the grant must not be spent.
    """

    __slots__ = (
        "account",
        "availability_zone",
        "available",
        "expires_at",
        "grant_id",
        "granted_at",
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
        self.available = tokens
        self.spent = 0
        self.reported = 0
        self.returned = 0
        self.refunded = 0
        self.granted_at = granted_at
        self.expires_at = granted_at + validity

    def report(self) -> messages.GrantUsage:
        """Returns the totals to send and marks the spent tokens as reported."""
        self.reported = max(self.reported, self.spent)
        return messages.GrantUsage(
            self.grant_id,
            self.spent,
            self.returned,
            self.refunded,
            self.account,
        )

    def release(self, tokens: int, now: float) -> bool:
        """Releases reserved tokens that a request did not use.

        Tokens that the ledger still counts as outstanding can be spent again
        at once. The others are reported as a refund, and the ledger decides
        how many of them it credits.

        Args:
            tokens: Unused tokens.
            now: Current instant.

        Returns:
            Whether there is a refund to report to the ledger.
        """
        unreported = self.spent - self.reported
        reusable = 0
        if now < self.expires_at:
            reusable = min(tokens, unreported)
        self.spent -= reusable
        self.available += reusable
        self.refunded += tokens - reusable
        return tokens > reusable


class ReservedPart(NamedTuple):
    """Tokens that a reservation takes from one grant."""

    grant: Grant
    tokens: int


class AccountGrants:
    """Grants of one account, spent in the order in which they expire.

    Attributes:
        grants: Grants that have not expired, ordered by expiry.
        last_spent_at: Instant of the last reservation.
        window_start: Start of the current one-second window.
        window_spent: Tokens spent in the current window.
        previous_window_spent: Tokens spent in the window before it.
    """

    def __init__(self, now: float) -> None:
        self.grants: list[Grant] = []
        self.last_spent_at = now
        self.window_start = now
        self.window_spent = 0
        self.previous_window_spent = 0

    def add(self, grant: Grant) -> None:
        """Adds a new grant."""
        self.grants.append(grant)
        self.grants.sort(key=lambda item: item.expires_at)

    def discard_expired(self, now: float) -> None:
        """Removes expired grants."""
        if self.grants and self.grants[0].expires_at <= now:
            self.grants = [
                grant for grant in self.grants if now < grant.expires_at
            ]

    def balance(self, now: float) -> int:
        """Returns the number of tokens that can be reserved now."""
        self.discard_expired(now)
        return sum(grant.available for grant in self.grants)

    def spend(self, tokens: int, now: float) -> list[ReservedPart]:
        """Reserves tokens; the balance must be sufficient.

        Args:
            tokens: Tokens to reserve, at most `balance(now)`.
            now: The instant passed to `balance`.

        Returns:
            The tokens taken from each grant.
        """
        parts = []
        missing = tokens
        for grant in self.grants:
            if missing == 0:
                break
            taken = min(grant.available, missing)
            if taken == 0:
                continue
            grant.available -= taken
            grant.spent += taken
            missing -= taken
            parts.append(ReservedPart(grant, taken))
        self.record_spending(tokens, now)
        return parts

    def record_spending(self, tokens: int, now: float) -> None:
        """Adds to the tokens spent in the current one-second window."""
        self.advance_window(now)
        self.window_spent += tokens
        self.last_spent_at = now

    def advance_window(self, now: float) -> None:
        """Starts a new window if the current one has ended."""
        age = now - self.window_start
        if age < 1.0:
            return
        self.previous_window_spent = self.window_spent if age < 2.0 else 0
        self.window_spent = 0
        self.window_start = now

    def recent_spending(self, now: float) -> int:
        """Returns the tokens spent in about one second.

        This is the larger of the current and the previous one-second window.
        """
        self.advance_window(now)
        return max(self.window_spent, self.previous_window_spent)

    def remove_all(self) -> list[Grant]:
        """Removes all grants and marks their available tokens as returned."""
        taken = self.grants
        self.grants = []
        for grant in taken:
            grant.returned += grant.available
            grant.available = 0
            grant.expires_at = -math.inf
        return taken
