"""Simulates rate limits over a fleet: refusals, excess and message cost.

Compares the product's limiter with an equal split of each rate over the hosts.
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
WARM_UP_SECONDS = 15.0  # without callers; the ledgers fill in this time
LOAD_SECONDS = 30.0
FAULT_AT_SECONDS = WARM_UP_SECONDS + 8.0
TAKEOVER_DELAY_SECONDS = 8.0
OFFERED_SHARE = 0.9  # offered load as a share of the rate
FLOOD_FACTOR = 5.0
ACCOUNT_RATES = (8000.0, 4000.0, 2000.0, 1000.0, 500.0)  # tokens per second
BURST_SECONDS = 3.0


class Row(NamedTuple):
    """Result of one scenario with one limiter and one seed.

    Attributes:
        scenario: Name of the scenario.
        limiter: "ledgers" or "equal split".
        seed: Seed of the callers.
        requests: Requests sent.
        refused: Requests refused.
        wrongful: Requests refused although an exact token bucket contained
            their tokens when they arrived or when they were refused.
        exact_refused: Requests that one exact token bucket for the whole fleet
            would have refused, without queueing.
        excess: Largest number of tokens admitted beyond burst + rate * T in
            any interval of T seconds, of the worst account; negative if the
            bound was never reached.
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
    """Instant of a request's admission and the tokens that it used."""

    admitted_at: float
    used: int


class AccountRecord:
    """Requests of one account, and exact buckets to compare them with.

    Attributes:
        bucket: Exact bucket to which the admitted requests are charged.
        exact: Exact bucket that decides on all requests by itself.
        exact_refused: Requests that `exact` refused.
        admissions: Admitted requests.
        requests: Requests sent.
        refused: Requests refused.
        wrongful: Requests refused although `bucket` contained their tokens.
    """

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
        """Returns the tokens beyond the bound in the worst interval."""
        level = float(self.client.burst)
        last_at = 0.0
        worst = float("-inf")
        for admission in sorted(self.admissions):
            refilled = (
                level + (admission.admitted_at - last_at) * self.client.rate
            )
            level = min(float(self.client.burst), refilled) - admission.used
            last_at = admission.admitted_at
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
            for rate in ACCOUNT_RATES
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
        """Returns a new limiter with an equal split, as after a restart."""
        return static_split.StaticSplit(
            self.fleet.clock, len(self.fleet.hosts), self.fleet.register
        )

    def run(self) -> None:
        """Simulates the scenario."""
        for index, record in enumerate(self.records.values()):
            self.schedule_callers(record, flooding=index == 1)
        fault = FAULTS.get(self.scenario)
        if fault is not None:
            self.fleet.clock.spawn(FAULT_AT_SECONDS, lambda: fault(self))
        self.fleet.clock.run(WARM_UP_SECONDS + LOAD_SECONDS + 5.0)

    def schedule_callers(self, record: AccountRecord, flooding: bool) -> None:
        """Schedules the requests of an account.

        Args:
            record: The account.
            flooding: Whether it exceeds its rate in the overload scenario.
        """
        client = record.client
        largest = min(2000, client.burst // 4)
        load = OFFERED_SHARE * client.rate
        if flooding and self.scenario == "one at 5 times its rate":
            load = FLOOD_FACTOR * client.rate
        arrivals_per_second = load / ((100 + largest) / 2)
        sent_at = WARM_UP_SECONDS
        while sent_at < WARM_UP_SECONDS + LOAD_SECONDS:
            sent_at += self.random.expovariate(arrivals_per_second)
            tokens = self.random.randint(100, largest)
            used = int(tokens * self.random.uniform(0.6, 1.0))
            duration = self.random.uniform(0.3, 3.0)
            entry = self.random.random()
            self.fleet.clock.spawn(
                sent_at, self.request(record, entry, tokens, used, duration)
            )

    def entry_host(self, fraction: float) -> limits_cluster.SimulatedHost:
        """Returns the host that the load balancer chooses.

        Args:
            fraction: Random number in [0, 1) that selects the host.
        """
        hosts = [host for host in self.fleet.hosts if host.alive]
        if self.scenario == "callers in one zone":
            hosts = self.fleet.members(limits_cluster.ZONES[0])
        return hosts[int(fraction * len(hosts))]

    def request(
        self,
        record: AccountRecord,
        entry: float,
        tokens: int,
        used: int,
        duration: float,
    ) -> Callable[[], None]:
        """Returns a function that runs one request.

        Args:
            record: Account of the request.
            entry: Random number in [0, 1) that selects the host.
            tokens: Tokens to reserve.
            used: Tokens that the request uses.
            duration: Duration of the request in seconds.
        """

        def run_request() -> None:
            clock = self.fleet.clock
            host = self.entry_host(entry)
            record.requests += 1
            record.bucket.add(0.0, clock.monotonic())
            was_within_rate = record.bucket.level >= tokens
            self.try_exact_bucket(record, tokens, used, duration)
            try:
                settle = self.reserve(host, record.client.name, tokens, used)
            except errors.RefusedError:
                record.refused += 1
                record.bucket.add(0.0, clock.monotonic())
                was_within_rate = (
                    was_within_rate or record.bucket.level >= tokens
                )
                record.wrongful += was_within_rate
                return
            record.bucket.add(-tokens, clock.monotonic())
            record.admissions.append(Admission(clock.monotonic(), used))
            clock.sleep(datetime.timedelta(seconds=duration))
            record.bucket.add(tokens - used, clock.monotonic())
            if host.alive or self.scenario != "host killed":
                settle()

        return run_request

    def try_exact_bucket(
        self, record: AccountRecord, tokens: int, used: int, duration: float
    ) -> None:
        """Charges a request to the exact bucket that decides by itself."""
        clock = self.fleet.clock
        record.exact.add(0.0, clock.monotonic())
        if record.exact.level < tokens:
            record.exact_refused += 1
            return
        record.exact.level -= tokens
        clock.spawn(
            clock.elapsed + duration,
            lambda: record.exact.add(tokens - used, clock.monotonic()),
        )

    def reserve(
        self,
        host: limits_cluster.SimulatedHost,
        account: str,
        tokens: int,
        used: int,
    ) -> Callable[[], None]:
        """Reserves tokens with the limiter under test.

        Returns:
            A function that settles the reservation.

        Raises:
            RefusedError: The limiter refused the request.
        """
        split = self.splits.get(host.name)
        if split is not None:
            split.reserve(account, tokens)
            return lambda: split.settle(account, tokens - used)
        limiter = host.limiter
        reservation = limiter.reserve(account, tokens)
        return lambda: limiter.settle(reservation, used)

    def row(self, seed: int) -> Row:
        """Returns the result of the simulation."""
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
    """Restarts the hosts gracefully, one after the other."""
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
            fleet.assign(host.availability_zone, shard, host, False)
        for peer in fleet.members(host.availability_zone):
            if peer is not host:
                fleet.hand_over(peer, peer.held()[::2])


def kill_host(trial: Trial) -> None:
    """Kills a host that has a zone peer."""
    host = trial.fleet.hosts[0]
    host.alive = False
    trial.fleet.clock.sleep(datetime.timedelta(seconds=TAKEOVER_DELAY_SECONDS))
    trial.fleet.take_over(host.availability_zone, host)


def isolate_zone(trial: Trial) -> None:
    """Disconnects a zone from the others for 10 s."""
    trial.fleet.isolated_zone = limits_cluster.ZONES[0]
    trial.fleet.clock.sleep(datetime.timedelta(seconds=10))
    trial.fleet.isolated_zone = ""


def stop_store(trial: Trial) -> None:
    """Stops the store; shard holders then extend their leases themselves."""
    trial.fleet.session = limits_cluster.EXTENSION_SECONDS


FAULTS: dict[str, Callable[[Trial], None]] = {
    "rolling restart": restart_all,
    "host killed": kill_host,
    "zone cut off for 10 s": isolate_zone,
    "store down": stop_store,
}

SCENARIOS = (
    "callers everywhere",
    "callers in one zone",
    "one at 5 times its rate",
    *FAULTS,
)


def run(seeds: Sequence[int] = SEEDS) -> list[Row]:
    """Simulates all scenarios with both limiters.

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


def format_spread(values: Sequence[float]) -> str:
    """Returns the median, lowest and highest value as text."""
    middle = statistics.median(values)
    return f"{middle:.0f} ({min(values):.0f} to {max(values):.0f})"


class Summary(NamedTuple):
    """Medians over the seeds, with the lowest and highest value.

    Attributes:
        scenario: Name of the scenario.
        limiter: "ledgers" or the baseline "equal split".
        requests: Requests sent.
        refused: Requests refused.
        wrongful: Requests refused although within the account's rate.
        exact_refused: Requests that one exact bucket would refuse.
        excess: Largest excess over burst + rate * T in tokens; negative if
            the bound was never reached.
        messages: Messages between hosts per request, the median only.
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
    """Simulates all scenarios and summarizes them over the seeds."""
    rows = run(seeds)
    return [
        summarize([row for row in rows if row[:2] == (scenario, name)])
        for scenario in SCENARIOS
        for name in ("ledgers", "equal split")
    ]


def summarize(group: Sequence[Row]) -> Summary:
    """Returns the summary of the rows of one scenario and limiter."""
    fields = ("requests", "refused", "wrongful", "exact_refused", "excess")
    cells = {
        field: format_spread([getattr(row, field) for row in group])
        for field in fields
    }
    sent = statistics.median(row.messages for row in group)
    return Summary(group[0].scenario, group[0].limiter, messages=sent, **cells)
