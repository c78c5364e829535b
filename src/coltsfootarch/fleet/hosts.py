"""The other hosts: who exists and who was heard lately."""

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

# Interval of renewing this host's row and reading those of the others.
RENEWAL_INTERVAL = datetime.timedelta(seconds=10)
# A host that renewed its row this recently may be serving unheard.
RENEWAL_VALIDITY_S = 25.0
# While all known hosts are heard, rows are read only with each of so many
# renewals; new hosts make themselves heard.
RENEWALS_PER_READ = 4
RENEWALS_AT_START = 2
RETRY_INTERVAL = datetime.timedelta(seconds=2)
# A host that was heard this recently counts as reached. Reports come at least
# every half second.
REPORT_TIMEOUT_S = 1.2
# A row that nobody renews is removed after this time.
REMOVAL_S = 120.0

logger = structlog.get_logger(__name__)


class HostRecord(NamedTuple):
    """What a host says about itself.

    Attributes:
        name: Name of the host.
        address: "ip:port" for reports.
        availability_zone: Where it runs.
        incarnation: Unix time of its start in milliseconds.
        renewals: Number of renewals since then.
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
    """Another host, as seen from here."""

    def __init__(self, record: HostRecord, now: float) -> None:
        self.record = record
        self.renewed_at = now
        self.last_report_at = float("-inf")


class HostDirectory:
    """Other hosts by name.

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
        """Takes the records of all hosts."""
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
        """Notes a report of a peer, known or not."""
        now = self.clock.monotonic()
        peer = self.peers.get(name)
        if peer is None or peer.record.address != address:
            record = HostRecord(name, address, "", incarnation, 0)
            peer = self.peers[name] = Peer(record, now)
        peer.last_report_at = now

    def is_reachable(self, peer: Peer) -> bool:
        """Returns whether a peer was heard lately."""
        return self.clock.monotonic() - peer.last_report_at <= REPORT_TIMEOUT_S

    def share(self) -> float:
        """Returns the part of a limit over all hosts for the reached ones.

        Hosts that may serve without being heard keep their part. One that
        neither reports nor renews its row can't confirm keys either, so it
        takes no part.
        """
        now = self.clock.monotonic()
        reached = unheard = 0
        for peer in self.peers.values():
            if now - peer.last_report_at <= REPORT_TIMEOUT_S:
                reached += 1
            elif now - peer.renewed_at <= RENEWAL_VALIDITY_S:
                unheard += 1
        return (1 + reached) / (1 + reached + unheard)

    def all_reachable(self) -> bool:
        """Returns whether every known peer was heard lately."""
        return all(map(self.is_reachable, self.peers.values()))

    def rank(self) -> int:
        """Returns how many reached hosts come before this one by name."""
        return sum(
            name < self.own.name and self.is_reachable(peer)
            for name, peer in self.peers.items()
        )

    def count(self) -> int:
        """Returns how many hosts may be serving, this one included."""
        now = self.clock.monotonic()
        oldest = now - RENEWAL_VALIDITY_S
        return 1 + sum(
            max(peer.last_report_at, peer.renewed_at) >= oldest
            for peer in self.peers.values()
        )


class HostRenewer:
    """Renews this host's record and reads those of the others.

    Args:
        registry: Durable list of hosts.
        directory: Takes the records.
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
        """Starts to renew."""
        self.task.start()

    def close(self) -> None:
        """Stops renewing."""
        self.task.close()

    def pause(self) -> datetime.timedelta:
        """Returns the time until the next renewal."""
        return RETRY_INTERVAL if self.failing else RENEWAL_INTERVAL

    def try_renew(self) -> None:
        """Renews; logs the first failure of several."""
        try:
            self.renew()
            self.failing = False
        except errors.PlatformError as error:
            if not self.failing:
                logger.warning("host row not renewed", reason=error.message)
            self.failing = True

    def renew(self) -> None:
        """Writes this host's record and reads all."""
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
