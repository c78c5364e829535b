"""Tests that expired claims don't stay in the table service."""

from __future__ import annotations

import datetime

from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import rows
from coltsfootarch.idempotency import sweeper
from tests.fakes import objects

RUN_INTERVAL = sweeper.INTERVAL
DAY = datetime.timedelta(days=1)


def sweep_all_prefixes(claim_sweeper, manual_clock):
    for _ in range(sweeper.PREFIXES):
        manual_clock.advance(RUN_INTERVAL)
        claim_sweeper.tick()


def test_expired_claims_are_removed_and_others_stay(manual_clock, fake_tables):
    claim_store = claims.ClaimStore(
        fake_tables.client(),
        objects.FakeObjects(),
        manual_clock,
        "host",
        1,
        lambda host, incarnation: True,
    )
    claim_store.claim("acme", "old", "digest")
    manual_clock.advance(claims.RETENTION - DAY)
    claim_store.claim("acme", "new", "digest")
    manual_clock.advance(DAY)
    claim_sweeper = sweeper.ClaimSweeper(
        manual_clock, fake_tables.client(), lambda: True
    )

    sweep_all_prefixes(claim_sweeper, manual_clock)

    kept = [key for table, key in fake_tables.rows if table == rows.TABLE]
    assert kept == [rows.row_key("acme", "new")]


def test_host_without_the_home_shard_reads_nothing(manual_clock, fake_tables):
    claim_sweeper = sweeper.ClaimSweeper(
        manual_clock, fake_tables.client(), lambda: False
    )

    claim_sweeper.tick()

    assert fake_tables.reads == 0
