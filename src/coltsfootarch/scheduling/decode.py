"""Reserved slots and memory of one decode engine."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from coltsfootarch.scheduling import prefill
from coltsfootarch.scheduling import upstream_health

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items
    from coltsfootarch.upstreams import engine

# A prefill may start before its decode slot is free if, with at least this
# probability, enough requests complete within the lifetime of the prefill
# result. A failure rate of 1% stays below the limit of 2% wasted prefill.
COMPLETION_CONFIDENCE = 0.99
# Maximum number of requests that may have to complete before one that is placed
# now gets its slot.
MAX_REQUIRED_COMPLETIONS = 8

# Consecutive load reports with fewer requests than reservations after which the
# excess reservations are released.
MISSING_REPORTS_TO_RELEASE = 3

# Weight of the newest request in the mean time between tokens.
SPEED_SAMPLE_WEIGHT = 0.3
# Requests with fewer tokens are not measured.
MIN_SAMPLE_TOKENS = 8


def min_mean_completions(required_completions: int) -> float:
    """Returns how many completions must be expected on average.

    Completions are modelled as Poisson distributed. The result is the smallest
    mean, found by bisection, at which at least `required_completions` of them
    occur with a probability of `COMPLETION_CONFIDENCE`.
    """
    low = 0.0
    high = 100.0
    for _ in range(50):
        mean = (low + high) / 2
        term = math.exp(-mean)
        below = 0.0
        for count in range(required_completions):
            below += term
            term *= mean / (count + 1)
        if 1.0 - below >= COMPLETION_CONFIDENCE:
            high = mean
        else:
            low = mean
    return high


# Minimum mean number of completions by the number that is required.
MIN_MEAN_COMPLETIONS = [0.0] + [
    min_mean_completions(required_completions)
    for required_completions in range(1, MAX_REQUIRED_COMPLETIONS + 1)
]


class Reservation:
    """Slot and memory reserved for an attempt; instants are monotonic seconds.

    Attributes:
        key: The attempt.
        pieces: Reserved memory pieces.
        reserved_at: Instant of the reservation.
        expires_at: Instant at which the reservation is released at the latest.
        transferred_at: Instant at which the attempt began to decode, if it did.
        released_at: Instant of the release, if it was released.
    """

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

    Attributes:
        reservations: Reservations made by this scheduler.
        recently_released: Released reservations, oldest first; load reports may
            still include them.
        used_pieces: Memory pieces of the reservations.
        running: Reservations whose attempts are decoding.
        foreign_slots: Slots used by the requests of other schedulers.
        foreign_pieces: Memory pieces used by those requests.
        consecutive_missing_reports: Consecutive load reports with fewer
            requests than reservations.
        seconds_per_token: Measured mean time between tokens.
        samples: Number of requests measured.
    """

    def __init__(self, upstream: register.Upstream) -> None:
        self.upstream = upstream
        self.health = upstream_health.Health()
        self.reservations: dict[items.AttemptKey, Reservation] = {}
        self.recently_released: collections.deque[Reservation] = (
            collections.deque()
        )
        self.used_pieces = 0
        self.running = 0
        self.foreign_slots = 0
        self.foreign_pieces = 0
        self.consecutive_missing_reports = 0
        self.seconds_per_token = 0.0
        self.samples = 0

    def pieces(self, item: items.WorkItem) -> int:
        """Returns the maximum number of memory pieces that an item needs."""
        return -(-item.cost // self.upstream.piece_tokens)

    @property
    def used_slots(self) -> int:
        """Slots held by reservations and by other schedulers' requests."""
        return len(self.reservations) + self.foreign_slots

    @property
    def utilization(self) -> float:
        """Used slots as a fraction of all slots; above 1 if overcommitted."""
        return self.used_slots / max(1, self.upstream.slots)

    def required_completions(self, pieces: int) -> int:
        """Returns how many requests must complete before one more fits.

        Args:
            pieces: Memory pieces that the additional request needs.
        """
        slots = max(0, self.used_slots + 1 - self.upstream.slots)
        used = self.used_pieces + self.foreign_pieces
        missing_pieces = used + pieces - self.upstream.memory_pieces
        if missing_pieces <= 0:
            return slots
        requests = max(1, self.used_slots)
        return max(
            slots, math.ceil(missing_pieces / max(1.0, used / requests)) + 1
        )

    def fits(self, pieces: int, horizon: float, residence: float) -> bool:
        """Returns whether capacity will be free within `horizon` seconds.

        Args:
            pieces: Memory pieces needed.
            horizon: Seconds until the transfer must start; the prefill result
                is lost otherwise.
            residence: Mean seconds that a request occupies an engine.
        """
        if pieces > self.upstream.memory_pieces:
            return False
        required_completions = self.required_completions(pieces)
        if required_completions > MAX_REQUIRED_COMPLETIONS:
            return False
        expected = self.running * max(horizon, 0.0) / residence
        return expected >= MIN_MEAN_COMPLETIONS[required_completions]

    def reserve(
        self, key: items.AttemptKey, pieces: int, now: float, expires_at: float
    ) -> None:
        """Reserves a slot and memory until their release or `expires_at`."""
        self.reservations[key] = Reservation(key, pieces, now, expires_at)
        self.used_pieces += pieces
        self.health.record_dispatch(now)

    def mark_transferred(
        self, key: items.AttemptKey, now: float, expires_at: float
    ) -> None:
        """Records that the attempt is decoding on the engine."""
        reservation = self.reservations.get(key)
        if reservation is None or reservation.transferred_at is not None:
            return
        reservation.transferred_at = now
        reservation.expires_at = expires_at
        self.running += 1

    def release(self, key: items.AttemptKey, now: float) -> Reservation | None:
        """Releases an attempt's reservation; returns None if it has none."""
        reservation = self.reservations.pop(key, None)
        if reservation is None:
            return None
        reservation.released_at = now
        self.used_pieces -= reservation.pieces
        if reservation.transferred_at is not None:
            self.running -= 1
        self.recently_released.append(reservation)
        limit = now - prefill.RETENTION_SECONDS
        while (self.recently_released[0].released_at or 0.0) <= limit:
            self.recently_released.popleft()
        return reservation

    def record_decode_speed(self, seconds: float, tokens: int) -> None:
        """Updates the measured time between tokens with a finished request.

        Args:
            seconds: Time from the transfer to the end of the request.
            tokens: Tokens generated.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample = seconds / tokens
        if not self.samples:
            self.seconds_per_token = sample
        probing = self.health.probe_started is not None
        weight = 1.0 if probing else SPEED_SAMPLE_WEIGHT
        self.seconds_per_token += weight * (sample - self.seconds_per_token)
        self.samples += 1

    def apply_load_report(
        self, load: engine.LoadReport, now: float
    ) -> list[Reservation]:
        """Reconciles the reservations with a load report.

        Requests and memory above this scheduler's own reservations at the time
        of the report belong to other schedulers.

        Args:
            load: The report; it describes the engine `load.age` seconds ago.
            now: Monotonic instant.

        Returns:
            Reservations released because the engine no longer runs them.
        """
        observed_at = now - load.age
        held = [
            entry
            for entry in [*self.reservations.values(), *self.recently_released]
            if entry.reserved_at <= observed_at
            and (
                entry.released_at is None
                or entry.released_at >= observed_at - prefill.EVENT_LAG_SECONDS
            )
        ]
        reported_requests = load.running + load.waiting
        self.foreign_slots = max(0, reported_requests - len(held))
        used = self.upstream.memory_pieces - load.free_pieces
        own_pieces = sum(entry.pieces for entry in held)
        self.foreign_pieces = (
            max(0, used - own_pieces) if self.foreign_slots else 0
        )
        return self.release_missing(reported_requests, observed_at, now)

    def expire(self, now: float) -> list[Reservation]:
        """Releases and returns the reservations that have expired."""
        expired = [
            entry
            for entry in self.reservations.values()
            if entry.expires_at <= now
        ]
        for entry in expired:
            self.release(entry.key, now)
        return expired

    def release_missing(
        self, reported_requests: int, observed_at: float, now: float
    ) -> list[Reservation]:
        """Releases the oldest excess reservations after several reports.

        Only reservations that were transferred well before the report count,
        since the engine must have included them.
        """
        reportable = [
            entry
            for entry in self.reservations.values()
            if entry.transferred_at is not None
            and entry.transferred_at < observed_at - prefill.EVENT_LAG_SECONDS
        ]
        excess = len(reportable) - reported_requests
        if excess <= 0:
            self.consecutive_missing_reports = 0
            return []
        self.consecutive_missing_reports += 1
        if self.consecutive_missing_reports < MISSING_REPORTS_TO_RELEASE:
            return []
        self.consecutive_missing_reports = 0
        reportable.sort(key=lambda entry: entry.reserved_at)
        released = reportable[:excess]
        for entry in released:
            self.release(entry.key, now)
        return released
