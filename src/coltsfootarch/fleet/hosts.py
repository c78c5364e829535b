"""Directory of the other entry hosts and which of them are reachable."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import gevent
import structlog
from gevent import lock

from coltsfootarch import errors
from coltsfootarch import periodic

if TYPE_CHECKING:
    import random

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
# The same for hosts that exchange state through relays, whose messages tell the
# number of hosts. While hosts are missing, relays read the rows at the interval
# above, so that a serving host's row is seen to change within this time.
RELAYED_RENEWAL_INTERVAL = datetime.timedelta(seconds=30)
RELAYED_RENEWAL_VALIDITY_S = 45.0
# A host that starts while others start reads the rows again after this time,
# plus up to as much again at random.
READ_AFTER_START_S = 2.0
RENEWALS_AT_START = 2
# Rows that all hosts write again in a second after a restoration of the store.
# Sites of 73 and 380 hosts may make 1,200 and more calls that write.
REWRITES_PER_S = 100.0
RETRY_INTERVAL = datetime.timedelta(seconds=2)
# The same for a host that has just started, which doesn't know the others yet,
# plus up to as much again at random.
START_RETRY_S = 0.5
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


class HostRenewer:
    """Periodically renews this host's record and reads those of the others.

    Args:
        registry: Durable list of hosts.
        directory: Directory to update.
        clock: Source of time.
        generator: Source of randomness.

    Attributes:
        is_listed: Whether the store has acknowledged this host's row.
        has_joined: Whether the rows were read after that.
        renewals: Number of renewals that have succeeded.
    """

    def __init__(
        self,
        registry: HostRegistry,
        directory: HostDirectory,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self.registry = registry
        self.directory = directory
        self.clock = clock
        self.generator = generator
        self.failing = False
        self.is_listed = False
        self.has_joined = False
        self.renewals = 0
        self.just_started = True
        # Calls of the registry must not run concurrently.
        self.registry_lock = lock.BoundedSemaphore()
        self.rewriter: gevent.Greenlet | None = None
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
        if self.rewriter is not None:
            self.rewriter.kill()
            self.rewriter = None

    def write_again(self) -> None:
        """Writes this host's row soon, since a restored store may lack it."""
        if self.rewriter is not None:
            self.rewriter.kill(block=False)
        self.rewriter = gevent.spawn(self.rewrite)

    def rewrite(self) -> None:
        """Writes this host's row until that succeeds.

        The hosts of a fleet write at random moments within a time that grows
        with its size.
        """
        spread_s = self.directory.count() / REWRITES_PER_S
        wait_s = self.generator.uniform(0.0, spread_s)
        self.clock.sleep(datetime.timedelta(seconds=wait_s))
        while not self.try_write():
            self.clock.sleep(RETRY_INTERVAL)

    def try_write(self) -> bool:
        """Writes this host's row; returns whether it was written."""
        try:
            self.write()
        except errors.PlatformError as error:
            logger.warning("host row not renewed", reason=error.message)
            return False
        return True

    def write(self) -> None:
        """Writes this host's row with a new number of renewals."""
        own = self.directory.own
        self.directory.own = own._replace(renewals=own.renewals + 1)
        with self.registry_lock:
            self.registry.write(self.directory.own)
        self.is_listed = True

    def pause(self) -> datetime.timedelta:
        """Returns the time until the next renewal."""
        if self.failing and not self.has_joined:
            seconds = START_RETRY_S * (1 + self.generator.random())
            return datetime.timedelta(seconds=seconds)
        if self.failing:
            return RETRY_INTERVAL
        directory = self.directory
        if self.just_started:
            seconds = READ_AFTER_START_S * (1 + self.generator.random())
            return datetime.timedelta(seconds=seconds)
        if directory.passed is None:
            return RENEWAL_INTERVAL
        if directory.relays is not None and not directory.all_reachable():
            return RENEWAL_INTERVAL
        return RELAYED_RENEWAL_INTERVAL

    def try_renew(self) -> None:
        """Renews; logs only the first of successive failures."""
        try:
            self.step()
            self.failing = False
        except errors.PlatformError as error:
            if not self.failing:
                logger.warning("host row not renewed", reason=error.message)
            self.failing = True

    def step(self) -> None:
        """Joins, then renews; the second step only reads, in a large fleet.

        Of many hosts that start together none finds all others at first.
        """
        if not self.has_joined:
            self.join()
        elif self.just_started:
            self.just_started = False
            if self.directory.is_large():
                self.read()
        else:
            self.renew()

    def join(self) -> None:
        """Writes this host's record, then reads those of the others.

        Of two hosts that start together at least one finds the other if both
        read after their rows were written. A host that can't write its row
        reads the others nevertheless; its reports tell them of it.
        """
        if not self.is_listed:
            try:
                self.write()
            except errors.PlatformError:
                if not self.directory.known:
                    self.read()
                raise
        self.read()
        self.has_joined = True
        self.renewals += 1
        logger.info("hosts known", peers=len(self.directory.peers))

    def renew(self) -> None:
        """Writes this host's record; reads all records if due."""
        self.write()
        if self.is_read_due(self.renewals + 1):
            self.read()
        self.renewals += 1

    def is_read_due(self, renewal: int) -> bool:
        """Returns whether a renewal reads the records.

        Args:
            renewal: Its number since the start.
        """
        # A large fleet has read the rows a second time since the start.
        at_start = 1 if self.directory.is_large() else RENEWALS_AT_START
        return (
            renewal <= at_start
            or not renewal % RENEWALS_PER_READ
            or not self.directory.all_reachable()
        )

    def read(self) -> None:
        """Reads the records of all hosts; removes a stale one."""
        with self.registry_lock:
            self.directory.apply(self.registry.read())
            for name in self.directory.stale[:1]:
                self.registry.remove(name)
