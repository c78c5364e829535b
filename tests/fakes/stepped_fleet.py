"""A fleet of hosts that exchange state, stepped without network or threads."""

from __future__ import annotations

import datetime
import random

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import relayed
from coltsfootarch.fleet import report_exchange
from coltsfootarch.limits import shared_bucket
from coltsfootarch.limits import upstream_limits
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import break_counts
from coltsfootarch.scheduling import load_view
from tests.fleet import builders

STEP = datetime.timedelta(milliseconds=50)
# One step is the delay of a datagram.
STEP_S = STEP.total_seconds()
# Hosts read the rows of the others at this interval, as a `HostRenewer` does.
ROWS_INTERVAL_S = 10.0


class ShiftedClock:
    """Clock of one host; differs from others and may be stopped.

    Args:
        clock: Clock of the fleet.
        offset_s: Difference from it in seconds.
    """

    def __init__(self, clock, offset_s):
        self.clock = clock
        self.offset_s = offset_s

    def monotonic(self):
        return self.clock.monotonic() + self.offset_s

    def now(self):
        return self.clock.now()


class Host:
    """One host of the fleet.

    Args:
        fleet: The fleet.
        number: Number of the host.
        zone: Its availability zone.
        incarnation: Unix time of its start in milliseconds.
    """

    def __init__(self, fleet, number, zone, incarnation=1):
        self.fleet = fleet
        self.clock = ShiftedClock(fleet.clock, number * 1000.0)
        self.record = hosts.HostRecord(
            f"{zone}-{number}",
            f"10.0.{number // 250}.{number % 250 + 1}:7500",
            zone,
            incarnation,
            1,
        )
        self.directory = hosts.HostDirectory(self.record, self.clock)
        self.loads = load_view.LoadView(self.clock)
        self.backlog = backlog.Backlog(self.clock)
        self.buckets = shared_bucket.SharedBuckets(
            self.clock,
            self.directory.share,
            fleet.accounts.get,
            lambda: fleet.overdraft,
        )
        self.limits = upstream_limits.UpstreamLimits(
            self.clock, self.directory.share, self.report_soon
        )
        self.break_counts = break_counts.BreakCounts(
            self.clock, f"{number}@{incarnation}", self.report_soon
        )
        self.tracker = active_policy.PolicyTracker(self.clock)
        self.exchange = report_exchange.ReportExchange(
            self.directory,
            [
                self.loads,
                self.backlog,
                self.buckets,
                self.limits,
                self.break_counts,
            ],
            self.clock,
            self.tracker,
            fleet.generator,
        )
        self.exchange.relayed.send_datagram = self.send
        self.exchange.send_datagram = self.send
        self.running = True
        self.next_tick = fleet.generator.random() * relayed.MAX_TICK_S
        self.next_rows = 0.0
        self.next_read = fleet.generator.random() * followers.POLICY_WAIT_S

    @property
    def name(self):
        return self.record.name

    @property
    def zone(self):
        return self.record.availability_zone

    def send(self, data, address):
        self.fleet.send(self, data, address)

    def report_soon(self):
        if not self.exchange.relayed.choice.relaying:
            self.next_tick = min(
                self.next_tick,
                self.fleet.elapsed + report_exchange.URGENT_DELAY_S,
            )

    def step(self, elapsed):
        if elapsed >= self.next_rows and self.fleet.store_reachable(self):
            self.fleet.rows[self.name] = (elapsed, self.record)
            self.record = self.record._replace(
                renewals=self.record.renewals + 1
            )
            self.directory.apply([row for at, row in self.fleet.rows.values()])
            self.next_rows = elapsed + ROWS_INTERVAL_S
        if elapsed >= self.next_tick:
            self.exchange.send()
            self.next_tick = elapsed + self.exchange.interval()
        self.loads.recompute_total()
        self.read_policy(elapsed)

    def read_policy(self, elapsed):
        """Reads the policy as a `PolicyFollower` would."""
        if not self.fleet.store_reachable(self):
            return
        if self.exchange.relayed.choice.relay is not None and not (
            self.tracker.is_behind()
            or self.tracker.age() > followers.MAX_PASSED_AGE_S
        ):
            return
        if elapsed < self.next_read and not self.tracker.is_behind():
            return
        self.fleet.policy_reads += 1
        fraction = self.fleet.generator.uniform(0.5, 1.0)
        self.next_read = elapsed + followers.POLICY_WAIT_S * fraction
        self.tracker.apply(
            active_policy.PolicyReadResult(
                self.fleet.policy, 1, self.clock.monotonic(), True
            )
        )


class SteppedFleet:
    """Hosts in availability zones, with a network and a clock.

    Args:
        count: Number of hosts.
        zones: Names of the zones, to which hosts are assigned in turn.
        seed: Seed of all choices.

    Attributes:
        delivered: Returns whether a datagram from a host arrives at another.
        store_reachable: Returns whether a host reaches the store.
    """

    def __init__(self, count, zones=("a", "b", "c", "d", "e", "f"), seed=1):
        self.clock = clocks.ManualClock()
        self.generator = random.Random(seed)
        self.accounts = {}
        self.overdraft = 0.0
        self.rows = {}
        self.policy = builders.make_policy(1)
        self.policy_reads = 0
        self.in_flight = []
        self.messages = 0
        self.bytes = 0
        self.delivered = lambda sender, receiver: True
        self.store_reachable = lambda host: True
        self.hosts = []
        for number in range(count):
            self.hosts.append(Host(self, number, zones[number % len(zones)]))
        self.by_address = {host.record.address: host for host in self.hosts}

    @property
    def elapsed(self):
        return self.clock.elapsed

    def running(self):
        return [host for host in self.hosts if host.running]

    def send(self, sender, data, address):
        self.messages += 1
        self.bytes += len(data)
        self.in_flight.append((sender, data, address))

    def step(self):
        """Delivers what was sent in the last step; lets each host act."""
        self.clock.advance(STEP)
        arrived, self.in_flight = self.in_flight, []
        for sender, data, address in arrived:
            receiver = self.by_address[address]
            if receiver.running and self.delivered(sender, receiver):
                receiver.exchange.receive(data, sender.record.address)
        for host in self.hosts:
            if host.running:
                host.step(self.elapsed)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def restart(self, host):
        """Replaces a host by a new process with the same name."""
        index = self.hosts.index(host)
        number = int(host.name.rpartition("-")[2])
        new = Host(self, number, host.zone, host.record.incarnation + 1)
        new.next_tick += self.elapsed
        self.hosts[index] = new
        self.by_address[host.record.address] = new
        return new

    def relaying(self):
        return [
            host
            for host in self.running()
            if host.exchange.relayed.choice.relaying
        ]
