"""Guards against unjustified refusals, starvation and excessive messages."""

from __future__ import annotations

import collections
import datetime

import pytest

from benchmarks import limits as benchmark
from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import messages
from tests.fakes import limits_fleet


@pytest.fixture
def fleet():
    made = limits_fleet.Fleet(rate=100.0, burst=400)
    made.register = limits_fleet.make_register(("a", "b"), 100.0, 400, 0.5)
    made.advance(20.0)
    return made


def refusal(fleet, host, tokens):
    with pytest.raises(errors.RefusedError) as caught:
        fleet.hosts[host].limiter.reserve("acme", tokens)
    return caught.value


def test_whole_burst_is_collected_from_all_zones(fleet):
    assert fleet.reserve("a2", 400) is not None


def test_request_above_burst_is_refused_at_once(fleet):
    before = fleet.clock.elapsed

    assert refusal(fleet, "a1", 401).code == results.REQUEST_ABOVE_BURST
    assert fleet.clock.elapsed == before


def test_refusal_states_when_a_retry_can_succeed(fleet):
    fleet.reserve("a1", 400)
    error = refusal(fleet, "a1", 150)

    assert error.code == results.RATE_EXCEEDED
    assert 0.5 < error.retry_after < 1.5
    fleet.clock.advance(datetime.timedelta(seconds=error.retry_after))
    assert fleet.reserve("a1", 150) is not None


def test_request_waits_for_refill(fleet):
    fleet.reserve("a1", 400)

    assert fleet.reserve("a1", 30) is not None


def test_unreachable_ledgers_are_reported_as_limit_unavailable(fleet):
    fleet.network.dead.update(fleet.hosts)

    assert refusal(fleet, "a2", 10).code == results.LIMIT_UNAVAILABLE


def test_partitioned_zone_serves_its_share_and_pauses_unreachable_peers(fleet):
    fleet.network.cut_between(["a1", "a2"], ["b1", "b2"])
    assert fleet.reserve("a2", 200) is not None
    assert refusal(fleet, "a2", 100).code == results.RATE_EXCEEDED
    sent = collections.Counter(item[1] for item in fleet.network.recent)

    assert sent["b1"] == 1


def test_unused_reserved_tokens_can_be_spent_again(fleet):
    admission = fleet.reserve("a2", 400)
    fleet.settle(admission, 100)
    fleet.settle(admission, 0)

    assert fleet.reserve("a2", 300) is not None
    assert fleet.excess() <= limits_fleet.ROUNDING


def test_tokens_of_an_idle_account_are_returned_to_the_ledger(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.advance(1.5)

    assert not fleet.hosts["a2"].limiter.accounts
    assert fleet.reserve("a1", 200) is not None


def test_close_returns_all_tokens(fleet):
    fleet.hold_tokens("a2", 400)
    fleet.hosts["a2"].limiter.close()

    assert fleet.reserve("b2", 400) is not None


def test_reports_to_one_home_shard_are_batched(fleet):
    reports = []
    fleet.network.drop = lambda source, target, message: reports.append(
        isinstance(message, messages.GrantReport) and target == "a1"
    )
    for _ in range(100):
        fleet.reserve("a2", 1)
        fleet.clock.advance(datetime.timedelta(milliseconds=10))
        fleet.hosts["a2"].limiter.tick()

    assert sum(reports) <= 4


def test_small_request_waits_behind_a_large_one(fleet):
    limiter = fleet.hosts["a1"].limiter
    fleet.hold_tokens("a1", 50)
    limiter.accounts["acme"].queue.append("a large request")

    assert refusal(fleet, "a1", 10).code == results.RATE_EXCEEDED


def test_paused_holder_grants_nothing_after_its_lease_expired(fleet):
    fleet.clock.advance(datetime.timedelta(seconds=6.1))
    request = messages.GrantRequest("acme", 0, 10, 10, [])
    reply = fleet.hosts["a1"].ledger_server.handle_request(None, request)

    assert not reply.home


def test_full_ledgers_are_removed(fleet):
    fleet.reserve("a1", 400)
    fleet.advance(20.0)

    assert not fleet.hosts["a1"].ledger_server.shards[0].by_account


@pytest.mark.parametrize("scenario", benchmark.SCENARIOS)
def test_simulated_fleet_stays_within_the_limit(scenario):
    trial = benchmark.Trial(scenario, equal_split=False, seed=7)
    trial.run()

    assert trial.row(7).excess <= limits_fleet.ROUNDING
