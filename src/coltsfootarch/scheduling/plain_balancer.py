"""Load balancing of plain services."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import register
from coltsfootarch.scheduling import upstream_health

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks

# Consecutive failures that eject an upstream.
FAILURES_TO_EJECT = 3

# Fraction of used slots from which an upstream of this host's zone is no longer
# preferred to those of other zones.
OVERLOADED_FRACTION = 0.8
# A load report is stale after this time.
REPORT_LIFETIME_SECONDS = 5.0


class PlainBalancer:
    """Chooses the less loaded of two random upstreams of a service.

    Args:
        clock: Clock of ejections and load reports.
        current: Returns the register in force.
        availability_zone: Zone of this host; its upstreams are preferred while
            they are not overloaded.
        leaving: Returns the addresses that the host list reports as leaving.
        generator: Source of randomness.
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
        self.health: dict[str, upstream_health.Health] = {}

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> register.Upstream:
        """Returns the upstream for one call.

        The caller must call `record_start` when it sends the call.

        Args:
            service: Plain service.
            excluded: Names of upstreams that must not be chosen.

        Raises:
            RefusedError: No upstream of the service is available.
        """
        candidates = self.candidates(service, excluded)
        if not candidates:
            raise errors.RefusedError(results.NO_UPSTREAM, retry_after=1.0)
        local_upstreams = [
            upstream
            for upstream in candidates
            if upstream.availability_zone == self.availability_zone
            and self.load(upstream) < OVERLOADED_FRACTION
        ]
        preferred = local_upstreams or candidates
        pair = self.generator.sample(preferred, min(2, len(preferred)))
        return min(pair, key=self.load)

    def load(self, upstream: register.Upstream) -> float:
        """Returns the fraction of an upstream's slots that are in use."""
        used = self.in_flight.get(upstream.name, 0)
        reported_at, running = self.reported.get(upstream.name, (0.0, 0))
        if self.clock.monotonic() - reported_at < REPORT_LIFETIME_SECONDS:
            # Reports include this host's own calls.
            used = max(used, running)
        return used / max(1, upstream.slots)

    def report(self, name: str, running: int) -> None:
        """Records the number of running calls reported by an upstream."""
        self.reported[name] = (self.clock.monotonic(), running)

    def record_start(self, name: str) -> None:
        """Records that a call was sent."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.health_of(name).record_dispatch(self.clock.monotonic())

    def record_success(self, name: str) -> None:
        """Records that a call was answered."""
        self.remove_in_flight(name)
        self.health_of(name).record_success(self.clock.monotonic())

    def record_failure(self, name: str) -> None:
        """Records that a call failed because of the upstream."""
        self.remove_in_flight(name)
        self.health_of(name).record_failure(self.clock.monotonic())

    def record_cancel(self, name: str) -> None:
        """Records a call whose end says nothing about the upstream's health."""
        self.remove_in_flight(name)

    def remove_in_flight(self, name: str) -> None:
        """Removes a call from the calls in flight."""
        remaining = self.in_flight.get(name, 0) - 1
        if remaining > 0:
            self.in_flight[name] = remaining
        else:
            self.in_flight.pop(name, None)

    def health_of(self, name: str) -> upstream_health.Health:
        """Returns the health of an upstream."""
        state = self.health.get(name)
        if state is None:
            state = self.health[name] = upstream_health.Health(
                FAILURES_TO_EJECT
            )
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
