"""Bounds the memory of the callers' requests that a host holds.

It answers this load: many callers send requests of the largest allowed size, or
of very many short header lines, together or without their end, while others
send usual ones. The limits of a single request don't help there, since nothing
bounds their sum.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.http1 import messages

# Memory of all requests in bytes from which the largest are given up.
CAPACITY_BYTES = 16 * 1024 * 1024
# Size in bytes up to which a request is usual. Usual ones have as much memory
# again, so that they don't depend on what others send.
USUAL_BYTES = 32 * 1024
# Memory of a decoded request without its fields, and of a field without its
# bytes: two strings and a tuple. Heads are held twice, as received and as sent.
REQUEST_BYTES = 512
FIELD_BYTES = 200
HEAD_COPIES = 2
# Bytes of one caller that the system keeps until they are read. On some
# machines they count as memory of the process. The end of a connection is
# noticed behind no more than these.
RECEIVE_BUFFER_BYTES = 64 * 1024


def request_bytes(request: messages.Request) -> int:
    """Returns the memory that a decoded request takes, in bytes."""
    head = len(request.target) + sum(
        len(name) + len(value) for name, value in request.fields
    )
    return (
        REQUEST_BYTES
        + FIELD_BYTES * len(request.fields)
        + HEAD_COPIES * head
        + len(request.body)
    )


class Holding:
    """Bytes that one caller makes the host hold.

    Args:
        memory: The bound that they count against.
        drop: Frees the bytes; called only while no request is handled. It is
            forgotten with the holding, since it refers to the caller.

    Attributes:
        size: Number of bytes.
        handled: Whether a request is handled, so that it can't be given up.
        given_up: Whether the bytes were dropped for others.
    """

    def __init__(
        self, memory: RequestMemory, drop: Callable[[], object]
    ) -> None:
        self.memory = memory
        self.drop: Callable[[], object] | None = drop
        self.size = 0
        self.handled = False
        self.given_up = False

    def resize(self, size: int) -> None:
        """Records the present size; drops the largest holdings if full."""
        self.memory.resize(self, size)

    def take(self, size: int) -> bool:
        """Records the size of what can't be dropped for others.

        Returns:
            Whether there is room for it; without room the request must end.
        """
        self.handled = True
        self.resize(size)
        return not self.memory.is_beyond_bound(self)

    def close(self) -> None:
        """Frees the memory."""
        self.memory.remove(self)


def drop_nothing() -> None:
    """Drops nothing, for holdings that are never given up."""


class RequestMemory:
    """Memory of all requests that a host reads or handles.

    If it is full, the largest of those that are read is given up. A single
    large request among usual ones is always taken.

    Args:
        on_give_up: Called for each holding that is given up.
        capacity: Memory of all requests in bytes, and again of usual ones.

    Attributes:
        used: Bytes in use.
    """

    def __init__(
        self,
        on_give_up: Callable[[], object] = lambda: None,
        capacity: int = CAPACITY_BYTES,
    ) -> None:
        self.on_give_up = on_give_up
        self.capacity = capacity
        self.holdings: set[Holding] = set()
        self.used = 0

    @property
    def has_room(self) -> bool:
        """Whether requests may be read before their turn."""
        return self.used < self.capacity

    def open(self, drop: Callable[[], object]) -> Holding:
        """Returns a holding; see `Holding`."""
        holding = Holding(self, drop)
        self.holdings.add(holding)
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Changes the size of a holding; gives up the largest ones if full."""
        if holding not in self.holdings:
            return
        grows = size > holding.size and not holding.handled
        self.used += size - holding.size
        holding.size = size
        while grows and not holding.given_up and self.is_beyond_bound(holding):
            self.give_up_largest()

    def is_beyond_bound(self, holding: Holding) -> bool:
        """Returns whether a holding that has grown needs the memory of one."""
        if self.used <= self.capacity:
            return False
        if holding.size <= USUAL_BYTES:
            return self.used > 2 * self.capacity
        return any(
            each.size > USUAL_BYTES
            for each in self.holdings
            if each is not holding
        )

    def give_up_largest(self) -> None:
        """Gives up the largest holding that isn't handled."""
        victim = max(
            (each for each in self.holdings if not each.handled),
            key=lambda each: each.size,
        )
        victim.given_up = True
        if victim.drop is not None:
            victim.drop()
        self.remove(victim)
        self.on_give_up()

    def remove(self, holding: Holding) -> None:
        """Forgets a holding."""
        holding.drop = None
        if holding in self.holdings:
            self.holdings.discard(holding)
            self.used -= holding.size
