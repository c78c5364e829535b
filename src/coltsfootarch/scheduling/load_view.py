"""Load of each upstream, summed over all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Time after which a peer's report is stale, in seconds. The peer has then
# either stopped, and its requests with it, or is unreachable.
PEER_REPORT_VALIDITY_S = 1.5


class Load(NamedTuple):
    """Load of an upstream.

    Attributes:
        requests: Requests in progress.
        tokens: Tokens of these requests.
    """

    requests: int = 0
    tokens: int = 0


NO_LOAD = Load()


class PeerLoads(NamedTuple):
    """Latest report of a peer.

    Attributes:
        received_at: Monotonic instant at which it arrived, in seconds.
        loads: Load by upstream id.
    """

    received_at: float
    loads: dict[str, Load]


class LoadView:
    """Load caused by this host and its peers.

    Args:
        clock: Source of time.

    Attributes:
        own: Load caused by this host by upstream id.
        peers: Latest report of each peer.
        total: Sum of both by upstream id.
        on_change: Called when capacity may have become free.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, Load] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.total: dict[str, Load] = {}
        self.on_change: list[Callable[[], object]] = []

    def add(self, upstream: str, tokens: int) -> None:
        """Adds a request that is sent to an upstream."""
        self.adjust(self.own, upstream, Load(1, tokens))
        self.adjust(self.total, upstream, Load(1, tokens))

    def remove(self, upstream: str, tokens: int) -> None:
        """Removes a request that has ended."""
        self.adjust(self.own, upstream, Load(-1, -tokens))
        self.adjust(self.total, upstream, Load(-1, -tokens))
        self.notify_listeners()

    def load(self, upstream: str) -> Load:
        """Returns the load of an upstream."""
        return self.total.get(upstream, NO_LOAD)

    def age(self) -> float:
        """Returns the age of the oldest valid report, in seconds."""
        now = self.clock.monotonic()
        return max(
            (now - peer.received_at for peer in self.peers.values()),
            default=0.0,
        )

    def adjust(
        self, loads: dict[str, Load], upstream: str, delta: Load
    ) -> None:
        """Adds a difference to a load; an empty load is removed."""
        old = loads.get(upstream, NO_LOAD)
        new = Load(old.requests + delta.requests, old.tokens + delta.tokens)
        if new.requests <= 0 and new.tokens <= 0:
            loads.pop(upstream, None)
        else:
            loads[upstream] = new

    def notify_listeners(self) -> None:
        """Notifies the listeners that capacity may have become free."""
        for listener in self.on_change:
            listener()

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the load of this host; see `reports.Participant`."""
        report.loads.extend(
            (upstream, load.requests, load.tokens)
            for upstream, load in self.own.items()
        )
        return report

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Replaces the load of a peer; see `reports.Participant`."""
        del continuous  # Each report is complete in itself.
        loads = {
            upstream: Load(requests, tokens)
            for upstream, requests, tokens in report.loads
        }
        previous = self.peers.get(report.host)
        self.peers[report.host] = PeerLoads(self.clock.monotonic(), loads)
        if previous is not None and previous.loads == loads:
            return
        if previous is not None:
            for upstream, load in previous.loads.items():
                delta = Load(-load.requests, -load.tokens)
                self.adjust(self.total, upstream, delta)
        for upstream, load in loads.items():
            self.adjust(self.total, upstream, load)
        self.notify_listeners()

    def recompute_total(self) -> None:
        """Recomputes the total and removes stale reports."""
        oldest = self.clock.monotonic() - PEER_REPORT_VALIDITY_S
        for host in [
            h for h, peer in self.peers.items() if peer.received_at < oldest
        ]:
            del self.peers[host]
        total = dict(self.own)
        for peer in self.peers.values():
            for upstream, load in peer.loads.items():
                self.adjust(total, upstream, load)
        self.total = total
        self.notify_listeners()
