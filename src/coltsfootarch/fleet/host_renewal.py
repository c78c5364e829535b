"""Keeps this host's row in the durable list and reads those of the others."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import gevent
import structlog
from gevent import lock

from coltsfootarch import errors
from coltsfootarch import periodic

if TYPE_CHECKING:
    import random

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import hosts

# Interval at which this host renews its row in the store and reads the rows of
# the others.
RENEWAL_INTERVAL = datetime.timedelta(seconds=10)
# While all known hosts are reachable, rows are read only with one of this many
# renewals; new hosts are found by their reports.
RENEWALS_PER_READ = 4
# The same for hosts that exchange state through relays, whose messages tell the
# number of hosts. While hosts are missing, relays read the rows at the interval
# above, so that a serving host's row is seen to change within this time.
RELAYED_RENEWAL_INTERVAL = datetime.timedelta(seconds=30)
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

logger = structlog.get_logger(__name__)


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
        registry: hosts.HostRegistry,
        directory: hosts.HostDirectory,
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
