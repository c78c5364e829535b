"""Schedule of KV cache transfers on the links of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items


class TransferSlot(NamedTuple):
    """Time of a transfer; instants are monotonic seconds."""

    start: float
    end: float


class LinkSchedule:
    """Scheduled transfers by engine; a link carries one transfer at a time.

    Attributes:
        reservations: End of each reserved transfer by engine and attempt.
        last_ends: End of the last reserved transfer by engine; 0 if none is
            reserved.
    """

    def __init__(self) -> None:
        self.reservations: dict[str, dict[items.AttemptKey, float]] = {}
        self.last_ends: dict[str, float] = {}

    def free_at(self, upstream: str) -> float:
        """Returns the end of the last reserved transfer; 0 if there is none."""
        return self.last_ends.get(upstream, 0.0)

    def plan(
        self,
        source: register.Upstream,
        target: register.Upstream,
        prompt_tokens: int,
        earliest: float,
    ) -> TransferSlot:
        """Returns the first slot from `earliest` on without reserving it."""
        start = max(
            earliest, self.free_at(source.name), self.free_at(target.name)
        )
        size = prompt_tokens * source.kv_bytes_per_token
        bytes_per_second = min(source.link_rate, target.link_rate)
        return TransferSlot(start, start + size / bytes_per_second)

    def reserve(
        self,
        source: str,
        target: str,
        key: items.AttemptKey,
        slot: TransferSlot,
    ) -> None:
        """Reserves a planned slot on the links of both engines."""
        for upstream in (source, target):
            self.reservations.setdefault(upstream, {})[key] = slot.end
            self.update_last_end(upstream)

    def release(self, source: str, target: str, key: items.AttemptKey) -> None:
        """Releases a reservation; an unknown one is ignored."""
        for upstream in (source, target):
            reserved = self.reservations.get(upstream, {})
            if reserved.pop(key, None) is not None:
                self.update_last_end(upstream)

    def update_last_end(self, upstream: str) -> None:
        """Recomputes the end of an engine's last reserved transfer."""
        reserved = self.reservations[upstream]
        self.last_ends[upstream] = max(reserved.values(), default=0.0)
