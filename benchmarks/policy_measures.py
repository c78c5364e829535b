"""Figures of one run of the policy benchmark."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import policy_workload

if TYPE_CHECKING:
    from collections.abc import Sequence

    from benchmarks import policy_hosts


class Case(NamedTuple):
    """One run."""

    deployment: policy_workload.Deployment
    load: float
    situation: str
    policy: str
    seed: int


class Measures(NamedTuple):
    """Figures of one run, over requests that arrived after the warm-up.

    Attributes:
        goodput: Requests per second under both latency targets.
        wasted: Share of prefill time whose result was never imported.
        lost: Requests accepted and never answered completely.
        refused: Requests refused as not run.
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
    hosts: policy_hosts.Hosts, begin: float, seconds: float
) -> Measures:
    """Returns the figures of a finished run."""
    counted = [
        outcome
        for outcome in hosts.outcomes
        if outcome.request.arrival >= begin
    ]
    accounts = dict.fromkeys(policy_workload.ACCOUNT_SHARES, 0.0)
    arrived = dict.fromkeys(policy_workload.ACCOUNT_SHARES, 0.0)
    for outcome in counted:
        arrived[outcome.request.account] += 1 / seconds
        if outcome.good():
            accounts[outcome.request.account] += 1 / seconds
    spent = sum(machine.spent for machine in hosts.prefills.values())
    used = sum(machine.used for machine in hosts.prefills.values())
    refused = sum(outcome.refused for outcome in counted)
    done = sum(bool(outcome.done_at) for outcome in counted)
    return Measures(
        goodput=sum(accounts.values()),
        wasted=1 - used / spent if spent else 0.0,
        lost=len(counted) - refused - done,
        refused=refused,
        offered=len(counted),
        accounts=accounts,
        arrived=arrived,
    )


def fair_rates(case: Case, measures: Measures) -> dict[str, float]:
    """Returns the max-min fair rate of each account, requests per second.

    An account may have what it sent, up to its weighted share of capacity plus
    what others leave over.
    """
    capacity = policy_workload.capacity(case.deployment)
    shares = policy_workload.ACCOUNT_SHARES
    offered = measures.arrived
    fair: dict[str, float] = {}
    left = capacity
    open_accounts = dict(shares)
    while open_accounts:
        unit = left / sum(open_accounts.values())
        satisfied = [
            name
            for name, share in open_accounts.items()
            if offered[name] <= unit * share
        ]
        for name in satisfied or list(open_accounts):
            fair[name] = min(offered[name], unit * open_accounts[name])
        for name in satisfied or list(open_accounts):
            left -= fair[name]
            del open_accounts[name]
    return fair


def worst_share(case: Case, measures: Measures) -> float:
    """Returns the worst account's goodput as a share of its fair rate."""
    fair = fair_rates(case, measures)
    return min(
        measures.accounts[name] / rate for name, rate in fair.items() if rate
    )


def kept_share(
    measures: Sequence[Measures], undisturbed: Sequence[Measures]
) -> float:
    """Returns the least share of its goodput that another account keeps.

    Both goodputs are sums over the given runs. The share is 0 if no other
    account had any goodput to keep.
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
