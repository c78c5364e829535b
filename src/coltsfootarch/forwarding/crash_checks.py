"""Finds out whether an upstream went down while it ran a request."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.http1 import client
from coltsfootarch.scheduling import break_counts

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams

# A running upstream accepts a connection within a few milliseconds. A proxy in
# front of one that is down accepts it too, but closes it within the pause.
TIMEOUT_S = 0.2
PAUSE = datetime.timedelta(milliseconds=30)

logger = structlog.get_logger(__name__)


class CrashCheck:
    """Records the crashes of upstreams with the requests that they ran.

    A connection can break, and an answer be late, without a crash. Calls to
    plain services often have the same content, so that only a crash counts.

    Args:
        counts: Receives the crashes.
        clock: Source of time.

    Attributes:
        running: Checks in progress by address.
    """

    def __init__(
        self, counts: break_counts.BreakCounts, clock: clocks.Clock
    ) -> None:
        self.counts = counts
        self.clock = clock
        self.running: dict[str, gevent.Greenlet[[], bool]] = {}

    def check(self, digest: str, upstream: upstreams.Upstream) -> None:
        """Checks an upstream after a failure.

        A retry is delayed by the check only if one more break refuses it.

        Args:
            digest: Digest of the request that failed.
            upstream: Upstream at which it failed.
        """
        if self.counts.count(digest) >= break_counts.MAX_BREAKS - 1:
            self.record_crash(digest, upstream)
        else:
            gevent.spawn(self.record_crash, digest, upstream)

    def record_crash(self, digest: str, upstream: upstreams.Upstream) -> None:
        """Records a break of the request if the upstream is down."""
        check = self.running.get(upstream.address)
        if check is None:
            check = gevent.spawn(self.is_down, upstream)
            self.running[upstream.address] = check
        try:
            is_down = check.get()
        finally:
            if self.running.get(upstream.address) is check:
                del self.running[upstream.address]
        if is_down:
            self.counts.record(digest, upstream.incarnation)
        logger.info(
            "upstream checked after a failure",
            upstream=upstream.id,
            digest=digest,
            is_down=is_down,
            breaks=self.counts.count(digest),
        )

    def is_down(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether it accepts no connection or closes it at once."""
        connection = client.Connection(upstream.address, self.clock)
        try:
            connection.start(TIMEOUT_S)
            self.clock.sleep(PAUSE)
            return not connection.is_reusable()
        except client.LocalConnectError:
            return False
        except client.ConnectError:
            return True
        finally:
            connection.close()
