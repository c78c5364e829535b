"""Followers that keep the policy and the upstream list up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import gevent
import structlog

from coltsfootarch import errors
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import active_policy

# Longest time that a read of policy changes blocks in the store. Each read also
# confirms the policy, whose age must stay below the limit for withdrawn keys
# (5 s).
POLICY_WAIT_S = 2.8
# A blocking read can miss changes of the last second before the store drops its
# history, so that it confirms the policy only up to this time before its end.
FEED_GAP_S = 1.2
# A read with a change confirms the policy only as of its sending. If that is
# longer ago than this, the next read doesn't wait; otherwise the confirmation
# could expire during its wait.
MAX_CONFIRMATION_AGE_S = FEED_GAP_S + 0.4
# Shortest wait for changes on a link that needs long for the policy's transfer.
MIN_POLICY_WAIT_S = 0.4
# Age of a confirmation that was passed on by another host from which this host
# reads the policy by itself, and the interval at which it checks the age. The
# read has about a second before the limit for withdrawn keys.
MAX_PASSED_AGE_S = 3.0
PASSED_CHECK_S = 0.2
# Interval at which a host reads that has an older policy than others, while the
# restored store doesn't hold theirs.
SUPERSEDED_READ_S = 0.5
# Time after which a read of the changes since the last one may fail, as the
# store keeps its history for 20 s only.
HISTORY_S = 10.0
# Registrations change with every heartbeat, so that a blocking read would
# return at once. They are read at this interval instead, less than half of the
# time after which an upstream that leaves must get no more requests (2 s).
UPSTREAM_INTERVAL_S = 0.9
# The same behind relays, through which a read takes longer to arrive.
RELAYED_UPSTREAM_INTERVAL_S = 1.6
# The first hosts by name read more often and report the result at once, so that
# the others needn't read. Two of them, since one may lose its connection to the
# store without the others noticing.
READER_COUNT = 2
READER_INTERVAL_S = 0.5
# Time after which a read that still waits for a change, though another host has
# a newer policy, is repeated on a new connection. The store answers all waiting
# reads within some tens of milliseconds of a change.
ANNOUNCED_WAIT_S = 0.3
# Time for which a started host waits to hear which version others have before
# it begins with the policy of a store that was restored. Hosts answer the first
# report of a host within about 0.2 s.
PEER_ANSWER_S = 0.5
# Interval at which a follower checks whether it has to read upstreams itself or
# a peer has reported a recent read.
CHECK_INTERVAL_S = 0.1
# Pause after a failed read: doubles from the minimum to the maximum.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8
# The same for upstreams. With the time limit of a read it must stay well below
# the time after which a host that is connected again may no longer use an
# upstream that left (3 s).
UPSTREAM_RETRY_MAX_S = 0.8

logger = structlog.get_logger(__name__)


class UpstreamReadResult(NamedTuple):
    """Result of reading registered upstreams from the store.

    Attributes:
        found: Registered upstreams by id.
        removed: Ids whose registration was removed or can't be decoded.
        revision: Revision of the store as of which it is current.
        sent_at: Instant at which the read was sent, in seconds.
        epoch: Epoch of the store in which the revision was given out.
        revisions: Revision of each upstream's row by its id.
    """

    found: dict[str, upstreams.Upstream]
    removed: tuple[str, ...]
    revision: int
    sent_at: float
    epoch: int = 0
    revisions: Mapping[str, int] = upstreams.NO_REVISIONS

    @property
    def position(self) -> store_epochs.Position:
        """Place in the store's history as of which it is current."""
        return store_epochs.Position(self.epoch, self.revision)


class PolicySource(Protocol):
    """Source of policies."""

    def read(self) -> active_policy.PolicyReadResult:
        """Returns the newest policy."""

    def read_changes(
        self, position: store_epochs.Position, wait_s: float
    ) -> active_policy.PolicyReadResult:
        """Waits for a policy change after a position.

        Args:
            position: Position of the last read.
            wait_s: Longest time to wait for a change, in seconds.

        Raises:
            errors.HistoryLostError: The store no longer has the changes since.
        """

    def abandon_silent_read(self) -> bool:
        """Ends a running read whose answer has not begun; it then fails.

        Returns:
            Whether there was one.
        """


class UpstreamSource(Protocol):
    """Source of upstream registrations."""

    def read(self) -> UpstreamReadResult:
        """Returns all registrations."""

    def read_changes(
        self, position: store_epochs.Position, wait_s: float
    ) -> UpstreamReadResult:
        """Returns the registrations that changed after a position.

        Args:
            position: Position of the last read.
            wait_s: Longest time to wait for a change, in seconds.

        Raises:
            errors.HistoryLostError: The store no longer has the changes since.
        """


class Follower:
    """Reads from a source in a loop; logs the start and end of an outage.

    Args:
        name: Name of the source in logs.
        clock: Source of time.

    Attributes:
        failures: Number of failed reads since the start.
    """

    def __init__(self, name: str, clock: clocks.Clock) -> None:
        self.name = name
        self.clock = clock
        self.position: store_epochs.Position | None = None
        self.failing_since: float | None = None
        self.failures = 0
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
            wait = self.try_step()
            if wait > 0:
                gevent.sleep(wait)

    def try_step(self) -> float:
        """Reads once; returns the seconds until the next read or try."""
        started_at = self.clock.monotonic()
        try:
            wait = self.step()
            self.log_recovery()
        except errors.PlatformError as error:
            self.failures += 1
            if isinstance(error, errors.HistoryLostError):
                # The store answers, so that the pause needn't grow.
                self.position = None
                self.retry_pause_s = RETRY_MIN_S
            else:
                self.record_failure(started_at)
            self.log_outage(error)
            wait = self.retry_pause_s
            self.retry_pause_s = min(
                self.retry_pause_s * 2, self.max_retry_pause_s
            )
        except Exception:
            self.failures += 1
            logger.exception("read failed unexpectedly", source=self.name)
            self.position = None
            wait = RETRY_MAX_S
        return wait

    def record_failure(self, started_at: float) -> None:
        """Records that the source did not answer a read.

        Args:
            started_at: Instant at which the read began, in seconds.
        """

    def step(self) -> float:
        """Reads once; returns the seconds until the next read."""
        raise NotImplementedError

    def log_recovery(self) -> None:
        """Resets the pause; logs the end of an outage, if there was one."""
        self.retry_pause_s = RETRY_MIN_S
        if self.failing_since is None:
            return
        outage = self.clock.monotonic() - self.failing_since
        self.failing_since = None
        logger.info(
            "dependency recovered",
            dependency=self.name,
            outage_s=round(outage, 3),
            failures=self.failures,
        )

    def log_outage(self, error: errors.PlatformError) -> None:
        """Logs the start of an outage."""
        if self.failing_since is not None:
            return
        self.failing_since = self.clock.monotonic()
        logger.warning(
            "dependency unavailable", dependency=self.name, reason=error.message
        )


class PolicyFollower(Follower):
    """Follows changes of the operator's policy.

    Args:
        source: Source of policies.
        tracker: Holds the active policy.
        clock: Source of time.
        wait_s: Longest time that a read waits for a change, in seconds.
        is_passed_on: Returns whether another host reads the policy and passes
            its confirmations on to this host.
        wait_fraction: Returns the part of the longest wait to use. Readers that
            share their confirmations choose it at random: a change ends the
            waits of all of them at once, and the next ones would end together
            as well.

    Attributes:
        confirm_now: Whether the next read must not wait, since the policy was
            confirmed too long ago.
        read_at: Instant of the last successful read, in seconds.
        fallback_reads: Reads because what was passed on was too old.
    """

    def __init__(
        self,
        source: PolicySource,
        tracker: active_policy.PolicyTracker,
        clock: clocks.Clock,
        wait_s: float = POLICY_WAIT_S,
        is_passed_on: Callable[[], bool] = lambda: False,
        wait_fraction: Callable[[], float] = lambda: 1.0,
    ) -> None:
        super().__init__("policy", clock)
        self.wait_fraction = wait_fraction
        self.is_passed_on = is_passed_on
        self.read_at = float("-inf")
        self.fallback_reads = 0
        self.wait_s = wait_s
        self.source = source
        self.tracker = tracker
        self.confirm_now = False
        self.waiting_since: float | None = None
        self.abandoned = False
        tracker.on_announced.append(self.expect_change)

    def next_wait_s(self) -> float:
        """Returns how long the next read may wait for a change, in seconds.

        During an outage reads don't wait, so that the policy is confirmed as
        soon as the store is back. Otherwise the wait leaves time to transfer a
        change before the confirmation of the present policy expires.
        """
        if (
            self.failing_since is not None
            or self.confirm_now
            or self.is_passed_on()
        ):
            return 0.0
        transfer_s = self.tracker.last_transfer.received_s
        shortest_s = min(self.wait_s, MIN_POLICY_WAIT_S)
        return max(self.wait_s * self.wait_fraction() - transfer_s, shortest_s)

    def step(self) -> float:
        """Reads once, unless another host passes on what it reads."""
        announced = self.tracker.announced
        if self.position is not None and self.is_passed_on():
            if not self.must_read():
                return PASSED_CHECK_S
            if not self.tracker.is_behind():
                self.fallback_reads += 1
        now = self.clock.monotonic()
        if self.position is None or now - self.read_at > HISTORY_S:
            result = self.source.read()
        else:
            wait = self.next_wait_s()
            result, wait = self.read_changes(self.position, wait)
            if result.policy is None and wait > FEED_GAP_S:
                # Without a change the store responds after the full wait.
                waited = self.clock.monotonic() - result.sent_at
                confirmed_s = min(wait, waited) - FEED_GAP_S
                result = result._replace(
                    sent_at=result.sent_at + max(confirmed_s, 0.0)
                )
        self.position = result.position
        self.read_at = self.clock.monotonic()
        self.hear_others(result)
        self.tracker.apply(result)
        tracker = self.tracker
        if announced == tracker.announced and tracker.is_behind():
            tracker.give_up_announced()
        self.confirm_now = (
            result.policy is not None
            and self.tracker.age() > MAX_CONFIRMATION_AGE_S
        )
        return 0.0 if self.tracker.policy is not None else RETRY_MIN_S

    def hear_others(self, result: active_policy.PolicyReadResult) -> None:
        """Waits before the first policy of a store that was restored.

        Others may know a newer one, which the operator writes again.
        """
        if (
            self.tracker.policy is None
            and result.policy is not None
            and result.epoch > store_epochs.FIRST_EPOCH
        ):
            self.tracker.wait_announced(PEER_ANSWER_S)

    def read_changes(
        self, position: store_epochs.Position, wait_s: float
    ) -> tuple[active_policy.PolicyReadResult, float]:
        """Waits for a change; repeats a read that was abandoned.

        Args:
            position: Position of the last read.
            wait_s: Longest time to wait for a change, in seconds.

        Returns:
            The result and how long its read could wait, in seconds.
        """
        self.abandoned = False
        self.waiting_since = self.clock.monotonic() if wait_s else None
        try:
            return self.source.read_changes(position, wait_s), wait_s
        except errors.PlatformError:
            if not self.abandoned:
                raise
        finally:
            self.waiting_since = None
        return self.source.read_changes(position, 0.0), 0.0

    def expect_change(self) -> None:
        """Expects the end of a waiting read, since there is a newer policy."""
        if self.waiting_since is not None:
            gevent.spawn_later(ANNOUNCED_WAIT_S, self.check_wait)

    def check_wait(self) -> None:
        """Abandons a read that misses a change that other hosts have."""
        if self.tracker.is_behind():
            self.abandon_wait(
                self.clock.monotonic() - ANNOUNCED_WAIT_S,
                "another host has a newer policy",
            )

    def abandon_wait(self, sent_before: float, reason: str) -> None:
        """Repeats a waiting read whose connection seems to be silent.

        Args:
            sent_before: Instant, in seconds; later reads are left alone.
            reason: Reason for the log.
        """
        since = self.waiting_since
        if since is None or since > sent_before:
            return
        # The failing read must find the mark.
        self.abandoned = True
        if not self.source.abandon_silent_read():
            self.abandoned = False
            return
        self.waiting_since = None
        logger.info(
            "waiting read repeated on a new connection",
            dependency=self.name,
            waited_ms=round((self.clock.monotonic() - since) * 1000),
            reason=reason,
        )

    def must_read(self) -> bool:
        """Returns whether what others pass on isn't enough."""
        tracker = self.tracker
        if tracker.is_superseded():
            age = self.clock.monotonic() - self.read_at
            return age > SUPERSEDED_READ_S
        return tracker.is_behind() or tracker.age() > MAX_PASSED_AGE_S


class UpstreamFollower(Follower):
    """Follows changes of the registered upstreams.

    Args:
        source: Source of registrations.
        directory: Holds the registered upstreams.
        clock: Source of time.
        rank: Returns the number of reachable hosts before this one by name.
        on_read: Called after each read, to report it to the other hosts.
        is_relayed: Returns whether reports of reads arrive through relays.
        on_recovery: Called with the instant, in seconds, of the first failed
            read when the source answers again.
    """

    def __init__(
        self,
        source: UpstreamSource,
        directory: upstreams.UpstreamDirectory,
        clock: clocks.Clock,
        rank: Callable[[], int] = lambda: 0,
        on_read: Callable[[], object] = lambda: None,
        is_relayed: Callable[[], bool] = lambda: False,
        on_recovery: Callable[[float], object] = lambda failed_at: None,
    ) -> None:
        super().__init__("upstreams", clock)
        self.on_recovery = on_recovery
        self.is_relayed = is_relayed
        self.max_retry_pause_s = UPSTREAM_RETRY_MAX_S
        self.rank = rank
        self.on_read = on_read
        self.source = source
        self.directory = directory

    def step(self) -> float:
        """Reads unless a peer reported a recent read; see `Follower`."""
        directory = self.directory
        if self.position is None or directory.position is None:
            result = self.source.read()
            directory.replace(result.found, result.position, result.revisions)
            self.position = result.position
        elif directory.outdated or directory.age() >= self.max_age_s():
            result = self.source.read_changes(directory.position, 0.0)
            directory.update(
                result.found.values(),
                result.removed,
                result.position,
                result.revisions,
            )
            self.on_read()
        directory.expire()
        return CHECK_INTERVAL_S

    def record_failure(self, started_at: float) -> None:
        """Tells the directory when the source was still out of reach."""
        self.directory.failed_at = started_at

    def log_recovery(self) -> None:
        """Reports the end of an outage; see `Follower`."""
        failing_since = self.failing_since
        super().log_recovery()
        if failing_since is not None:
            self.on_recovery(failing_since)

    def max_age_s(self) -> float:
        """Returns the age from which entries are read again, in seconds."""
        if self.rank() < READER_COUNT:
            return READER_INTERVAL_S
        if self.is_relayed():
            return RELAYED_UPSTREAM_INTERVAL_S
        return UPSTREAM_INTERVAL_S
