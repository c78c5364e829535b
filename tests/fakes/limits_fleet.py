"""Hosts with real limiters and ledger servers that record what they admit."""

from __future__ import annotations

import datetime
import itertools

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.config import register as registers
from coltsfootarch.limits import ledger_server
from coltsfootarch.limits import limiter
from tests.fakes import leases
from tests.fakes import network

SHARDS = 2
ROUNDING = 0.01


def make_register(zones, rate, burst, queue_timeout=0.03):
    rules = registers.Rules(
        queue_timeout=datetime.timedelta(seconds=queue_timeout)
    )
    return registers.Register(
        {name: registers.AvailabilityZone(name, "r", SHARDS) for name in zones},
        {},
        {},
        {},
        {"acme": registers.ClientAccount("acme", rate, burst)},
        rules,
    )


class Host:
    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.leases = fleet.directory.join(name, zone)
        self.start()

    def start(self):
        fleet = self.fleet
        endpoint = fleet.network.endpoint(self.name, 1, self.zone, self.name)
        self.endpoint = endpoint
        self.ledger_server = ledger_server.LedgerServer(
            fleet.clock,
            self.leases,
            fleet.directory,
            self.zone,
            endpoint,
            lambda: fleet.register,
        )
        self.limiter = limiter.Limiter(
            fleet.clock,
            endpoint,
            fleet.directory,
            self.zone,
            lambda: fleet.register,
            lambda kind, name, shards: 0,
        )
        self.ledger_server.start()


class Fleet:
    """Hosts a1 and a2 in zone a, b1 and b2 in zone b; one account, "acme".

    Attributes:
        paused: Names of paused hosts.
        rate_changes: (time, rate from then on), in seconds and tokens/s.
        admissions: Admitted requests in order.
    """

    def __init__(self, rate=100.0, burst=400, zones=("a", "b")):
        self.clock = clocks.ManualClock()
        self.network = network.FakeNetwork()
        self.directory = leases.FakeDirectory(self.clock)
        self.register = make_register(zones, rate, burst)
        self.hosts = {
            f"{zone}{number}": Host(self, f"{zone}{number}", zone)
            for zone in zones
            for number in (1, 2)
        }
        self.paused = set()
        self.rate_changes = [(self.clock.monotonic(), rate)]
        self.admissions = []
        for zone in zones:
            self.directory.assign(zone, 0, f"{zone}1")

    def running(self):
        return [name for name in self.hosts if name not in self.paused]

    def advance(self, seconds, step=0.5):
        """Advances the clock; running hosts renew leases and tick."""
        while seconds > 0:
            step_seconds = min(seconds, step)
            seconds -= step_seconds
            self.clock.advance(datetime.timedelta(seconds=step_seconds))
            for name in self.running():
                self.hosts[name].leases.renew()
                self.hosts[name].ledger_server.tick()
                self.hosts[name].limiter.tick()

    def advance_without_reports(self, seconds):
        """Advances the clock; hosts renew leases, but send no reports."""
        while seconds > 0:
            self.clock.advance(datetime.timedelta(seconds=0.5))
            seconds -= 0.5
            for name in self.running():
                self.hosts[name].leases.renew()

    def hold_tokens(self, name, tokens):
        """Makes a host hold granted tokens without spending them."""
        admission = self.reserve(name, tokens)
        if admission is not None:
            self.settle(admission, 0)

    def spend_all(self, *names):
        """Reserves as many tokens as hosts get, up to twice the burst each."""
        for name in names:
            remaining = 2 * self.register.client_accounts["acme"].burst
            for tokens in (100, 50, 25, 10, 5, 1):
                while remaining > 0 and self.reserve(name, tokens) is not None:
                    remaining -= tokens

    def pause(self, name):
        self.paused.add(name)
        self.network.paused.add(name)

    def resume(self, name):
        """Resumes a paused host, whose lease isn't renewed yet."""
        self.paused.discard(name)
        self.network.paused.discard(name)

    def restart(self, name):
        self.resume(name)
        self.hosts[name].leases.renew()
        self.hosts[name].start()
        zone = self.hosts[name].zone
        holder = self.directory.holder(zone, 0)
        if holder.host == name:
            self.directory.assign(zone, 0, name)

    def hand_over(self, source, lost=False):
        """Hands over the shard of a host to the other host of its zone."""
        host = self.hosts[source]
        target = source[0] + {"1": "2", "2": "1"}[source[1]]
        message = host.ledger_server.export(0)
        if message is None or target in self.paused:
            return
        if not lost:
            host.endpoint.send(target, message)
        self.directory.assign(host.zone, 0, target)
        host.ledger_server.drop(0)

    def edit_rate(self, rate):
        client = self.register.client_accounts["acme"]
        accounts = {"acme": client._replace(rate=rate)}
        self.register = self.register._replace(client_accounts=accounts)
        self.rate_changes.append((self.clock.monotonic(), rate))

    def reserve(self, name, tokens):
        """Reserves tokens at a host; returns an admission, None if refused."""
        try:
            reservation = self.hosts[name].limiter.reserve("acme", tokens)
        except errors.RefusedError:
            return None
        admission = Admission(self.clock.monotonic(), tokens, name, reservation)
        self.admissions.append(admission)
        return admission

    def settle(self, admission, used):
        admission.used = used
        self.hosts[admission.host].limiter.settle(admission.reservation, used)

    def refilled_tokens(self, start, end):
        """Returns the tokens that the rates refill from `start` to `end`."""
        rate_changes = [*self.rate_changes, (float("inf"), 0.0)]
        return sum(
            rate * max(0.0, min(end, until) - max(start, since))
            for (since, rate), (until, _) in itertools.pairwise(rate_changes)
        )

    def excess(self):
        """Returns the largest excess over burst + refill, over all intervals.

        It is negative if no interval reaches its bound. One pass over the
        admissions with a token bucket that may become negative finds the
        worst interval, which starts when the bucket was last full.
        """
        burst = self.register.client_accounts["acme"].burst
        level, last_time, worst_excess = float(burst), 0.0, float("-inf")
        for admission in self.admissions:
            refilled = level + self.refilled_tokens(last_time, admission.at)
            level = min(float(burst), refilled) - admission.used
            last_time = admission.at
            worst_excess = max(worst_excess, -level)
        return worst_excess


class Admission:
    def __init__(self, at, used, host, reservation):
        self.at = at
        self.used = used
        self.host = host
        self.reservation = reservation
