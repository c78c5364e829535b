"""Compares scheduling policies on simulated engines.

`python -m benchmarks.policy` prints goodput, wasted prefill, the worst-served
account, and lost and refused requests for the pool scheduler and two baselines,
then processor time and memory of the scheduler at three pool sizes. Capacity
is defined in `policy_workload.capacity`.
"""

from __future__ import annotations

import statistics
import sys
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import policy_baselines
from benchmarks import policy_engines
from benchmarks import policy_hosts
from benchmarks import policy_measures
from benchmarks import policy_workload
from benchmarks import scheduler_cost
from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Sequence

    from coltsfootarch.upstreams import engine

SEEDS = (1, 2, 3, 4, 5)
QUICK_SEEDS = (1, 2)
DEPLOYMENTS = (policy_workload.PRAIRIE, policy_workload.TIERRA)
LOADS = (0.7, 0.9, 1.0, 1.3)
POLICIES = ("scheduler", "round-robin", "least-load")
SITUATIONS = ("steady", "flood", "slow", "down", "restart")
SITUATION_LOAD = 0.9

WARM_UP_SECONDS = 10.0
RUN_SECONDS = 60.0
DRAIN_SECONDS = 60.0
REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.5
CACHE_SECONDS = 0.25

FAULT_AT_SECONDS = 20.0
FAULT_SECONDS = 20.0
SLOWDOWN = 3.0
RESTART_EVERY_SECONDS = 10.0
RESTART_DRAIN_SECONDS = 6.0
RESTART_DOWN_SECONDS = 2.0


class Row(NamedTuple):
    """Results of one case over its seeds; means where not said otherwise.

    Attributes:
        deployment: Name of the site.
        load: Offered load as a share of capacity.
        situation: Entry of `SITUATIONS`.
        policy: Entry of `POLICIES`.
        goodput: Requests per second that met both latency targets.
        spread: Standard deviation of the goodput over the seeds.
        wasted: Share of prefill time whose result was never imported.
        worst_share: Goodput of the worst-served account as a share of its fair
            rate; minimum over the seeds.
        flood_share: Share of its goodput in the steady situation that an
            account keeps during the flood, over all seeds together; minimum
            over the accounts other than the flooding one, and 1 in other
            situations.
        worst_flood_share: The same for the worst single seed.
        lost: Requests accepted and never completed, sum over the seeds.
        refused: Share of the requests that was refused without execution.
    """

    deployment: str
    load: float
    situation: str
    policy: str
    goodput: float
    spread: float
    wasted: float
    worst_share: float
    flood_share: float
    worst_flood_share: float
    lost: int
    refused: float


def make_hosts(
    case: policy_measures.Case, loop: policy_engines.Loop
) -> policy_hosts.ScheduledHosts | policy_baselines.IndependentHosts:
    """Returns entry hosts that use the policy of a case."""
    site = case.deployment
    engines = policy_workload.upstreams(site.prefills, site.decodes, site.zones)
    if case.policy == "scheduler":
        return policy_hosts.ScheduledHosts(loop, engines, case.seed)
    return policy_baselines.IndependentHosts(
        loop, engines, case.seed, by_load=case.policy == "least-load"
    )


def plan_faults(
    situation: str, loop: policy_engines.Loop, hosts: policy_hosts.Hosts
) -> None:
    """Schedules the faults and state changes of a situation."""
    first = next(iter(hosts.decodes))
    if situation == "slow":
        slow_engine = hosts.decodes[first]
        loop.after(FAULT_AT_SECONDS, slow_engine.set_slowdown, SLOWDOWN)
    if situation == "down":
        target = hosts.decodes[first]
        loop.after(FAULT_AT_SECONDS, target.set_up, False)
        loop.after(FAULT_AT_SECONDS + FAULT_SECONDS, target.set_up, True)
    if situation != "restart":
        return
    for number, name in enumerate([*hosts.prefills, *hosts.decodes]):
        at = WARM_UP_SECONDS + number * RESTART_EVERY_SECONDS
        down_at = at + RESTART_DRAIN_SECONDS
        up_at = down_at + RESTART_DOWN_SECONDS
        simulated_engine = hosts.prefills.get(name) or hosts.decodes[name]
        draining = register.UpstreamState.DRAINING
        loop.after(at, hosts.set_state, name, draining)
        loop.after(down_at, simulated_engine.set_up, False)
        loop.after(up_at, simulated_engine.set_up, True)
        active = register.UpstreamState.ACTIVE
        loop.after(up_at, hosts.set_state, name, active)


class Feeds:
    """Delivers load reports and cache events to the hosts with a delay."""

    def __init__(
        self, loop: policy_engines.Loop, hosts: policy_hosts.Hosts
    ) -> None:
        self.loop = loop
        self.hosts = hosts
        self.sent = dict.fromkeys(hosts.prefills, 0)

    def reports(self) -> None:
        """Samples the load of all engines and delivers it after the lag."""
        engines_by_name: dict[str, policy_engines.Engine] = {
            **self.hosts.prefills,
            **self.hosts.decodes,
        }
        for name, simulated_engine in engines_by_name.items():
            if simulated_engine.up:
                load = simulated_engine.load()
                self.loop.after(REPORT_LAG_SECONDS, self._report, name, load)
        self.loop.after(REPORT_SECONDS, self.reports)

    def cache_events(self) -> None:
        """Delivers new cache events after the lag."""
        for name, simulated_engine in self.hosts.prefills.items():
            for event in simulated_engine.events[self.sent[name] :]:
                self.loop.after(
                    REPORT_LAG_SECONDS, self.hosts.cache_event, name, event
                )
            self.sent[name] = len(simulated_engine.events)
        self.loop.after(CACHE_SECONDS, self.cache_events)

    def _report(self, name: str, load: engine.LoadReport) -> None:
        self.hosts.load_report(name, load._replace(age=REPORT_LAG_SECONDS))


def simulate(
    case: policy_measures.Case, scale: float
) -> policy_measures.Measures:
    """Simulates one case.

    Args:
        case: Case to simulate.
        scale: Length of the run, as a multiple of `RUN_SECONDS`.
    """
    loop = policy_engines.Loop()
    hosts = make_hosts(case, loop)
    feeds = Feeds(loop, hosts)
    feeds.reports()
    feeds.cache_events()
    plan_faults(case.situation, loop, hosts)
    seconds = WARM_UP_SECONDS + RUN_SECONDS * scale
    requests = policy_workload.requests(
        case.deployment,
        case.load * policy_workload.capacity(case.deployment),
        seconds,
        loop.start,
        case.seed,
        case.situation == "flood",
    )
    for request in requests:
        loop.after(request.arrival - loop.now, hosts.arrive, request)
    loop.run(loop.start + seconds + DRAIN_SECONDS)
    return policy_measures.measure(
        hosts, loop.start + WARM_UP_SECONDS, RUN_SECONDS * scale
    )


def cases(seed: int) -> list[policy_measures.Case]:
    """Returns the cases of one seed, steady ones first."""
    steady = [
        policy_measures.Case(site, load, "steady", policy, seed)
        for site in DEPLOYMENTS
        for load in LOADS
        for policy in POLICIES
    ]
    disturbed = [
        policy_measures.Case(site, SITUATION_LOAD, situation, policy, seed)
        for site in DEPLOYMENTS
        for situation in SITUATIONS[1:]
        for policy in POLICIES
    ]
    return steady + disturbed


def run(seeds: Sequence[int] = SEEDS, scale: float = 1.0) -> list[Row]:
    """Simulates all cases and returns their rows in a fixed order.

    Args:
        seeds: Seeds of the arrivals.
        scale: Length of each run, as a multiple of 60 s.
    """
    measured = {
        case: simulate(case, scale) for seed in seeds for case in cases(seed)
    }
    return [
        summarize([case._replace(seed=seed) for seed in seeds], measured)
        for case in cases(seeds[0])
    ]


def summarize(
    group: Sequence[policy_measures.Case],
    measured: dict[policy_measures.Case, policy_measures.Measures],
) -> Row:
    """Returns the row of one case over its seeds."""
    results = [measured[case] for case in group]
    first = group[0]
    goodputs = [result.goodput for result in results]
    flood_share = 1.0
    worst_flood_share = 1.0
    if first.situation == "flood":
        before = [measured[case._replace(situation="steady")] for case in group]
        flood_share = policy_measures.retained_share(results, before)
        worst_flood_share = min(
            policy_measures.retained_share([result], [undisturbed])
            for result, undisturbed in zip(results, before, strict=True)
        )
    offered = sum(result.offered for result in results)
    return Row(
        deployment=first.deployment.name,
        load=first.load,
        situation=first.situation,
        policy=first.policy,
        goodput=statistics.mean(goodputs),
        spread=statistics.pstdev(goodputs),
        wasted=statistics.mean(result.wasted for result in results),
        worst_share=min(
            policy_measures.worst_share(case, measured[case]) for case in group
        ),
        flood_share=flood_share,
        worst_flood_share=worst_flood_share,
        lost=sum(result.lost for result in results),
        refused=sum(result.refused for result in results) / offered,
    )


def gain(row: Row, rows: Sequence[Row]) -> float:
    """Returns a row's goodput divided by that of the better baseline."""
    baselines = [
        other.goodput
        for other in rows
        if other[:3] == row[:3] and other.policy != "scheduler"
    ]
    return row.goodput / max(baselines) if max(baselines) else float("inf")


def print_rows(rows: Sequence[Row]) -> None:
    """Prints the rows as a table."""
    print(
        "site    load situation policy      goodput  +-    gain wasted "
        "worst  kept (min) lost refused"
    )
    for row in rows:
        ratio = gain(row, rows) if row.policy == "scheduler" else 1.0
        print(
            f"{row.deployment:7} {row.load:4.1f} {row.situation:9} "
            f"{row.policy:11} {row.goodput:7.2f} {row.spread:5.2f} "
            f"{ratio:5.2f} {row.wasted:6.1%} {row.worst_share:5.2f} "
            f"{row.flood_share:5.2f} {row.worst_flood_share:5.2f} "
            f"{row.lost:4} {row.refused:6.1%}"
        )


def main() -> None:
    """Prints both tables; `--quick` runs fewer seeds for half the time."""
    quick = "--quick" in sys.argv[1:]
    for site in DEPLOYMENTS:
        rate = policy_workload.capacity(site)
        print(f"capacity of {site.name}: {rate:.2f} requests/s")
    print_rows(run(QUICK_SEEDS, 0.5) if quick else run())
    scheduler_cost.print_rows(scheduler_cost.run())


if __name__ == "__main__":
    main()
