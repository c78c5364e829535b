"""Results of one run of the policy benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import policy_workload

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks import policy_hosts


class Case(NamedTuple):
    """Parameters of one run.

    Attributes:
        deployment: Site.
        load: Offered load as a share of capacity.
        situation: Entry of `policy.SITUATIONS`.
        policy: Entry of `policy.POLICIES`.
        seed: Seed of the arrivals.
    """

    deployment: policy_workload.Deployment
    load: float
    situation: str
    policy: str
    seed: int


class Measures(NamedTuple):
    """Results of one run, for requests that arrived after the warm-up.

    Attributes:
        goodput: Requests per second that met both latency targets.
        wasted: Share of prefill time whose result was never imported.
        lost: Requests accepted and never answered completely.
        refused: Requests refused without execution.
        offered: Requests that arrived.
        accounts: Goodput by account.
        arrived: Requests per second that arrived, by account.
    """

    goodput: float
    wasted: float
    lost: int
    refused: int
    offered: int
    accounts: dict[str, float]
    arrived: dict[str, float]


def measure(
    hosts: policy_hosts.Hosts, start: float, seconds: float
) -> Measures:
    """Returns the results of a finished run.

    Args:
        hosts: Entry hosts after the run.
        start: Instant of the end of the warm-up.
        seconds: Length of the measured part of the run.
    """
    counted = [
        outcome
        for outcome in hosts.outcomes
        if outcome.request.arrival >= start
    ]
    accounts = dict.fromkeys(policy_workload.ACCOUNT_SHARES, 0.0)
    arrived = dict.fromkeys(policy_workload.ACCOUNT_SHARES, 0.0)
    for outcome in counted:
        arrived[outcome.request.account] += 1 / seconds
        if outcome.meets_targets():
            accounts[outcome.request.account] += 1 / seconds
    spent_seconds = sum(
        simulated_engine.spent_seconds
        for simulated_engine in hosts.prefills.values()
    )
    imported_seconds = sum(
        simulated_engine.imported_seconds
        for simulated_engine in hosts.prefills.values()
    )
    refused = sum(outcome.refused for outcome in counted)
    done = sum(bool(outcome.done_at) for outcome in counted)
    return Measures(
        goodput=sum(accounts.values()),
        wasted=1 - imported_seconds / spent_seconds if spent_seconds else 0.0,
        lost=len(counted) - refused - done,
        refused=refused,
        offered=len(counted),
        accounts=accounts,
        arrived=arrived,
    )


def fair_rates(case: Case, measures: Measures) -> dict[str, float]:
    """Returns the max-min fair rate of each account in requests per second.

    An account gets the rate that it sent, up to its weighted share of the
    capacity plus the capacity that other accounts leave unused.
    """
    capacity = policy_workload.capacity(case.deployment)
    shares = policy_workload.ACCOUNT_SHARES
    offered = measures.arrived
    fair: dict[str, float] = {}
    remaining_capacity = capacity
    remaining_accounts = dict(shares)
    while remaining_accounts:
        unit = remaining_capacity / sum(remaining_accounts.values())
        satisfied = [
            name
            for name, share in remaining_accounts.items()
            if offered[name] <= unit * share
        ]
        for name in satisfied or list(remaining_accounts):
            fair[name] = min(offered[name], unit * remaining_accounts[name])
        for name in satisfied or list(remaining_accounts):
            remaining_capacity -= fair[name]
            del remaining_accounts[name]
    return fair


def worst_share(case: Case, measures: Measures) -> float:
    """Returns the goodput over the fair rate, minimum over the accounts."""
    fair = fair_rates(case, measures)
    return min(
        measures.accounts[name] / rate for name, rate in fair.items() if rate
    )


def retained_share(
    measures: Sequence[Measures], undisturbed: Sequence[Measures]
) -> float:
    """Returns the share of goodput that accounts keep during a flood.

    The result is the minimum over the accounts other than the flooding one, or
    0 if none of them had any goodput without the flood.

    Args:
        measures: Runs with the flood; their goodputs are summed.
        undisturbed: Runs without it; their goodputs are summed.
    """
    shares = []
    for name in policy_workload.ACCOUNT_SHARES:
        if name == policy_workload.FLOODING_ACCOUNT:
            continue
        before = sum(result.accounts[name] for result in undisturbed)
        after = sum(result.accounts[name] for result in measures)
        if before:
            shares.append(after / before)
    return min(shares, default=0.0)
