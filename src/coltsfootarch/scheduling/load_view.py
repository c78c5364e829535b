"""Requests in progress at each upstream, over all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# A peer that was not heard for this long has stopped, and its requests with
# it, or can't be heard; either way its last report says little.
PEER_VALIDITY_S = 1.5


class Load(NamedTuple):
    """Work in progress at an upstream.

    Attributes:
        requests: Number of requests.
        tokens: Tokens that they take.
    """

    requests: int = 0
    tokens: int = 0


NO_LOAD = Load()


class PeerLoads(NamedTuple):
    """Last report of a peer.

    Attributes:
        at: Instant of its arrival, in seconds.
        loads: Work in progress by upstream id.
    """

    at: float
    loads: dict[str, Load]


class LoadView:
    """This host's own work and that which its peers report.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, Load] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.total: dict[str, Load] = {}
        self.on_change: list[Callable[[], object]] = []

    def add(self, upstream: str, tokens: int) -> None:
        """Counts a request that goes to an upstream."""
        self.change(self.own, upstream, Load(1, tokens))
        self.change(self.total, upstream, Load(1, tokens))

    def remove(self, upstream: str, tokens: int) -> None:
        """Takes back a request that has ended."""
        self.change(self.own, upstream, Load(-1, -tokens))
        self.change(self.total, upstream, Load(-1, -tokens))
        self.notify()

    def load(self, upstream: str) -> Load:
        """Returns the work in progress at an upstream."""
        return self.total.get(upstream, NO_LOAD)

    def age(self) -> float:
        """Returns the age of the oldest valid report, in seconds."""
        now = self.clock.monotonic()
        return max((now - peer.at for peer in self.peers.values()), default=0.0)

    def change(self, loads: dict[str, Load], upstream: str, by: Load) -> None:
        """Adds to a load; an empty one is dropped."""
        old = loads.get(upstream, NO_LOAD)
        new = Load(old.requests + by.requests, old.tokens + by.tokens)
        if new.requests <= 0 and new.tokens <= 0:
            loads.pop(upstream, None)
        else:
            loads[upstream] = new

    def notify(self) -> None:
        """Tells listeners that there may be room."""
        for listener in self.on_change:
            listener()

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds this host's work; see `reports.Participant`."""
        report.loads.extend(
            (upstream, load.requests, load.tokens)
            for upstream, load in self.own.items()
        )
        return report

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes a peer's work; see `reports.Participant`."""
        del continuous  # Reports of load are complete.
        loads = {
            upstream: Load(requests, tokens)
            for upstream, requests, tokens in report.loads
        }
        before = self.peers.get(report.host)
        self.peers[report.host] = PeerLoads(self.clock.monotonic(), loads)
        if before is not None and before.loads == loads:
            return
        if before is not None:
            for upstream, load in before.loads.items():
                by = Load(-load.requests, -load.tokens)
                self.change(self.total, upstream, by)
        for upstream, load in loads.items():
            self.change(self.total, upstream, load)
        self.notify()

    def sum_up(self) -> None:
        """Adds up all valid reports and drops the others."""
        oldest = self.clock.monotonic() - PEER_VALIDITY_S
        for host in [h for h, peer in self.peers.items() if peer.at < oldest]:
            del self.peers[host]
        total = dict(self.own)
        for peer in self.peers.values():
            for upstream, load in peer.loads.items():
                self.change(total, upstream, load)
        self.total = total
        self.notify()
