"""Finds out whether an upstream went down while it ran a request."""

from __future__ import annotations

import datetime
import enum
import errno
import functools
from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.http1 import client
from coltsfootarch.scheduling import break_counts

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams

# A running upstream accepts a connection within a few milliseconds. A proxy in
# front of one that is down accepts it too, but closes it within the pause.
PAUSE = datetime.timedelta(milliseconds=30)
# Sound upstreams may be silent for up to 3 s. One that neither answers nor
# accepts a connection for longer counts as crashed, in seconds since it was
# last known to be alive.
DARK_S = 3.2
# Shortest time of failed connections before one counts as crashed, in seconds;
# a lost packet is sent again after 1 s.
MIN_DARK_S = 1.2
# Timeout of each connection while an upstream is silent, in seconds.
CONNECT_TIMEOUT_S = 0.5
# Longest time in seconds for which a retry waits for a check.
MAX_DELAY_S = 0.25

DOWN_ERRORS = frozenset({errno.ECONNREFUSED, errno.ECONNRESET})
SILENT_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH})

logger = structlog.get_logger(__name__)


class State(enum.Enum):
    """What a new connection shows about an upstream.

    `DOWN`: it was refused, or closed at once; `SILENT`: no reply; `UNKNOWN`:
    this host couldn't open one.
    """

    UP = "up"
    DOWN = "down"
    SILENT = "silent"
    UNKNOWN = "unknown"


class CrashCheck:
    """Records the crashes of upstreams with the requests that they ran.

    A connection can break, and an answer be late, without a crash. Calls to
    plain services often have the same content, so that only a crash counts.

    An upstream that refuses a connection has crashed. One that is silent may go
    on, so that it is checked until it accepts a connection, its registration
    ends, or it has been silent for too long.

    Args:
        counts: Receives the crashes.
        clock: Source of time.
        directory: Registered upstreams.

    Attributes:
        running: Checks in progress by address and incarnation.
    """

    def __init__(
        self,
        counts: break_counts.BreakCounts,
        clock: clocks.Clock,
        directory: upstreams.UpstreamDirectory,
    ) -> None:
        self.counts = counts
        self.clock = clock
        self.directory = directory
        self.running: dict[tuple[str, str, int], gevent.Greenlet[[], bool]] = {}

    def check(
        self,
        digest: str,
        upstream: upstreams.Upstream,
        silent_since: float | None = None,
        attempt: str = "",
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        """Checks an upstream after a failure.

        A retry is delayed by the check only if one more break refuses it.

        Args:
            digest: Digest of the request that failed.
            upstream: Upstream at which it failed.
            silent_since: Instant since which the upstream has been silent, in
                seconds; None for now.
            attempt: Name of the attempt that failed, so that its upstream's
                crash counts once if the upstream's start isn't known.
            max_delay_s: Longest delay of a retry, in seconds.
        """
        check = self.watch(
            upstream,
            functools.partial(
                self.record_crash,
                digest,
                upstream.incarnation or attempt,
                self.clock.monotonic(),
            ),
            silent_since,
            digest,
        )
        if self.counts.count(digest) >= break_counts.MAX_BREAKS - 1:
            check.join(max_delay_s)

    def watch(
        self,
        upstream: upstreams.Upstream,
        on_crash: Callable[[], object],
        silent_since: float | None = None,
        digest: str = "",
    ) -> gevent.Greenlet[..., None]:
        """Finds out, in a greenlet of its own, whether an upstream crashed.

        Args:
            upstream: Upstream at which a request failed.
            on_crash: Called if it crashed.
            silent_since: See `check`.
            digest: Digest of the request.

        Returns:
            The greenlet, which ends after `on_crash`. A refused connection
            shows within `MAX_DELAY_S`.
        """
        return gevent.spawn(
            self.run_check, upstream, on_crash, silent_since, digest
        )

    def run_check(
        self,
        upstream: upstreams.Upstream,
        on_crash: Callable[[], object],
        silent_since: float | None,
        digest: str,
    ) -> None:
        """Runs a check, or waits for the one in progress; see `watch`."""
        key = (upstream.address, upstream.id, upstream.started_ms)
        check = self.running.get(key)
        if check is None:
            since = self.clock.monotonic()
            if silent_since is not None:
                since = min(since, silent_since)
            check = gevent.spawn(self.has_crashed, upstream, since)
            self.running[key] = check
        self.counts.suspect(digest)
        try:
            has_crashed = check.get()
            if has_crashed:
                on_crash()
        finally:
            self.counts.end_suspicion(digest)
            if self.running.get(key) is check:
                del self.running[key]
        logger.info(
            "upstream checked after a failure",
            upstream=upstream.id,
            digest=digest,
            is_down=has_crashed,
            breaks=self.counts.count(digest),
        )

    def record_crash(self, digest: str, cause: str, failed_at: float) -> None:
        """Records a break unless the request was answered since it failed."""
        if self.counts.cleared_at.get(digest, float("-inf")) < failed_at:
            self.counts.record(digest, cause)

    def has_crashed(self, upstream: upstreams.Upstream, since: float) -> bool:
        """Returns whether an upstream has crashed.

        Args:
            upstream: The upstream.
            since: Instant since which it has been silent, in seconds.
        """
        ends_at = max(since + DARK_S, self.clock.monotonic() + MIN_DARK_S)
        while True:
            left = ends_at - self.clock.monotonic()
            if left <= 0:
                return True
            started_at = self.clock.monotonic()
            state = self.state(upstream, min(CONNECT_TIMEOUT_S, left))
            if state is not State.SILENT:
                return state is State.DOWN
            if self.has_ended(upstream):
                return True
            # An unreachable machine fails at once.
            pause = started_at + CONNECT_TIMEOUT_S - self.clock.monotonic()
            pause = min(pause, ends_at - self.clock.monotonic())
            if pause > 0:
                self.clock.sleep(datetime.timedelta(seconds=pause))

    def has_ended(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether this incarnation is no longer registered."""
        registered = self.directory.upstreams.get(upstream.id)
        return (
            registered is None
            or registered.address != upstream.address
            or registered.started_ms != upstream.started_ms
        )

    def state(self, upstream: upstreams.Upstream, timeout: float) -> State:
        """Returns what a new connection shows, after `timeout` seconds."""
        connection = client.Connection(upstream.address, self.clock)
        try:
            connection.start(timeout)
            self.clock.sleep(PAUSE)
            return State.UP if connection.is_reusable() else State.DOWN
        except client.ConnectError as error:
            state = state_by_error(error.__cause__ or error)
            if state is State.UNKNOWN:
                logger.info(
                    "upstream not checked",
                    upstream=upstream.id,
                    reason=str(error),
                )
            return state
        finally:
            connection.close()


def state_by_error(error: BaseException) -> State:
    """Returns what a failed connection shows about an upstream."""
    code = error.errno if isinstance(error, OSError) else None
    if code in DOWN_ERRORS:
        return State.DOWN
    if code in SILENT_ERRORS or isinstance(error, TimeoutError):
        return State.SILENT
    return State.UNKNOWN
