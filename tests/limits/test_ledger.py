"""Guards against ledgers that grant more than the share of the burst."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies

from coltsfootarch.limits import fill_maxima
from coltsfootarch.limits import ledger as ledgers
from coltsfootarch.limits import share_history
from coltsfootarch.limits import shares
from coltsfootarch.protocol import messages
from tests.fakes import limits_fleet

SHARE = shares.Share(10.0, 100)


def usage(spent, returned=0, refunded=0):
    return messages.GrantUsage("g", spent, returned, refunded)


def ledger_with_grant(tokens=60, minimum=60):
    ledger = ledgers.Ledger(SHARE, 100.0, 0.0)
    ledger.advance(SHARE, 0.0)
    ledger.grant("g", minimum, tokens, 1, 5.0, 0.0)
    return ledger


def test_refill_stops_while_grants_are_outstanding():
    ledger = ledger_with_grant()
    ledger.advance(SHARE, 4.0)

    assert ledger.level + ledger.outstanding == 100


def test_tokens_beyond_the_minimum_are_limited_per_live_host():
    ledger = ledgers.Ledger(SHARE, 100.0, 0.0)

    assert ledger.grant("g", 20, 500, 4, 5.0, 0.0).tokens == 30


def test_partial_grant_returns_the_time_until_the_missing_tokens_refill():
    ledger = ledgers.Ledger(SHARE, 20.0, 0.0)

    assert ledger.grant("g", 50, 50, 1, 5.0, 0.0) == ledgers.GrantResult(
        20, 3.0
    )


def test_tokens_of_an_expired_grant_are_lost_and_refill_resumes():
    ledger = ledger_with_grant()
    ledger.advance(SHARE, 5.2)
    ledger.advance(SHARE, 6.2)

    assert ledger.outstanding == 0
    assert ledger.level == pytest.approx(50.0)


def test_returned_tokens_are_available_at_once():
    ledger = ledger_with_grant()
    ledger.report(usage(10, returned=50), 0.1)

    assert (ledger.level, ledger.outstanding) == (90.0, 0)


def test_refund_is_credited_once():
    ledger = ledger_with_grant()
    for _ in range(2):
        ledger.report(usage(60, refunded=30), 0.1)

    assert ledger.level == 70.0


def test_full_ledger_without_grants_is_idle():
    ledger = ledger_with_grant()
    assert not ledger.is_idle()
    ledger.report(usage(0, returned=60), 0.1)

    assert ledger.is_idle()


def test_restored_ledger_counts_on_from_the_exported_totals():
    ledger = ledger_with_grant()
    ledger.report(usage(40), 0.1)
    restored = ledgers.restore(ledger.export("acme", 0.2), SHARE, 0.2)
    restored.report(usage(50), 0.3)

    assert restored.outstanding == 10


@given(
    fills=strategies.lists(strategies.integers(0, 100), min_size=1),
    since=strategies.integers(0, 40),
)
def test_fill_maxima_never_understate_the_highest_fill(fills, since):
    observed = fill_maxima.FillMaxima()
    for fill in fills:
        observed.observe(fill)

    later = fills[since:]
    assert observed.highest_since(since) >= max(later, default=0)
    assert len(observed.entries) <= fill_maxima.FillMaxima.MAX_ENTRIES


def test_shares_add_up_to_rate_and_burst():
    register = limits_fleet.make_register(("a", "b", "c"), 100.0, 1000)
    parts = [shares.share_of(register, "acme", zone) for zone in "abc"]

    assert sum(part.burst for part in parts) == 1000
    assert sum(part.rate for part in parts) == pytest.approx(100.0)
    assert shares.share_of(register, "other", "a") is None


def test_raising_the_burst_twice_does_not_refill_an_unused_ledger_twice():
    small = limits_fleet.make_register(("a",), 10.0, 100)
    large = limits_fleet.make_register(("a",), 10.0, 1000)
    history = share_history.ShareHistory("a")
    for now, register in ((0, small), (100, large), (101, small), (102, large)):
        history.update(register, float(now))
    share = shares.Share(10.0, 1000)

    assert history.unused_level("acme", share, 0.0, 102.0) == 100.0
