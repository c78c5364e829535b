"""Transfer links of engines as a scheduled resource."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items


class TransferSlot(NamedTuple):
    """Planned transfer; instants are monotonic seconds."""

    start: float
    end: float


class LinkBook:
    """Booked transfers by engine; an engine's link carries one at a time."""

    def __init__(self) -> None:
        self.bookings: dict[str, dict[items.AttemptKey, float]] = {}
        self.ends: dict[str, float] = {}

    def free_at(self, upstream: str) -> float:
        """Returns when the last booked transfer ends; 0 if none is booked."""
        return self.ends.get(upstream, 0.0)

    def plan(
        self,
        source: register.Upstream,
        target: register.Upstream,
        prompt_tokens: int,
        earliest: float,
    ) -> TransferSlot:
        """Returns the first slot from `earliest` on, without booking it."""
        start = max(
            earliest, self.free_at(source.name), self.free_at(target.name)
        )
        size = prompt_tokens * source.kv_bytes_per_token
        rate = min(source.link_rate, target.link_rate)
        return TransferSlot(start, start + size / rate)

    def book(
        self,
        source: str,
        target: str,
        key: items.AttemptKey,
        slot: TransferSlot,
    ) -> None:
        """Books a planned slot on both links."""
        for upstream in (source, target):
            self.bookings.setdefault(upstream, {})[key] = slot.end
            self.update(upstream)

    def release(self, source: str, target: str, key: items.AttemptKey) -> None:
        """Removes a booking; an unknown one is no error."""
        for upstream in (source, target):
            booked = self.bookings.get(upstream, {})
            if booked.pop(key, None) is not None:
                self.update(upstream)

    def update(self, upstream: str) -> None:
        """Recomputes when the last booked transfer of an engine ends."""
        booked = self.bookings[upstream]
        self.ends[upstream] = max(booked.values(), default=0.0)
