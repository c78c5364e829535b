"""Guards against a scheduling policy that misses its targets.

The targets at capacity are a goodput of at least 1.5 times that of the better
baseline, under 2% of wasted prefill and no lost summaries.
"""

from __future__ import annotations

import pytest

from benchmarks import policy
from benchmarks import policy_measures
from benchmarks import policy_workload


@pytest.mark.parametrize("site", policy.DEPLOYMENTS, ids=lambda site: site.name)
def test_scheduler_meets_its_targets_at_capacity(site):
    goodput = {}
    for name in policy.POLICIES:
        case = policy_measures.Case(site, 1.0, "steady", name, seed=1)
        result = policy.simulate(case, scale=1.0)
        goodput[name] = result.goodput
        if name == "scheduler":
            assert result.wasted < 0.02
            assert result.lost == 0
    baseline = max(goodput["round-robin"], goodput["least-load"])

    assert goodput["scheduler"] >= 1.5 * baseline


def test_flooding_account_leaves_requests_of_others_unchanged():
    quiet, flooded = (
        policy_workload.requests(
            policy_workload.PRAIRIE, 10.0, 30.0, 0.0, 1, flood
        )
        for flood in (False, True)
    )
    flooding = policy_workload.FLOODING_ACCOUNT

    assert [entry for entry in quiet if entry.account != flooding] == [
        entry for entry in flooded if entry.account != flooding
    ]
    assert len(flooded) > 2 * len(quiet)
