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
def book(store, object_store, manual_clock):
    return claims.ClaimBook(
        store, object_store, manual_clock, "h1", 1, lambda host, number: True
    )


def refusal(book, key="k", digest="d"):
    with pytest.raises(errors.RefusedError) as caught:
        book.claim("acme", key, digest)
    return caught.value.code


def test_recorded_outcome_is_returned(book):
    claim = book.claim("acme", "k", "d")

    assert book.record(claim, ANSWER)
    assert book.claim("acme", "k", "d").outcome == ANSWER


def test_large_body_goes_to_the_object_store(book, object_store):
    large = ANSWER._replace(body=b"x" * (rows.MAX_ROW_BODY + 1))
    book.record(book.claim("acme", "k", "d"), large)

    assert book.claim("acme", "k", "d").outcome == large
    object_store.down = True
    assert refusal(book) == results.IN_PROGRESS


def test_large_body_is_stored_before_the_row(book, object_store):
    large = ANSWER._replace(body=b"x" * (rows.MAX_ROW_BODY + 1))
    object_store.down = True

    assert not book.record(book.claim("acme", "k", "d"), large)
    assert refusal(book) == results.IN_PROGRESS


def test_other_body_under_the_same_key_is_refused(book):
    book.record(book.claim("acme", "k", "d"), ANSWER)

    assert refusal(book, digest="other") == results.IDEMPOTENCY_KEY_REUSED


def test_row_keys_of_different_accounts_differ():
    assert rows.row_key("a", "bc") != rows.row_key("ab", "c")


def test_retry_waits_for_a_live_attempt(book, manual_clock):
    book.claim("acme", "k", "d")
    before = manual_clock.elapsed

    assert refusal(book) == results.IN_PROGRESS
    waited = manual_clock.elapsed - before
    assert waited == pytest.approx(claims.OUTCOME_WAIT.total_seconds())


def test_outcome_of_a_dead_hosts_attempt_is_unknown(book):
    book.claim("acme", "k", "d")
    book.is_live = lambda host, incarnation: False

    assert refusal(book) == results.OUTCOME_UNKNOWN


def test_unavailable_store_refuses_the_claim(book, store):
    store.cut = True

    assert refusal(book) == results.CLAIM_UNAVAILABLE


def test_claim_is_confirmed_after_a_lost_answer(book, store):
    store.lose_answers = 1

    assert isinstance(book.claim("acme", "k", "d"), claims.Claim)


def test_released_key_can_be_claimed_again(book):
    book.release(book.claim("acme", "k", "d"))

    assert isinstance(book.claim("acme", "k", "d"), claims.Claim)


def test_failed_release_is_retried_in_the_background(book, store, fake_tables):
    claim = book.claim("acme", "k", "d")
    store.cut = True
    book.release(claim)
    store.cut = False
    book.clock.advance(datetime.timedelta(seconds=2))
    book.tick()

    assert not fake_tables.rows


def test_outcome_is_recorded_when_the_store_recovers(book, store):
    claim = book.claim("acme", "k", "d")
    store.cut = True
    assert not book.record(claim, ANSWER)
    store.cut = False
    book.clock.advance(datetime.timedelta(seconds=2))
    book.tick()

    assert book.claim("acme", "k", "d").outcome == ANSWER
    assert not book.pending


def test_oldest_pending_outcome_is_dropped_above_the_limit(book, store):
    made_claims = [book.claim("acme", str(number), "d") for number in range(3)]
    store.cut = True
    half_of_limit = ANSWER._replace(
        body=b"x" * (outcomes.MAX_PENDING_BYTES // 2)
    )
    for claim in made_claims:
        book.record(claim, half_of_limit)

    assert len(book.pending) == 2


def test_sweep_deletes_expired_claims_only(book, store, manual_clock):
    book.claim("acme", "old", "d")
    manual_clock.advance(datetime.timedelta(days=6))
    book.claim("acme", "new", "d")
    manual_clock.advance(datetime.timedelta(days=2))

    assert retention.sweep(store, manual_clock.now()) == 1
    assert isinstance(book.claim("acme", "old", "d"), claims.Claim)
