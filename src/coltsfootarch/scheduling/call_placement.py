"""Choice of an upstream of a plain service.

Answers short calls on small upstreams of which some fail or are slow while
their health checks pass: the expected time to a success decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from coltsfootarch.fleet import upstreams
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import sampling

# Answer time that an upstream without a record is taken to have, in seconds.
DEFAULT_LATENCY_S = 0.06
# Time that another availability zone adds, in seconds: a round trip, and the
# price of the bytes.
REMOTE_S = 0.004
# How strongly failures count.
SUCCESS_EXPONENT = 3


class CallPlacer:
    """Chooses upstreams of plain services.

    Args:
        directory: Registered upstreams.
        loads: Work in progress on all hosts.
        tracker: Recent outcomes.
        availability_zone: Zone of this host.
        sampler: Draws the upstreams that are compared.
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
        fitting = [
            upstream
            for upstream in self.directory.candidates(service)
            if upstream.id not in excluded
        ]
        candidates = self.sampler.sample(self.tracker.preferred(fitting))
        return min(candidates, key=self.cost, default=None)

    def cost(self, upstream: upstreams.Upstream) -> float:
        """Returns the expected time to a success in seconds."""
        load = self.loads.load(upstream.id)
        latency = self.tracker.latency(upstream.id) or DEFAULT_LATENCY_S
        slots = max(upstream.slots, 1)
        # A call waits for a slot only once all are taken, but each one in
        # progress also slows down the others.
        waiting = max(load.requests + 1 - slots, 0) / slots
        cost = latency * (1.0 + waiting + 0.5 * load.requests / slots)
        if upstream.availability_zone != self.availability_zone:
            cost += REMOTE_S
        return cost / (
            self.tracker.success_rate(upstream.id) ** SUCCESS_EXPONENT
        )
