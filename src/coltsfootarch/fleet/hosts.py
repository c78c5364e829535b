"""Directory of the other entry hosts and which of them are reachable."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import structlog

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# A host that renewed its row within this time may be serving though its reports
# don't arrive. Hosts that exchange state through relays renew it less often.
RENEWAL_VALIDITY_S = 25.0
RELAYED_RENEWAL_VALIDITY_S = 45.0
# A host whose last report is older counts as unreachable. Reports are sent at
# least every half second.
REPORT_TIMEOUT_S = 1.2
# A row that isn't renewed is removed after this time.
REMOVAL_S = 120.0
# Time for which the number of reached hosts that a relay passed on is valid. As
# with direct reports, a host that hears nothing for this time then uses its own
# part of each limit only.
PASSED_COUNTS_VALIDITY_S = REPORT_TIMEOUT_S
# Time for which the size of the fleet that another host stated is valid.
TOLD_VALIDITY_S = 5.0
# Rank of hosts that don't relay, behind all relays, and of hosts that don't
# know the others.
MEMBER_RANK = 1_000_000

# Fleets of up to this size exchange reports directly. A host of 12 sends and
# receives about as many messages then as a relay among hundreds.
MAX_DIRECT_HOSTS = 12
# Hosts for which a host allows while it hasn't read the rows.
UNKNOWN_COUNT = MAX_DIRECT_HOSTS

logger = structlog.get_logger(__name__)


class HostRecord(NamedTuple):
    """Row of one host in the durable list.

    Attributes:
        name: Name of the host.
        address: "ip:port" at which it receives reports.
        availability_zone: Availability zone in which it runs.
        incarnation: Unix time of its start in milliseconds.
        renewals: Number of renewals since its start.
    """

    name: str
    address: str
    availability_zone: str
    incarnation: int
    renewals: int


class HostRegistry(Protocol):
    """Durable list of hosts."""

    def write(self, record: HostRecord) -> None:
        """Writes a host's record."""

    def remove(self, name: str) -> None:
        """Removes a host's record."""

    def read(self) -> list[HostRecord]:
        """Returns all records."""


class Peer:
    """Another host, with the times at which this host last observed it.

    Args:
        record: Its record.
        now: Instant at which it was found, in seconds.
    """

    def __init__(self, record: HostRecord, now: float) -> None:
        self.record = record
        self.renewed_at = now
        self.last_report_at = float("-inf")


class PassedCounts(NamedTuple):
    """Numbers of hosts that are known through relays.

    Attributes:
        received_at: Instant at which they arrived, in seconds.
        reached: Hosts whose state is included in the relay's sums.
        expected: Hosts that may be serving.
    """

    received_at: float
    reached: int
    expected: int


class HostDirectory:
    """Directory of the other hosts, by name.

    Until the rows are read, a host allows for others that it doesn't know: it
    uses a small part of each limit and takes on no duties.

    Args:
        own: Record of this host.
        clock: Source of time.

    Attributes:
        peers: The other hosts by name.
        stale: Names of hosts whose rows should be removed.
        known: Whether the rows were read.
        known_at: Instant at which they were read first, in seconds.
        generation: Number of changes of the peers' names and records.
        passed: Latest counts through relays; None if hosts report directly.
        told: Size of the fleet that another host stated last; a host that has
            just started may know only a few others.
        relays: Relays that this host hears, with itself, in order of name;
            None if it doesn't relay.
    """

    def __init__(self, own: HostRecord, clock: clocks.Clock) -> None:
        self.own = own
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.stale: list[str] = []
        self.known = False
        self.known_at = float("inf")
        self.generation = 0
        self.passed: PassedCounts | None = None
        self.told: PassedCounts | None = None
        self.relays: list[str] | None = None

    def apply(self, records: list[HostRecord]) -> None:
        """Updates the peers from a complete read of all records."""
        now = self.clock.monotonic()
        if not self.known:
            self.known = True
            self.known_at = now
        self.generation += 1
        present = set()
        for record in records:
            if record.name == self.own.name:
                continue
            present.add(record.name)
            peer = self.peers.get(record.name)
            if peer is None:
                self.peers[record.name] = Peer(record, now)
                logger.info(
                    "host found", peer=record.name, address=record.address
                )
            elif peer.record != record:
                peer.record = record
                peer.renewed_at = now
        for name in [name for name in self.peers if name not in present]:
            if now - self.peers[name].last_report_at > REPORT_TIMEOUT_S:
                del self.peers[name]
        self.stale = [
            name
            for name, peer in self.peers.items()
            if now - max(peer.renewed_at, peer.last_report_at) > REMOVAL_S
        ]

    def record_report(
        self,
        name: str,
        address: str,
        incarnation: int,
        availability_zone: str = "",
    ) -> None:
        """Records that a message of a peer arrived; adds an unknown peer."""
        now = self.clock.monotonic()
        peer = self.peers.get(name)
        if peer is None or peer.record.address != address:
            record = HostRecord(
                name, address, availability_zone, incarnation, 0
            )
            peer = self.peers[name] = Peer(record, now)
            self.generation += 1
        elif availability_zone and not peer.record.availability_zone:
            peer.record = peer.record._replace(
                availability_zone=availability_zone
            )
            self.generation += 1
        peer.last_report_at = now

    def add(self, record: HostRecord) -> None:
        """Adds a host that another one named."""
        self.peers[record.name] = Peer(record, float("-inf"))
        self.generation += 1

    def pass_counts(self, reached: int, expected: int) -> None:
        """Records the numbers of hosts that are known through relays."""
        self.passed = PassedCounts(self.clock.monotonic(), reached, expected)

    def is_reachable(self, peer: Peer) -> bool:
        """Returns whether a report of a peer arrived recently."""
        return self.clock.monotonic() - peer.last_report_at <= REPORT_TIMEOUT_S

    def share(self) -> float:
        """Returns the share of a global limit that the reachable hosts may use.

        Unreachable hosts that may still be serving keep their share. A host
        that neither reports nor renews its row can't confirm keys either, so
        it gets none.

        Returns:
            A fraction between 0 and 1, for this host and its reachable peers
            together.
        """
        reached = self.reached()
        return reached / max(self.count(), reached)

    def reached(self) -> int:
        """Returns the number of hosts whose state arrives, with this one."""
        passed = self.passed
        if passed is not None and self.is_valid(passed):
            return max(passed.reached, 1)
        return 1 + sum(map(self.is_reachable, self.peers.values()))

    def is_relayed(self) -> bool:
        """Returns whether hosts exchange state through relays."""
        return self.passed is not None

    def is_valid(self, passed: PassedCounts) -> bool:
        """Returns whether counts arrived recently."""
        age = self.clock.monotonic() - passed.received_at
        return age <= PASSED_COUNTS_VALIDITY_S

    def is_large(self) -> bool:
        """Returns whether the fleet is too large for direct reports."""
        told = self.told
        if (
            told is not None
            and self.clock.monotonic() - told.received_at <= TOLD_VALIDITY_S
            and told.expected > MAX_DIRECT_HOSTS
        ):
            return True
        return self.count() > MAX_DIRECT_HOSTS

    def tell_size(self, expected: int) -> None:
        """Records the size of the fleet as another host knows it."""
        if expected:
            self.told = PassedCounts(self.clock.monotonic(), 0, expected)

    def all_reachable(self) -> bool:
        """Returns whether all peers are known and reachable."""
        if self.passed is not None:
            return self.reached() >= self.count()
        return self.known and all(map(self.is_reachable, self.peers.values()))

    def all_heard(self, within_s: float) -> bool:
        """Returns whether this host knows and hears all peers, each directly.

        Args:
            within_s: Greatest age of the last report of each, in seconds.
        """
        oldest = self.clock.monotonic() - within_s
        return (
            self.known
            and self.passed is None
            and all(
                peer.last_report_at >= oldest for peer in self.peers.values()
            )
        )

    def rank(self) -> int:
        """Returns the number of hosts that precede this one in duties.

        These are the reachable hosts before this one by name. If there are
        relays, only they have duties; a host that doesn't know the others has
        none.
        """
        if self.passed is not None:
            if self.relays is None:
                return MEMBER_RANK
            return self.relays.index(self.own.name)
        if not self.known:
            return MEMBER_RANK
        return sum(
            name < self.own.name and self.is_reachable(peer)
            for name, peer in self.peers.items()
        )

    def count(self) -> int:
        """Returns the number of hosts that may be serving, with this one."""
        now = self.clock.monotonic()
        passed = self.passed
        validity_s = (
            RENEWAL_VALIDITY_S if passed is None else RELAYED_RENEWAL_VALIDITY_S
        )
        oldest = now - validity_s
        known = 1 + sum(
            max(peer.last_report_at, peer.renewed_at) >= oldest
            for peer in self.peers.values()
        )
        if passed is not None and passed.received_at >= oldest:
            return max(known, passed.expected)
        return known if self.known else max(known, UNKNOWN_COUNT)
