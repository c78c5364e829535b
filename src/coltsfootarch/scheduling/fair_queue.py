"""Weighted fair queueing between client accounts, measured in tokens."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from sortedcontainers import SortedSet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.scheduling import items

# Weighted tokens by which the virtual time of an account below its share may
# lag behind. A burst of such an account runs before accounts above their share.
DEFAULT_CREDIT = 100_000.0


class FairQueue:
    """Orders waiting items by the virtual time of their account.

    Each item removed for execution adds its tokens, divided by its weight, to
    the virtual time of its account. The account with the lowest virtual time is
    served first. Priorities only order the items of one account, so that no
    account can overtake others with them. When an account becomes active, its
    virtual time is limited to `credit` above or below the lowest active one.

    Args:
        credit: Maximum of this difference, in weighted tokens.

    Attributes:
        virtual_floor: Lowest virtual time of an active account so far; it never
            decreases.
        virtual_times: Virtual time by account.
        waiting_heaps: Heap of queued items by active account; may contain
            removed items.
        active_accounts: Active accounts, ordered by virtual time.
        waiting_keys: Keys of the queued items.
    """

    def __init__(self, credit: float = DEFAULT_CREDIT) -> None:
        self.credit = credit
        self.virtual_floor = 0.0
        self.virtual_times: dict[str, float] = {}
        self.waiting_heaps: dict[
            str, list[tuple[int, int, items.WorkItem]]
        ] = {}
        self.active_accounts = SortedSet()
        self.waiting_keys: set[items.AttemptKey] = set()
        self.sequence = itertools.count()

    def __len__(self) -> int:
        return len(self.waiting_keys)

    def push(self, item: items.WorkItem) -> None:
        """Adds an item; an item that is already queued is ignored."""
        if item.key in self.waiting_keys:
            return
        self.waiting_keys.add(item.key)
        heap = self.waiting_heaps.get(item.account)
        if heap is None:
            heap = self.waiting_heaps[item.account] = []
            self.activate(item.account)
        heapq.heappush(heap, (-item.priority, next(self.sequence), item))

    def first_items(self) -> Iterator[items.WorkItem]:
        """Yields the first item of each account, lowest virtual time first."""
        for _, account in list(self.active_accounts):
            first_item = self.first_item(account)
            if first_item is not None:
                yield first_item

    def peek(self) -> items.WorkItem | None:
        """Returns the next item without removing it; None if there is none."""
        return next(self.first_items(), None)

    def dequeue(self, item: items.WorkItem) -> None:
        """Removes an item for execution and charges its account."""
        self.remove(item)
        self.charge(item.account, item.cost / item.weight)

    def remove(self, item: items.WorkItem) -> None:
        """Removes an item without charging its account."""
        self.waiting_keys.discard(item.key)
        self.first_item(item.account)

    def charge(self, account: str, weighted_tokens: float) -> None:
        """Adds to an account's virtual time; a negative amount refunds."""
        previous = self.virtual_times.get(account, self.virtual_floor)
        if account in self.waiting_heaps:
            self.active_accounts.remove((previous, account))
            self.active_accounts.add((previous + weighted_tokens, account))
        self.virtual_times[account] = previous + weighted_tokens
        self.raise_virtual_floor()

    def prune(self) -> None:
        """Removes idle accounts whose virtual time `activate` would replace."""
        stale = [
            account
            for account, virtual in self.virtual_times.items()
            if account not in self.waiting_heaps
            and virtual <= self.virtual_floor - self.credit
        ]
        for account in stale:
            del self.virtual_times[account]

    def activate(self, account: str) -> None:
        """Makes an account active and limits its virtual time."""
        virtual = self.virtual_times.get(
            account, self.virtual_floor - self.credit
        )
        virtual = max(virtual, self.virtual_floor - self.credit)
        virtual = min(virtual, self.virtual_floor + self.credit)
        self.virtual_times[account] = virtual
        self.active_accounts.add((virtual, account))

    def first_item(self, account: str) -> items.WorkItem | None:
        """Returns the first item of an account.

        An account without items becomes inactive and returns None.
        """
        heap = self.waiting_heaps.get(account)
        if heap is None:
            return None
        while heap and heap[0][2].key not in self.waiting_keys:
            heapq.heappop(heap)
        if heap:
            return heap[0][2]
        del self.waiting_heaps[account]
        self.active_accounts.discard((self.virtual_times[account], account))
        return None

    def raise_virtual_floor(self) -> None:
        """Raises the floor to the lowest active virtual time."""
        if self.active_accounts:
            self.virtual_floor = max(
                self.virtual_floor, self.active_accounts[0][0]
            )
