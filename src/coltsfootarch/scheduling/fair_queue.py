"""Weighted fair queue, in tokens, between client accounts."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from sortedcontainers import SortedSet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.scheduling import items

# Weighted tokens by which an account that used less than its share may lag.
# It lets a burst of such an account run before accounts above their share.
DEFAULT_CREDIT = 100_000.0


class FairQueue:
    """Orders waiting items by the virtual time of their account.

    An account's virtual time grows by tokens / weight with each item taken.
    The account with the lowest virtual time is served first; priorities order
    the items of one account only, so no account can overtake with them. The
    virtual times of accounts differ by at most `credit` in either direction
    when an account becomes active.

    Args:
        credit: Bound of the difference, in weighted tokens.
    """

    def __init__(self, credit: float = DEFAULT_CREDIT) -> None:
        self.credit = credit
        self.floor = 0.0
        self.virtual: dict[str, float] = {}
        self.waiting: dict[str, list[tuple[int, int, items.WorkItem]]] = {}
        self.order = SortedSet()
        self.present: set[items.AttemptKey] = set()
        self.sequence = itertools.count()

    def __len__(self) -> int:
        return len(self.present)

    def push(self, item: items.WorkItem) -> None:
        """Adds an item; one that already waits is ignored."""
        if item.key in self.present:
            return
        self.present.add(item.key)
        heap = self.waiting.get(item.account)
        if heap is None:
            heap = self.waiting[item.account] = []
            self.activate(item.account)
        heapq.heappush(heap, (-item.priority, next(self.sequence), item))

    def heads(self) -> Iterator[items.WorkItem]:
        """Yields the first item of each account, fairest account first."""
        for _, account in list(self.order):
            head = self.head(account)
            if head is not None:
                yield head

    def first(self) -> items.WorkItem | None:
        """Returns the item that is due next, or None."""
        return next(self.heads(), None)

    def take(self, item: items.WorkItem) -> None:
        """Removes an item that runs and charges its account."""
        self.remove(item)
        self.charge(item.account, item.cost / item.weight)

    def remove(self, item: items.WorkItem) -> None:
        """Removes an item without a charge."""
        self.present.discard(item.key)
        self.head(item.account)

    def charge(self, account: str, weighted_tokens: float) -> None:
        """Adds to an account's virtual time; a negative amount refunds."""
        before = self.virtual.get(account, self.floor)
        if account in self.waiting:
            self.order.remove((before, account))
            self.order.add((before + weighted_tokens, account))
        self.virtual[account] = before + weighted_tokens
        self.raise_floor()

    def prune(self) -> None:
        """Removes idle accounts whose virtual time no longer matters."""
        stale = [
            account
            for account, virtual in self.virtual.items()
            if account not in self.waiting
            and virtual <= self.floor - self.credit
        ]
        for account in stale:
            del self.virtual[account]

    def activate(self, account: str) -> None:
        """Adds an account to the order with a bounded virtual time."""
        virtual = self.virtual.get(account, self.floor - self.credit)
        virtual = max(virtual, self.floor - self.credit)
        virtual = min(virtual, self.floor + self.credit)
        self.virtual[account] = virtual
        self.order.add((virtual, account))

    def head(self, account: str) -> items.WorkItem | None:
        """Returns the first item of an account; drops it without one."""
        heap = self.waiting.get(account)
        if heap is None:
            return None
        while heap and heap[0][2].key not in self.present:
            heapq.heappop(heap)
        if heap:
            return heap[0][2]
        del self.waiting[account]
        self.order.discard((self.virtual[account], account))
        return None

    def raise_floor(self) -> None:
        """Raises the floor to the lowest active virtual time."""
        if self.order:
            self.floor = max(self.floor, self.order[0][0])
