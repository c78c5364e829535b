"""What upstreams state about themselves in their responses to this host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.limits import upstream_limits

UNAVAILABLE_STATUS = 503

logger = structlog.get_logger(__name__)


class Pause(NamedTuple):
    """Time in which an upstream wants no requests from this host.

    Attributes:
        upstream: The upstream; another incarnation isn't bound by it.
        until: Monotonic instant of its end, in seconds.
    """

    upstream: upstreams.Upstream
    until: float


class UpstreamNotices:
    """Keeps upstreams from requests that they have asked not to get.

    Args:
        clock: Source of time.
        limits: Limits that upstreams name, over all hosts.

    Attributes:
        pauses: Pauses that upstreams asked for, by their ids.
        leaving: Upstreams that stated that they are about to stop, by id.
    """

    def __init__(
        self, clock: clocks.Clock, limits: upstream_limits.UpstreamLimits
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.pauses: dict[str, Pause] = {}
        self.leaving: dict[str, upstreams.Upstream] = {}

    def apply(
        self, upstream: upstreams.Upstream, response: calls.UpstreamResponse
    ) -> None:
        """Records what a response states about its upstream."""
        if response.is_from_other_upstream(upstream):
            return
        if response.leaving:
            self.record_leaving(upstream)
        self.limits.state(upstream, response.limit_per_s)
        seconds = response.retry_after_s
        if response.status != UNAVAILABLE_STATUS or not seconds:
            return
        until = self.clock.monotonic() + seconds
        known = self.pauses.get(upstream.id)
        if known is not None and is_same(known.upstream, upstream):
            until = max(until, known.until)
        self.pauses[upstream.id] = Pause(upstream, until)
        logger.info(
            "upstream asked for a pause",
            upstream=upstream.id,
            seconds=round(seconds, 3),
        )

    def record_leaving(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream is about to stop."""
        if not self.is_leaving(upstream):
            self.leaving[upstream.id] = upstream
            logger.info("upstream leaving", upstream=upstream.id)

    def is_leaving(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether this incarnation stated that it is about to stop."""
        known = self.leaving.get(upstream.id)
        return known is not None and is_same(known, upstream)

    def accepts(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream may get a request from this host."""
        return self.wait_s(upstream) <= 0

    def is_open(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream neither leaves nor pauses.

        Its limit is not considered: a request that is prepared for an upstream
        was subtracted from it already.
        """
        return self.pause_s(upstream) <= 0

    def wait_s(self, upstream: upstreams.Upstream) -> float:
        """Returns the seconds until an upstream may get a request.

        This is infinite for one that is about to stop.
        """
        return max(self.pause_s(upstream), self.limits.wait_s(upstream))

    def pause_s(self, upstream: upstreams.Upstream) -> float:
        """Returns the rest of an upstream's pause in seconds; see `wait_s`."""
        if self.is_leaving(upstream):
            return float("inf")
        pause = self.pauses.get(upstream.id)
        if pause is None or not is_same(pause.upstream, upstream):
            return 0.0
        return max(pause.until - self.clock.monotonic(), 0.0)

    def shortest_wait_s(self, members: Iterable[upstreams.Upstream]) -> float:
        """Returns the seconds until one of them may get a request.

        Returns:
            0 if there is none that will.
        """
        waits = map(self.wait_s, members)
        return min(filter(math.isfinite, waits), default=0.0)

    def retain_only(self, registered: Mapping[str, upstreams.Upstream]) -> None:
        """Removes what has ended, and all about other upstreams.

        Args:
            registered: Registered upstreams by id.
        """
        now = self.clock.monotonic()
        for key, pause in list(self.pauses.items()):
            if key not in registered or pause.until <= now:
                del self.pauses[key]
        for key in [key for key in self.leaving if key not in registered]:
            del self.leaving[key]
        self.limits.retain_only(registered)


def is_same(known: upstreams.Upstream, upstream: upstreams.Upstream) -> bool:
    """Returns whether two registrations are of one incarnation."""
    return (known.id, known.address, known.started_ms) == (
        upstream.id,
        upstream.address,
        upstream.started_ms,
    )
