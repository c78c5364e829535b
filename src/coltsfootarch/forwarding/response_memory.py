"""Bounds the memory of the responses that a host has not passed on yet.

It answers this load: an upstream sends responses without end to many requests
at once, while other upstreams answer with sound ones. The bound of a single
response doesn't help there, since nothing bounds their sum.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Size of all responses together, in bytes. One response may be as long.
CAPACITY_BYTES = 16 * 1024 * 1024
# Size up to which a response is always taken, so that usual responses don't
# depend on what other upstreams send.
GUARANTEED_BYTES = 16 * 1024


class ResponseMemoryError(Exception):
    """A response is abandoned because those of its upstream are too large."""


class Holding:
    """Bytes of one response that the host keeps.

    Args:
        memory: The bound that they count against.
        upstream: Id of the upstream that sends the response.
        abandon: Ends the reading of the response; None if it is complete.

    Attributes:
        size: Number of bytes.
        abandoned: Whether the response was given up for others.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        upstream: str,
        abandon: Callable[[], object] | None,
    ) -> None:
        self.memory = memory
        self.upstream = upstream
        self.abandon = abandon
        self.size = 0
        self.abandoned = False

    def resize(self, size: int) -> None:
        """Records the present size in bytes.

        Raises:
            ResponseMemoryError: This response must be given up.
        """
        if not self.abandoned:
            self.memory.resize(self, size)
        if self.abandoned:
            raise ResponseMemoryError(
                f"response given up at {size} bytes: all responses together "
                f"may have {self.memory.capacity} bytes"
            )

    def settle(self) -> None:
        """Records that the response is complete; it is kept until `close`."""
        self.abandon = None

    def close(self) -> None:
        """Frees the memory."""
        self.memory.remove(self)


class ResponseMemory:
    """Memory of all responses that a host reads or has yet to pass on.

    If it is full, the largest incomplete response of the upstream that uses
    most of it is given up.

    Args:
        capacity: Size of all responses together, in bytes.
        on_abandon: Called with each response given up, and the bytes that its
            upstream used.

    Attributes:
        used: Bytes in use.
    """

    def __init__(
        self,
        on_abandon: Callable[[Holding, int], object] = lambda *_: None,
        capacity: int = CAPACITY_BYTES,
    ) -> None:
        self.capacity = capacity
        self.on_abandon = on_abandon
        self.holdings: set[Holding] = set()
        self.used = 0

    def open(
        self, upstream: str, abandon: Callable[[], object] | None
    ) -> Holding:
        """Returns a holding for a response; see `Holding`."""
        holding = Holding(self, upstream, abandon)
        self.holdings.add(holding)
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Changes the size of a response; gives up others or itself if full."""
        if holding not in self.holdings:
            return
        grows = size > holding.size
        self.used += size - holding.size
        holding.size = size
        while grows and self.used > self.capacity and not holding.abandoned:
            if not self.give_up_largest():
                return

    def give_up_largest(self) -> bool:
        """Gives up a response; returns False if none can be given up."""
        sizes: dict[str, int] = {}
        for each in self.holdings:
            sizes[each.upstream] = sizes.get(each.upstream, 0) + each.size
        candidates = [
            each
            for each in self.holdings
            if each.abandon is not None and each.size > GUARANTEED_BYTES
        ]
        if not candidates:
            return False
        victim = max(
            candidates, key=lambda each: (sizes[each.upstream], each.size)
        )
        abandon, victim.abandon = victim.abandon, None
        victim.abandoned = True
        self.remove(victim)
        self.on_abandon(victim, sizes[victim.upstream])
        if abandon is not None:
            abandon()
        return True

    def remove(self, holding: Holding) -> None:
        """Forgets a response."""
        if holding in self.holdings:
            self.holdings.discard(holding)
            self.used -= holding.size
