"""Guards against claims that stay in the table service for ever."""

from __future__ import annotations

import datetime

from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import rows
from coltsfootarch.idempotency import sweeper
from tests.fakes import objects

STEP = sweeper.INTERVAL
DAY = datetime.timedelta(days=1)


def sweep_all(swept, manual_clock):
    for _ in range(sweeper.PREFIXES):
        manual_clock.advance(STEP)
        swept.tick()


def test_expired_claims_are_removed_and_others_stay(manual_clock, fake_tables):
    book = claims.ClaimBook(
        fake_tables.client(),
        objects.FakeObjects(),
        manual_clock,
        "host",
        1,
        lambda host, incarnation: True,
    )
    book.claim("acme", "old", "digest")
    manual_clock.advance(claims.RETENTION - DAY)
    book.claim("acme", "new", "digest")
    manual_clock.advance(DAY)
    swept = sweeper.ClaimSweeper(
        manual_clock, fake_tables.client(), lambda: True
    )

    sweep_all(swept, manual_clock)

    kept = [key for table, key in fake_tables.rows if table == rows.TABLE]
    assert kept == [rows.row_key("acme", "new")]


def test_host_that_is_not_home_reads_nothing(manual_clock, fake_tables):
    swept = sweeper.ClaimSweeper(
        manual_clock, fake_tables.client(), lambda: False
    )

    swept.tick()

    assert fake_tables.reads == 0
