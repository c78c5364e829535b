"""Choice of an upstream for a call to a plain service.

Plain services have short calls and small upstreams, some of which fail or are
slow although their health checks pass. The upstream with the shortest expected
time to a success is therefore chosen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from coltsfootarch.fleet import upstreams
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import sampling

# Assumed time to an answer of an upstream without recorded outcomes, in
# seconds.
DEFAULT_LATENCY_S = 0.06
# Cost of an upstream in another availability zone, in seconds: the round trip
# and the price of the traffic.
REMOTE_ZONE_S = 0.004
# Exponent of the success rate in the cost: a higher one penalizes failures
# more.
SUCCESS_EXPONENT = 3


class CallPlacer:
    """Chooses upstreams of plain services.

    Args:
        directory: Registered upstreams.
        loads: Load of the upstreams over all hosts.
        tracker: Recent outcomes by upstream.
        availability_zone: Zone of this host.
        sampler: Selects the upstreams that are compared.
    """

    def __init__(
        self,
        directory: upstreams.UpstreamDirectory,
        loads: load_view.LoadView,
        tracker: outcomes.OutcomeTracker,
        availability_zone: str,
        sampler: sampling.Sampler,
    ) -> None:
        self.sampler = sampler
        self.directory = directory
        self.loads = loads
        self.tracker = tracker
        self.availability_zone = availability_zone

    def choose(
        self, service: str, excluded: Collection[str] = ()
    ) -> upstreams.Upstream | None:
        """Returns the upstream with the shortest expected time to a success."""
        eligible = [
            upstream
            for upstream in self.directory.candidates(service)
            if upstream.id not in excluded
        ]
        candidates = self.sampler.sample(self.tracker.prefer_usable(eligible))
        return min(candidates, key=self.cost, default=None)

    def cost(self, upstream: upstreams.Upstream) -> float:
        """Returns the expected time to a success in seconds."""
        load = self.loads.load(upstream.id)
        latency = self.tracker.latency(upstream.id) or DEFAULT_LATENCY_S
        slots = max(upstream.slots, 1)
        # A call waits for a slot only if all are in use, but every call in
        # progress also slows down the others.
        waiting_share = max(load.requests + 1 - slots, 0) / slots
        cost = latency * (1.0 + waiting_share + 0.5 * load.requests / slots)
        if upstream.availability_zone != self.availability_zone:
            cost += REMOTE_ZONE_S
        return cost / (
            self.tracker.success_rate(upstream.id) ** SUCCESS_EXPONENT
        )
