"""Guards against audit entries that are lost, out of order or unreadable."""

from __future__ import annotations

import datetime

from coltsfootarch.audit import trail


def test_entries_are_read_by_time_and_limit(manual_clock, fake_tables):
    client = fake_tables.client()
    audit = trail.AuditTrail(client, manual_clock)
    start = manual_clock.now()
    for number in range(40):
        entry = audit.build_entry("ana", "config.commit", "register", number)
        client.transact([], [audit.build_write(entry)])
        manual_clock.advance(datetime.timedelta(days=1))

    recent = audit.read(start + datetime.timedelta(days=30))

    assert [entry.version for entry in recent] == list(range(30, 40))
    assert [entry.version for entry in audit.read(start, 2)] == [38, 39]
    assert recent[0].at == "2026-01-31T00:00:00.000000+00:00"


def test_entries_of_one_instant_do_not_replace_each_other(
    manual_clock, fake_tables
):
    client = fake_tables.client()
    audit = trail.AuditTrail(client, manual_clock)
    entry = audit.build_entry("ana", "key.issue", "register", 1)
    client.transact([], [audit.build_write(entry), audit.build_write(entry)])

    assert audit.read(manual_clock.now()) == [entry, entry]
