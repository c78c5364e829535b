"""Tests that claims are never lost, confused with others or kept forever."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import outcomes
from coltsfootarch.idempotency import retention
from coltsfootarch.idempotency import rows
from tests.fakes import objects

ANSWER = rows.Outcome(201, [("Content-Type", "text/plain")], b"booked")


@pytest.fixture
def store(fake_tables):
    return fake_tables.client()


@pytest.fixture
def object_store():
    return objects.FakeObjects()


@pytest.fixture
def claim_store(store, object_store, manual_clock):
    return claims.ClaimStore(
        store, object_store, manual_clock, "h1", 1, lambda host, number: True
    )


def refusal(claim_store, key="k", digest="d"):
    with pytest.raises(errors.RefusedError) as caught:
        claim_store.claim("acme", key, digest)
    return caught.value.code


def test_recorded_outcome_is_returned(claim_store):
    claim = claim_store.claim("acme", "k", "d")

    assert claim_store.record(claim, ANSWER)
    assert claim_store.claim("acme", "k", "d").outcome == ANSWER


def test_large_body_goes_to_the_object_store(claim_store, object_store):
    large = ANSWER._replace(body=b"x" * (rows.MAX_ROW_BODY + 1))
    claim_store.record(claim_store.claim("acme", "k", "d"), large)

    assert claim_store.claim("acme", "k", "d").outcome == large
    object_store.down = True
    assert refusal(claim_store) == results.IN_PROGRESS


def test_large_body_is_stored_before_the_row(claim_store, object_store):
    large = ANSWER._replace(body=b"x" * (rows.MAX_ROW_BODY + 1))
    object_store.down = True

    assert not claim_store.record(claim_store.claim("acme", "k", "d"), large)
    assert refusal(claim_store) == results.IN_PROGRESS


def test_other_body_under_the_same_key_is_refused(claim_store):
    claim_store.record(claim_store.claim("acme", "k", "d"), ANSWER)

    assert (
        refusal(claim_store, digest="other") == results.IDEMPOTENCY_KEY_REUSED
    )


def test_row_keys_of_different_accounts_differ():
    assert rows.row_key("a", "bc") != rows.row_key("ab", "c")


def test_retry_waits_for_a_live_attempt(claim_store, manual_clock):
    claim_store.claim("acme", "k", "d")
    before = manual_clock.elapsed

    assert refusal(claim_store) == results.IN_PROGRESS
    waited = manual_clock.elapsed - before
    assert waited == pytest.approx(claims.OUTCOME_WAIT.total_seconds())


def test_outcome_of_a_dead_hosts_attempt_is_unknown(claim_store):
    claim_store.claim("acme", "k", "d")
    claim_store.is_live = lambda host, incarnation: False

    assert refusal(claim_store) == results.OUTCOME_UNKNOWN


def test_unavailable_store_refuses_the_claim(claim_store, store):
    store.cut = True

    assert refusal(claim_store) == results.CLAIM_UNAVAILABLE


def test_claim_is_confirmed_after_a_lost_answer(claim_store, store):
    store.lose_answers = 1

    assert isinstance(claim_store.claim("acme", "k", "d"), claims.Claim)


def test_released_key_can_be_claimed_again(claim_store):
    claim_store.release(claim_store.claim("acme", "k", "d"))

    assert isinstance(claim_store.claim("acme", "k", "d"), claims.Claim)


def test_failed_release_is_retried_in_the_background(
    claim_store, store, fake_tables
):
    claim = claim_store.claim("acme", "k", "d")
    store.cut = True
    claim_store.release(claim)
    store.cut = False
    claim_store.clock.advance(datetime.timedelta(seconds=2))
    claim_store.tick()

    assert not fake_tables.rows


def test_outcome_is_recorded_when_the_store_recovers(claim_store, store):
    claim = claim_store.claim("acme", "k", "d")
    store.cut = True
    assert not claim_store.record(claim, ANSWER)
    store.cut = False
    claim_store.clock.advance(datetime.timedelta(seconds=2))
    claim_store.tick()

    assert claim_store.claim("acme", "k", "d").outcome == ANSWER
    assert not claim_store.pending


def test_oldest_pending_outcome_is_dropped_above_the_limit(claim_store, store):
    made_claims = [
        claim_store.claim("acme", str(number), "d") for number in range(3)
    ]
    store.cut = True
    half_of_limit = ANSWER._replace(
        body=b"x" * (outcomes.MAX_PENDING_BYTES // 2)
    )
    for claim in made_claims:
        claim_store.record(claim, half_of_limit)

    assert len(claim_store.pending) == 2


def test_sweep_deletes_expired_claims_only(claim_store, store, manual_clock):
    claim_store.claim("acme", "old", "d")
    manual_clock.advance(datetime.timedelta(days=6))
    claim_store.claim("acme", "new", "d")
    manual_clock.advance(datetime.timedelta(days=2))

    assert retention.sweep(store, manual_clock.now()) == 1
    assert isinstance(claim_store.claim("acme", "old", "d"), claims.Claim)
