"""Slots and memory of one decode engine."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from coltsfootarch.scheduling import health
from coltsfootarch.scheduling import prefill

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items
    from coltsfootarch.upstreams import engine

# Probability that enough slots become free within the lifetime of a prefill
# result, from which a prefill may start ahead of its slot. One in a hundred
# stays within the bound of 2% of wasted prefill.
CONFIDENCE = 0.99
MOST_AHEAD = 8

# Reports in a row that must miss a reservation before it is released.
MISSING_REPORTS = 3
SPEED_SAMPLE_WEIGHT = 0.3
FEWEST_SAMPLE_TOKENS = 8


def completions_needed(ahead: int) -> float:
    """Returns the mean of a Poisson count that reaches `ahead` confidently."""
    low = 0.0
    high = 100.0
    for _ in range(50):
        mean = (low + high) / 2
        term = math.exp(-mean)
        below = 0.0
        for count in range(ahead):
            below += term
            term *= mean / (count + 1)
        if 1.0 - below >= CONFIDENCE:
            high = mean
        else:
            low = mean
    return high


MEAN_COMPLETIONS = [0.0] + [
    completions_needed(ahead) for ahead in range(1, MOST_AHEAD + 1)
]


class Reservation:
    """Slot and memory held for one attempt; instants are monotonic seconds."""

    __slots__ = (
        "expires_at",
        "key",
        "pieces",
        "released_at",
        "reserved_at",
        "transferred_at",
    )

    def __init__(
        self, key: items.AttemptKey, pieces: int, now: float, expires_at: float
    ) -> None:
        self.key = key
        self.pieces = pieces
        self.reserved_at = now
        self.expires_at = expires_at
        self.transferred_at: float | None = None
        self.released_at: float | None = None


class DecodeCapacity:
    """Reservations on one decode engine.

    Args:
        upstream: The engine.
    """

    def __init__(self, upstream: register.Upstream) -> None:
        self.upstream = upstream
        self.health = health.Health()
        self.reservations: dict[items.AttemptKey, Reservation] = {}
        self.recent: collections.deque[Reservation] = collections.deque()
        self.used_pieces = 0
        self.running = 0
        self.foreign_slots = 0
        self.foreign_pieces = 0
        self.missing_reports = 0
        self.token_seconds = 0.0
        self.samples = 0

    def pieces(self, item: items.WorkItem) -> int:
        """Returns the memory pieces that an item needs at most."""
        return -(-item.cost // self.upstream.piece_tokens)

    @property
    def used_slots(self) -> int:
        """Slots held by reservations and by other schedulers' requests."""
        return len(self.reservations) + self.foreign_slots

    @property
    def used_share(self) -> float:
        """Used slots as a share of all slots; above 1 with some ahead."""
        return self.used_slots / max(1, self.upstream.slots)

    def ahead(self, pieces: int) -> int:
        """Returns how many requests must end before one more fits."""
        slots = max(0, self.used_slots + 1 - self.upstream.slots)
        used = self.used_pieces + self.foreign_pieces
        short = used + pieces - self.upstream.memory_pieces
        if short <= 0:
            return slots
        held = max(1, self.used_slots)
        return max(slots, math.ceil(short / max(1.0, used / held)) + 1)

    def fits(self, pieces: int, horizon: float, residence: float) -> bool:
        """Returns whether a place will be free within `horizon` seconds.

        Args:
            pieces: Memory pieces needed.
            horizon: Seconds until the prefill result would be lost.
            residence: Mean seconds that a request stays on an engine.
        """
        if pieces > self.upstream.memory_pieces:
            return False
        ahead = self.ahead(pieces)
        if ahead > MOST_AHEAD:
            return False
        expected = self.running * max(horizon, 0.0) / residence
        return expected >= MEAN_COMPLETIONS[ahead]

    def reserve(
        self, key: items.AttemptKey, pieces: int, now: float, expires_at: float
    ) -> None:
        """Holds a slot and memory until released or `expires_at`."""
        self.reservations[key] = Reservation(key, pieces, now, expires_at)
        self.used_pieces += pieces
        self.health.dispatched(now)

    def transferred(
        self, key: items.AttemptKey, now: float, expires_at: float
    ) -> None:
        """Records that the attempt runs on the engine."""
        reservation = self.reservations.get(key)
        if reservation is None or reservation.transferred_at is not None:
            return
        reservation.transferred_at = now
        reservation.expires_at = expires_at
        self.running += 1

    def release(self, key: items.AttemptKey, now: float) -> Reservation | None:
        """Frees what the attempt holds; returns None if it holds nothing."""
        reservation = self.reservations.pop(key, None)
        if reservation is None:
            return None
        reservation.released_at = now
        self.used_pieces -= reservation.pieces
        if reservation.transferred_at is not None:
            self.running -= 1
        self.recent.append(reservation)
        limit = now - prefill.FORGET_SECONDS
        while (self.recent[0].released_at or 0.0) <= limit:
            self.recent.popleft()
        return reservation

    def measure(self, seconds: float, tokens: int) -> None:
        """Adds a finished answer to the measured time between tokens."""
        if tokens < FEWEST_SAMPLE_TOKENS:
            return
        sample = seconds / tokens
        if not self.samples:
            self.token_seconds = sample
        probing = self.health.probe_started is not None
        weight = 1.0 if probing else SPEED_SAMPLE_WEIGHT
        self.token_seconds += weight * (sample - self.token_seconds)
        self.samples += 1

    def report(self, load: engine.LoadReport, now: float) -> list[Reservation]:
        """Corrects the view by a report of `load.age` seconds ago.

        Returns:
            Reservations released because the engine no longer has them.
        """
        true_at = now - load.age
        held = [
            entry
            for entry in [*self.reservations.values(), *self.recent]
            if entry.reserved_at <= true_at
            and (
                entry.released_at is None
                or entry.released_at >= true_at - prefill.EVENT_LAG_SECONDS
            )
        ]
        reported = load.running + load.waiting
        self.foreign_slots = max(0, reported - len(held))
        used = self.upstream.memory_pieces - load.free_pieces
        own = sum(entry.pieces for entry in held)
        self.foreign_pieces = max(0, used - own) if self.foreign_slots else 0
        return self.release_missing(reported, true_at, now)

    def expire(self, now: float) -> list[Reservation]:
        """Releases reservations past their longest possible time."""
        late = [
            entry
            for entry in self.reservations.values()
            if entry.expires_at <= now
        ]
        for entry in late:
            self.release(entry.key, now)
        return late

    def release_missing(
        self, reported: int, true_at: float, now: float
    ) -> list[Reservation]:
        """Releases reservations that several reports in a row lack."""
        certain = [
            entry
            for entry in self.reservations.values()
            if entry.transferred_at is not None
            and entry.transferred_at < true_at - prefill.EVENT_LAG_SECONDS
        ]
        excess = len(certain) - reported
        if excess <= 0:
            self.missing_reports = 0
            return []
        self.missing_reports += 1
        if self.missing_reports < MISSING_REPORTS:
            return []
        self.missing_reports = 0
        certain.sort(key=lambda entry: entry.reserved_at)
        released = certain[:excess]
        for entry in released:
            self.release(entry.key, now)
        return released
