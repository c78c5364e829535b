"""Rate and burst over a fleet: refusals, excess and cost.

Compares the limiter with an equal split of each rate over the hosts.
"""

from __future__ import annotations

import datetime
import random
import statistics
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import limits_cluster
from benchmarks import static_split
from coltsfootarch import errors
from coltsfootarch.config import register as registers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

SEEDS = (1, 2, 3, 4, 5)
WARM_UP = 15.0  # seconds without callers, in which the ledgers fill
LOADED = 30.0  # seconds with callers
FAULT_AT = WARM_UP + 8.0
TAKEOVER_AFTER = 8.0
OFFERED = 0.9  # offered load in parts of the rate
OVERLOAD = 5.0
ACCOUNTS = (8000.0, 4000.0, 2000.0, 1000.0, 500.0)  # rates
BURST_SECONDS = 3.0


class Row(NamedTuple):
    """Result of one scenario with one limiter and one seed.

    Attributes:
        scenario: What happened.
        limiter: "ledgers" or "equal split".
        seed: Seed of the callers.
        requests: Requests sent.
        refused: Requests refused.
        wrongful: Requests refused although an exact token bucket held their
            tokens when they came or when they were refused.
        exact_refused: Requests that one exact token bucket, seeing all of
            them and letting none wait, would have refused.
        excess: Most tokens admitted in any interval beyond burst + rate * T,
            of the worst account; negative if the bound was never reached.
        messages: Messages between hosts per request.
    """

    scenario: str
    limiter: str
    seed: int
    requests: int
    refused: int
    wrongful: int
    exact_refused: int
    excess: float
    messages: float


class Admission(NamedTuple):
    """Tokens that a request used, at the instant of its admission."""

    at: float
    used: int


class AccountRecord:
    """What happened to one account, and the bucket that judges it."""

    def __init__(self, client: registers.ClientAccount, now: float) -> None:
        self.client = client
        self.bucket = static_split.Bucket(client.rate, client.burst, now)
        self.exact = static_split.Bucket(client.rate, client.burst, now)
        self.exact_refused = 0
        self.admissions: list[Admission] = []
        self.requests = 0
        self.refused = 0
        self.wrongful = 0

    def excess(self) -> float:
        """Returns the excess over the bound in the worst interval."""
        level = float(self.client.burst)
        last = 0.0
        worst = float("-inf")
        for admission in sorted(self.admissions):
            refilled = level + (admission.at - last) * self.client.rate
            level = min(float(self.client.burst), refilled) - admission.used
            last = admission.at
            worst = max(worst, -level)
        return worst


class Trial:
    """One scenario with one limiter and one seed."""

    def __init__(self, scenario: str, equal_split: bool, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        clients = {
            f"account-{rate:.0f}": registers.ClientAccount(
                f"account-{rate:.0f}", rate, int(rate * BURST_SECONDS)
            )
            for rate in ACCOUNTS
        }
        self.fleet = limits_cluster.Fleet(clients)
        now = self.fleet.clock.monotonic()
        self.records = {
            name: AccountRecord(client, now) for name, client in clients.items()
        }
        self.splits: dict[str, static_split.StaticSplit] = {}
        if equal_split:
            for host in self.fleet.hosts:
                self.splits[host.name] = self.new_split()

    def new_split(self) -> static_split.StaticSplit:
        return static_split.StaticSplit(
            self.fleet.clock, len(self.fleet.hosts), self.fleet.register
        )

    def run(self) -> None:
        """Plays the scenario."""
        for index, record in enumerate(self.records.values()):
            self.schedule_callers(record, flooding=index == 1)
        fault = FAULTS.get(self.scenario)
        if fault is not None:
            self.fleet.clock.spawn(FAULT_AT, lambda: fault(self))
        self.fleet.clock.run(WARM_UP + LOADED + 5.0)

    def schedule_callers(self, record: AccountRecord, flooding: bool) -> None:
        """Spawns the requests of an account."""
        client = record.client
        largest = min(2000, client.burst // 4)
        load = OFFERED * client.rate
        if flooding and self.scenario == "one at 5 times its rate":
            load = OVERLOAD * client.rate
        arrivals = load / ((100 + largest) / 2)
        at = WARM_UP
        while at < WARM_UP + LOADED:
            at += self.random.expovariate(arrivals)
            tokens = self.random.randint(100, largest)
            used = int(tokens * self.random.uniform(0.6, 1.0))
            stay = self.random.uniform(0.3, 3.0)
            entry = self.random.random()
            self.fleet.clock.spawn(
                at, self.request(record, entry, tokens, used, stay)
            )

    def entry_host(self, part: float) -> limits_cluster.SimulatedHost:
        """Returns the host that the load balancer chooses."""
        hosts = [host for host in self.fleet.hosts if host.alive]
        if self.scenario == "callers in one zone":
            hosts = self.fleet.members(limits_cluster.ZONES[0])
        return hosts[int(part * len(hosts))]

    def request(
        self,
        record: AccountRecord,
        entry: float,
        tokens: int,
        used: int,
        stay: float,
    ) -> Callable[[], None]:
        """Returns a function that runs one request."""

        def run_request() -> None:
            clock = self.fleet.clock
            host = self.entry_host(entry)
            record.requests += 1
            record.bucket.add(0.0, clock.monotonic())
            within = record.bucket.level >= tokens
            self.judge(record, tokens, used, stay)
            try:
                settle = self.reserve(host, record.client.name, tokens, used)
            except errors.RefusedError:
                record.refused += 1
                record.bucket.add(0.0, clock.monotonic())
                within = within or record.bucket.level >= tokens
                record.wrongful += within
                return
            record.bucket.add(-tokens, clock.monotonic())
            record.admissions.append(Admission(clock.monotonic(), used))
            clock.sleep(datetime.timedelta(seconds=stay))
            record.bucket.add(tokens - used, clock.monotonic())
            if host.alive or self.scenario != "host killed":
                settle()

        return run_request

    def judge(
        self, record: AccountRecord, tokens: int, used: int, stay: float
    ) -> None:
        """Tries a request at the exact bucket that sees all requests."""
        clock = self.fleet.clock
        record.exact.add(0.0, clock.monotonic())
        if record.exact.level < tokens:
            record.exact_refused += 1
            return
        record.exact.level -= tokens
        clock.spawn(
            clock.elapsed + stay,
            lambda: record.exact.add(tokens - used, clock.monotonic()),
        )

    def reserve(
        self,
        host: limits_cluster.SimulatedHost,
        account: str,
        tokens: int,
        used: int,
    ) -> Callable[[], None]:
        """Reserves with the limiter under test; returns what settles."""
        split = self.splits.get(host.name)
        if split is not None:
            split.reserve(account, tokens)
            return lambda: split.settle(account, tokens - used)
        limiter = host.limiter
        reservation = limiter.reserve(account, tokens)
        return lambda: limiter.settle(reservation, used)

    def row(self, seed: int) -> Row:
        records = self.records.values()
        requests = sum(record.requests for record in records)
        sent = sum(host.sent for host in self.fleet.hosts)
        return Row(
            self.scenario,
            "equal split" if self.splits else "ledgers",
            seed,
            requests,
            sum(record.refused for record in records),
            sum(record.wrongful for record in records),
            sum(record.exact_refused for record in records),
            max(record.excess() for record in records),
            sent / requests,
        )


def restart_all(trial: Trial) -> None:
    """Restarts the hosts one after the other, gracefully."""
    fleet = trial.fleet
    for host in fleet.hosts:
        fleet.hand_over(host, host.held())
        host.limiter.close()
        host.alive = False
        fleet.clock.sleep(datetime.timedelta(seconds=3))
        host.alive = True
        host.renewed_at = fleet.clock.monotonic()
        host.start()
        if trial.splits:
            trial.splits[host.name] = trial.new_split()
        for shard in host.held():
            fleet.give(host.availability_zone, shard, host, False)
        for peer in fleet.members(host.availability_zone):
            if peer is not host:
                fleet.hand_over(peer, peer.held()[::2])


def kill_host(trial: Trial) -> None:
    """Kills a host that has a zone peer."""
    host = trial.fleet.hosts[0]
    host.alive = False
    trial.fleet.clock.sleep(datetime.timedelta(seconds=TAKEOVER_AFTER))
    trial.fleet.take_over(host.availability_zone, host)


def cut_zone(trial: Trial) -> None:
    """Cuts a zone off for 10 s."""
    trial.fleet.cut_zone = limits_cluster.ZONES[0]
    trial.fleet.clock.sleep(datetime.timedelta(seconds=10))
    trial.fleet.cut_zone = ""


def stop_store(trial: Trial) -> None:
    """Stops the store; holders extend their leases themselves."""
    trial.fleet.session = limits_cluster.EXTENSION


FAULTS: dict[str, Callable[[Trial], None]] = {
    "rolling restart": restart_all,
    "host killed": kill_host,
    "zone cut off for 10 s": cut_zone,
    "store down": stop_store,
}

SCENARIOS = (
    "callers everywhere",
    "callers in one zone",
    "one at 5 times its rate",
    *FAULTS,
)


def run(seeds: Sequence[int] = SEEDS) -> list[Row]:
    """Plays all scenarios with both limiters.

    Args:
        seeds: Seeds of the callers.
    """
    rows = []
    for scenario in SCENARIOS:
        for equal_split in (False, True):
            for seed in seeds:
                trial = Trial(scenario, equal_split, seed)
                trial.run()
                rows.append(trial.row(seed))
    return rows


def spread(values: Sequence[float]) -> str:
    """Returns median, lowest and highest value."""
    middle = statistics.median(values)
    return f"{middle:.0f} ({min(values):.0f} to {max(values):.0f})"


class Summary(NamedTuple):
    """Medians over the seeds, with the lowest and highest value.

    Attributes:
        scenario: What happens.
        limiter: "ledgers" or the baseline "equal split".
        requests: Requests sent.
        refused: Requests refused.
        wrongful: Requests refused although within the account's rate.
        exact_refused: Requests that one exact bucket would refuse.
        excess: Largest excess over burst + rate x T in tokens; negative if
            the bound was never reached.
        messages: Messages between hosts by request, the median.
    """

    scenario: str
    limiter: str
    requests: str
    refused: str
    wrongful: str
    exact_refused: str
    excess: str
    messages: float


def summary(seeds: Sequence[int] = SEEDS) -> list[Summary]:
    """Runs all scenarios and summarizes them over the seeds."""
    rows = run(seeds)
    return [
        summarize([row for row in rows if row[:2] == (scenario, name)])
        for scenario in SCENARIOS
        for name in ("ledgers", "equal split")
    ]


def summarize(group: Sequence[Row]) -> Summary:
    """Returns the summary of one scenario and limiter."""
    fields = ("requests", "refused", "wrongful", "exact_refused", "excess")
    cells = {
        field: spread([getattr(row, field) for row in group])
        for field in fields
    }
    sent = statistics.median(row.messages for row in group)
    return Summary(group[0].scenario, group[0].limiter, messages=sent, **cells)
