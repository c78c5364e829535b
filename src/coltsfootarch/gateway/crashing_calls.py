"""Calls that crash the instances of a plain service, on one entry host."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Protocol

import gevent
import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.scheduling import break_counts

if TYPE_CHECKING:
    from coltsfootarch import clock
    from coltsfootarch.config import register
    from coltsfootarch.upstreams import plain_client

# A running instance accepts a connection within a few milliseconds.
CHECK_TIMEOUT = datetime.timedelta(seconds=0.2)
CHECK_PAUSE = datetime.timedelta(seconds=0.3)
# Sound instances may be silent for up to 3 s. One that accepts no connection
# for longer counts as crashed, in seconds.
DARK_S = 3.2
# Calls that break within this time after a crash break by the same crash.
SAME_CRASH_S = 2.0

logger = structlog.get_logger(__name__)


class Connector(Protocol):
    """Connects to instances; see `plain_client.PlainConnector`."""

    def connect(
        self, address: str, timeout: datetime.timedelta
    ) -> plain_client.PlainConnection:
        """Returns a new connection without sending a request."""


class CrashingCalls:
    """Refuses a call after instances crashed each time that they ran it.

    Args:
        clock: Source of time.
        connector: Opens connections to instances.

    Attributes:
        counts: Crashes by digest of the call.
        crashed_at: Instant of the latest crash by instance, in seconds.
        running: Checks in progress by address.
    """

    def __init__(self, clock: clock.Clock, connector: Connector) -> None:
        self.clock = clock
        self.connector = connector
        self.counts = break_counts.BreakCounts(clock)
        self.crashed_at: dict[str, float] = {}
        self.running: dict[str, gevent.Greenlet[[], bool]] = {}

    def check(self, digest: str) -> None:
        """Checks that a call may be sent.

        Raises:
            RefusedError: Instances crashed each time that they ran it.
        """
        if self.counts.is_refused(digest):
            raise errors.RefusedError(
                results.QUARANTINED, retry_after=break_counts.RETENTION_S
            )

    def record_success(self, digest: str) -> None:
        """Records that a call was answered."""
        self.counts.clear(digest)

    def record_failure(self, digest: str, upstream: register.Upstream) -> None:
        """Finds out, without delaying the call, whether its instance crashed.

        Args:
            digest: Digest of the call.
            upstream: Instance at which it failed.
        """
        gevent.spawn(self.record_crash, digest, upstream)

    def record_crash(self, digest: str, upstream: register.Upstream) -> None:
        """Counts a crash unless the call is answered during the check."""
        failed_at = self.clock.monotonic()
        check = self.running.get(upstream.address)
        if check is None:
            check = gevent.spawn(self.has_crashed, upstream)
            self.running[upstream.address] = check
        self.counts.suspect(digest)
        try:
            has_crashed = check.get()
            answered_at = self.counts.cleared_at.get(digest, float("-inf"))
            if has_crashed and answered_at < failed_at:
                self.counts.expire()
                self.counts.record(digest, self.crash_name(upstream.name))
        finally:
            self.counts.end_suspicion(digest)
            if self.running.get(upstream.address) is check:
                del self.running[upstream.address]

    def has_crashed(self, upstream: register.Upstream) -> bool:
        """Returns whether an instance refuses connections or stays silent."""
        ends_at = self.clock.monotonic() + DARK_S
        while True:
            try:
                self.connector.connect(upstream.address, CHECK_TIMEOUT).close()
            except errors.UpstreamSilentError:
                if self.clock.monotonic() >= ends_at:
                    return True
            except errors.LocalConnectError as error:
                logger.warning(
                    "instance not checked for a crash",
                    upstream=upstream.name,
                    reason=str(error),
                )
                return False
            except errors.UpstreamConnectError:
                return True
            else:
                return False
            self.clock.sleep(CHECK_PAUSE)

    def crash_name(self, upstream: str) -> str:
        """Returns the name of an instance's latest crash."""
        now = self.clock.monotonic()
        at = self.crashed_at.get(upstream, float("-inf"))
        if now - at > SAME_CRASH_S:
            at = self.crashed_at[upstream] = now
        return f"{upstream}@{at}"
