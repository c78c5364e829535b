"""Upstream choice for plain services."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import register
from coltsfootarch.scheduling import health

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks

FAILURES_TO_EJECT = 3

# Part of an upstream's slots in use from which another zone is preferred.
OVERLOADED_SHARE = 0.8
REPORT_LIFETIME_SECONDS = 5.0


class PlainBalancer:
    """Chooses instances by the less loaded of two random candidates.

    Args:
        clock: Clock of ejections and reports.
        current: Returns the register in force.
        availability_zone: Zone of this host; its upstreams are preferred while
            they are not overloaded.
        leaving: Returns the addresses that the host list reports as leaving.
        generator: Source of the random choice.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        current: Callable[[], register.Register],
        availability_zone: str = "",
        leaving: Callable[[], Collection[str]] = tuple,
        generator: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.current = current
        self.availability_zone = availability_zone
        self.leaving = leaving
        self.generator = generator or random.Random()
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, tuple[float, int]] = {}
        self.health: dict[str, health.Health] = {}

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> register.Upstream:
        """Returns the upstream for one call; follow with `started`.

        Args:
            service: Plain service.
            excluded: Names that must not be chosen.

        Raises:
            RefusedError: No upstream of the service may get work.
        """
        candidates = self.candidates(service, excluded)
        if not candidates:
            raise errors.RefusedError(results.NO_UPSTREAM, retry_after=1.0)
        near = [
            upstream
            for upstream in candidates
            if upstream.availability_zone == self.availability_zone
            and self.load(upstream) < OVERLOADED_SHARE
        ]
        drawn = near or candidates
        pair = self.generator.sample(drawn, min(2, len(drawn)))
        return min(pair, key=self.load)

    def load(self, upstream: register.Upstream) -> float:
        """Returns the share of an upstream's slots that are in use."""
        used = self.in_flight.get(upstream.name, 0)
        reported_at, running = self.reported.get(upstream.name, (0.0, 0))
        if self.clock.monotonic() - reported_at < REPORT_LIFETIME_SECONDS:
            # Reports include this host's own calls.
            used = max(used, running)
        return used / max(1, upstream.slots)

    def report(self, name: str, running: int) -> None:
        """Takes the number of calls that an upstream says it runs."""
        self.reported[name] = (self.clock.monotonic(), running)

    def started(self, name: str) -> None:
        """Records that a call was sent."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.health_of(name).dispatched(self.clock.monotonic())

    def finished(self, name: str) -> None:
        """Records that a call was answered."""
        self.end(name)
        self.health_of(name).succeeded(self.clock.monotonic())

    def failed(self, name: str) -> None:
        """Records that a call failed through the upstream's fault."""
        self.end(name)
        self.health_of(name).failed(self.clock.monotonic())

    def cancelled(self, name: str) -> None:
        """Records that a call ended without a statement on the upstream."""
        self.end(name)

    def end(self, name: str) -> None:
        """Counts a call as ended."""
        left = self.in_flight.get(name, 0) - 1
        if left > 0:
            self.in_flight[name] = left
        else:
            self.in_flight.pop(name, None)

    def health_of(self, name: str) -> health.Health:
        """Returns the health of an upstream."""
        state = self.health.get(name)
        if state is None:
            state = self.health[name] = health.Health(FAILURES_TO_EJECT)
        return state

    def candidates(
        self, service: str, excluded: Collection[str]
    ) -> list[register.Upstream]:
        """Returns the usable upstreams of a service."""
        now = self.clock.monotonic()
        leaving = self.leaving()
        return [
            upstream
            for upstream in self.current().upstreams.values()
            if upstream.service == service
            and upstream.state is register.UpstreamState.ACTIVE
            and upstream.address not in leaving
            and upstream.name not in excluded
            and self.health_of(upstream.name).usable(now)
        ]
