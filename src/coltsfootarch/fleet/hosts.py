"""Directory of the other entry hosts and which of them are reachable."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import structlog

from coltsfootarch import errors
from coltsfootarch import periodic

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Interval at which this host renews its row in the store and reads the rows of
# the others.
RENEWAL_INTERVAL = datetime.timedelta(seconds=10)
# A host that renewed its row within this time may be serving though its reports
# don't arrive.
RENEWAL_VALIDITY_S = 25.0
# While all known hosts are reachable, rows are read only with one of this many
# renewals; new hosts are found by their reports.
RENEWALS_PER_READ = 4
RENEWALS_AT_START = 2
RETRY_INTERVAL = datetime.timedelta(seconds=2)
# A host whose last report is older counts as unreachable. Reports are sent at
# least every half second.
REPORT_TIMEOUT_S = 1.2
# A row that isn't renewed is removed after this time.
REMOVAL_S = 120.0

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


class HostDirectory:
    """Directory of the other hosts, by name.

    Args:
        own: Record of this host.
        clock: Source of time.
    """

    def __init__(self, own: HostRecord, clock: clocks.Clock) -> None:
        self.own = own
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self.stale: list[str] = []
        self.known = False

    def apply(self, records: list[HostRecord]) -> None:
        """Updates the peers from a complete read of all records."""
        now = self.clock.monotonic()
        self.known = True
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

    def record_report(self, name: str, address: str, incarnation: int) -> None:
        """Records that a report of a peer arrived; adds an unknown peer."""
        now = self.clock.monotonic()
        peer = self.peers.get(name)
        if peer is None or peer.record.address != address:
            record = HostRecord(name, address, "", incarnation, 0)
            peer = self.peers[name] = Peer(record, now)
        peer.last_report_at = now

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
        now = self.clock.monotonic()
        reachable = unreachable = 0
        for peer in self.peers.values():
            if now - peer.last_report_at <= REPORT_TIMEOUT_S:
                reachable += 1
            elif now - peer.renewed_at <= RENEWAL_VALIDITY_S:
                unreachable += 1
        return (1 + reachable) / (1 + reachable + unreachable)

    def all_reachable(self) -> bool:
        """Returns whether all known peers are reachable."""
        return all(map(self.is_reachable, self.peers.values()))

    def rank(self) -> int:
        """Returns the number of reachable hosts before this one by name."""
        return sum(
            name < self.own.name and self.is_reachable(peer)
            for name, peer in self.peers.items()
        )

    def count(self) -> int:
        """Returns the number of hosts that may be serving, with this one."""
        now = self.clock.monotonic()
        oldest = now - RENEWAL_VALIDITY_S
        return 1 + sum(
            max(peer.last_report_at, peer.renewed_at) >= oldest
            for peer in self.peers.values()
        )


class HostRenewer:
    """Periodically renews this host's record and reads those of the others.

    Args:
        registry: Durable list of hosts.
        directory: Directory to update.
        clock: Source of time.
    """

    def __init__(
        self,
        registry: HostRegistry,
        directory: HostDirectory,
        clock: clocks.Clock,
    ) -> None:
        self.registry = registry
        self.directory = directory
        self.clock = clock
        self.failing = False
        self.task = periodic.PeriodicTask(
            "host row", RENEWAL_INTERVAL, self.try_renew, clock
        )
        self.task.pause = self.pause

    def start(self) -> None:
        """Starts the periodic renewal."""
        self.task.start()

    def close(self) -> None:
        """Stops the periodic renewal."""
        self.task.close()

    def pause(self) -> datetime.timedelta:
        """Returns the time until the next renewal."""
        return RETRY_INTERVAL if self.failing else RENEWAL_INTERVAL

    def try_renew(self) -> None:
        """Renews; logs only the first of successive failures."""
        try:
            self.renew()
            self.failing = False
        except errors.PlatformError as error:
            if not self.failing:
                logger.warning("host row not renewed", reason=error.message)
            self.failing = True

    def renew(self) -> None:
        """Writes this host's record; reads all if due; removes a stale one."""
        own = self.directory.own
        self.directory.own = own._replace(renewals=own.renewals + 1)
        self.registry.write(self.directory.own)
        renewals = self.directory.own.renewals
        if (
            renewals > RENEWALS_AT_START
            and renewals % RENEWALS_PER_READ
            and self.directory.all_reachable()
        ):
            return
        self.directory.apply(self.registry.read())
        for name in self.directory.stale[:1]:
            self.registry.remove(name)
