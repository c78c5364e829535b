"""Keeps the policy and the list of upstreams up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import gevent
import gevent.event
import structlog

from coltsfootarch import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams

# A call for policy changes waits this long in the store. It also confirms the
# policy, whose age must stay below the limit for withdrawn keys (5 s).
POLICY_WAIT_S = 2.8
# A call that waits for changes can miss those of the last second before its
# history is dropped, so that it confirms the policy up to then only.
FEED_GAP_S = 1.2
# Registrations change with every heartbeat, so that a waiting call would end
# at once. They are read at this interval, half of the time in which a leaving
# upstream must get no more requests (2 s).
UPSTREAM_INTERVAL_S = 0.9
# The first hosts by name read more often and report it at once, so that the
# others needn't read. Two of them, since one can lose the store unnoticed.
READER_COUNT = 2
READER_INTERVAL_S = 0.5
# Hosts look this often whether a peer has read the same or newer entries.
CHECK_INTERVAL_S = 0.1
# Pause after a failed call: doubles up to the limit. Peers tell of upstreams
# meanwhile, so that their reads can pause longer.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
UPSTREAM_RETRY_MAX_S = 2.0

logger = structlog.get_logger(__name__)


class PolicyReading(NamedTuple):
    """Answer about the policy.

    Attributes:
        policy: Newest readable policy of the answer, if any.
        revision: Revision of the store that it is current for.
        sent_at: Instant at which the call was sent, in seconds.
        readable: Whether the newest policy could be read.
    """

    policy: policy.Policy | None
    revision: int
    sent_at: float
    readable: bool


class UpstreamReading(NamedTuple):
    """Answer about registered upstreams.

    Attributes:
        found: Present upstreams by id.
        removed: Ids that are gone or unreadable.
        revision: Revision of the store that it is current for.
        sent_at: Instant at which the call was sent, in seconds.
    """

    found: dict[str, upstreams.Upstream]
    removed: tuple[str, ...]
    revision: int
    sent_at: float


class PolicySource(Protocol):
    """Where policies come from."""

    def read(self) -> PolicyReading:
        """Returns the newest policy."""

    def read_changes(self, revision: int, wait_s: float) -> PolicyReading:
        """Waits for a policy that is newer than a revision."""


class UpstreamSource(Protocol):
    """Where registrations come from."""

    def read(self) -> UpstreamReading:
        """Returns all registrations."""

    def read_changes(self, revision: int, wait_s: float) -> UpstreamReading:
        """Returns registrations that changed after a revision."""


class PolicyTracker:
    """The policy in force on this host.

    Never goes back to an older version. `confirmed_at` is the instant at which
    the call was sent that last showed this version to be the newest.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.policy: policy.Policy | None = None
        self.confirmed_at = float("-inf")
        self.confirmed = gevent.event.Event()
        self.on_change: list[Callable[[policy.Policy], object]] = []

    def apply(self, reading: PolicyReading) -> None:
        """Takes an answer of the store."""
        newer = reading.policy
        if newer is not None and (
            self.policy is None or newer.version > self.policy.version
        ):
            previous = self.policy.version if self.policy else None
            self.policy = newer
            logger.info(
                "policy in force",
                version=newer.version,
                previous=previous,
                revision=reading.revision,
                age_s=round(self.clock.monotonic() - reading.sent_at, 3),
            )
            for notify in self.on_change:
                notify(newer)
        if reading.readable and self.policy is not None:
            self.confirmed_at = max(self.confirmed_at, reading.sent_at)
            self.confirmed.set()
            self.confirmed.clear()

    def age(self) -> float:
        """Returns the seconds since the policy was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def wait_confirmed(self, since: float, timeout: float) -> bool:
        """Waits for a confirmation that was asked for at or after an instant.

        Args:
            since: The instant, in seconds.
            timeout: Longest wait in seconds.

        Returns:
            Whether the policy was confirmed.
        """
        deadline = self.clock.monotonic() + timeout
        while self.confirmed_at < since:
            left = deadline - self.clock.monotonic()
            if left <= 0:
                return False
            self.confirmed.wait(left)
        return True


class Follower:
    """Runs a loop of reads until closed; logs outages once.

    Args:
        name: What is read, for logs.
        clock: Source of time.
    """

    def __init__(self, name: str, clock: clocks.Clock) -> None:
        self.name = name
        self.clock = clock
        self.revision: int | None = None
        self.failing_since: float | None = None
        self.greenlet: gevent.Greenlet | None = None
        self.retry_pause_s = RETRY_MIN_S
        self.max_retry_pause_s = RETRY_MAX_S

    def start(self) -> None:
        """Starts the loop."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops the loop."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Reads until the greenlet is killed."""
        while True:
            try:
                wait = self.step()
                self.log_recovery()
            except errors.PlatformError as error:
                if isinstance(error, errors.HistoryLostError):
                    self.revision = None
                self.log_outage(error)
                wait = self.retry_pause_s
                self.retry_pause_s = min(
                    self.retry_pause_s * 2, self.max_retry_pause_s
                )
            except Exception:
                logger.exception("read failed unexpectedly", source=self.name)
                self.revision = None
                wait = RETRY_MAX_S
            if wait > 0:
                gevent.sleep(wait)

    def step(self) -> float:
        """Reads once; returns the seconds until the next read."""
        raise NotImplementedError

    def log_recovery(self) -> None:
        """Logs that the source is back."""
        self.retry_pause_s = RETRY_MIN_S
        if self.failing_since is None:
            return
        outage = self.clock.monotonic() - self.failing_since
        self.failing_since = None
        logger.info(
            "dependency regained",
            dependency=self.name,
            outage_s=round(outage, 3),
        )

    def log_outage(self, error: errors.PlatformError) -> None:
        """Logs that the source is lost."""
        if self.failing_since is not None:
            return
        self.failing_since = self.clock.monotonic()
        logger.warning(
            "dependency lost", dependency=self.name, reason=error.message
        )


class PolicyFollower(Follower):
    """Follows the operator's policy.

    Args:
        source: Where policies come from.
        tracker: Takes them.
        clock: Source of time.
        wait_s: Longest time that a call waits for a change, in seconds.
    """

    def __init__(
        self,
        source: PolicySource,
        tracker: PolicyTracker,
        clock: clocks.Clock,
        wait_s: float = POLICY_WAIT_S,
    ) -> None:
        super().__init__("policy", clock)
        self.wait_s = wait_s
        self.source = source
        self.tracker = tracker

    def step(self) -> float:
        """Reads once; see `Follower`."""
        if self.revision is None:
            reading = self.source.read()
        else:
            # After an outage the policy is confirmed without a wait.
            wait = 0.0 if self.failing_since is not None else self.wait_s
            reading = self.source.read_changes(self.revision, wait)
            if reading.policy is None and wait > FEED_GAP_S:
                # Without a change the store answers after the whole wait.
                waited = self.clock.monotonic() - reading.sent_at
                known = min(wait, waited) - FEED_GAP_S
                reading = reading._replace(
                    sent_at=reading.sent_at + max(known, 0.0)
                )
        self.revision = reading.revision
        self.tracker.apply(reading)
        return 0.0 if self.tracker.policy is not None else RETRY_MIN_S


class UpstreamFollower(Follower):
    """Follows the registered upstreams.

    Args:
        source: Where registrations come from.
        directory: Takes them.
        clock: Source of time.
        rank: Returns the place of this host among the reached ones.
        on_read: Called after each read, to report it to the other hosts.
    """

    def __init__(
        self,
        source: UpstreamSource,
        directory: upstreams.UpstreamDirectory,
        clock: clocks.Clock,
        rank: Callable[[], int] = lambda: 0,
        on_read: Callable[[], object] = lambda: None,
    ) -> None:
        super().__init__("upstreams", clock)
        self.max_retry_pause_s = UPSTREAM_RETRY_MAX_S
        self.rank = rank
        self.on_read = on_read
        self.source = source
        self.directory = directory

    def step(self) -> float:
        """Reads if no peer has read the same; see `Follower`."""
        directory = self.directory
        if self.revision is None or directory.revision is None:
            reading = self.source.read()
            directory.replace(reading.found, reading.revision)
            self.revision = reading.revision
        elif directory.outdated or directory.age() >= self.max_age_s():
            reading = self.source.read_changes(directory.revision, 0.0)
            directory.update(
                reading.found.values(), reading.removed, reading.revision
            )
            self.on_read()
        return CHECK_INTERVAL_S

    def max_age_s(self) -> float:
        """Returns the age of the entries at which they are read again."""
        if self.rank() < READER_COUNT:
            return READER_INTERVAL_S
        return UPSTREAM_INTERVAL_S
