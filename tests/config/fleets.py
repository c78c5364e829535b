"""A fleet for tests: an operator and hosts that use one table service."""

from __future__ import annotations

import datetime

from coltsfootarch.config import repository
from coltsfootarch.config import tracker
from coltsfootarch.keys import key_format
from coltsfootarch.storage import tables
from coltsfootarch.zone import records
from tests.config import documents
from tests.fakes import tables as fake


class Fleet:
    """A fake table service with a committed register of one account.

    Args:
        clock: Clock of the operator and of all hosts.
        rules: TOML lines of the register's `[rules]`.
    """

    def __init__(self, clock, rules=""):
        self.clock = clock
        self.shared = fake.FakeTables()
        self.client = self.shared.client()
        self.repository = repository.ConfigRepository(self.client, clock)
        self.issued = key_format.issue("clinic")
        self.header = f"Bearer {self.issued.plaintext}"
        document = documents.small("first", [self.issued.key], rules)
        self.repository.commit(document, "ana", "start", 0)

    def operator(self):
        """Returns another operator's table client and repository."""
        client = self.shared.client()
        return client, repository.ConfigRepository(client, self.clock)

    def host(self, ask_peers=None):
        """Returns another host's table client and tracker, polled once."""
        client = self.shared.client()
        follower = tracker.ConfigTracker(self.clock, client, ask_peers)
        follower.tick()
        return client, follower

    def pass_time(self, seconds):
        """Advances the clock of the operator and of all hosts."""
        self.clock.advance(datetime.timedelta(seconds=seconds))

    def renew(self, zone, host, version):
        """Writes a host's session row, as the host does when it renews it."""
        record = records.SessionRecord(
            host, 1, zone, "127.0.0.1:1", version, 1, "2026-01-01T00:00:00Z"
        )
        row = self.client.get("hosts", f"{zone}/{host}")
        checks = [] if row is None else [tables.Check(*row[:2], row[3])]
        write = tables.Write("hosts", f"{zone}/{host}", records.encode(record))
        self.client.transact(checks, [write])
