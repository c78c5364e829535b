"""In-memory table service with fault injection."""

from __future__ import annotations

from coltsfootarch import errors
from coltsfootarch.storage import tables


class FakeTables:
    """Tables that several `FakeTableClient` share; `down` fails all calls."""

    def __init__(self):
        self.rows = {}
        self.last_version = 0
        self.down = False
        self.writes = 0
        self.reads = 0

    def client(self):
        return FakeTableClient(self)

    def apply(self, checks, writes):
        for check in checks:
            row = self.rows.get((check.table, check.key))
            if (row.version if row else 0) != check.version:
                raise errors.TransactionConflictError(
                    f"{check.table}/{check.key} has changed"
                )
        written = []
        self.writes += 1
        for write in writes:
            if write.value is None:
                self.rows.pop((write.table, write.key), None)
                continue
            self.last_version += 1
            row = tables.Row(
                write.table, write.key, write.value, self.last_version
            )
            self.rows[(write.table, write.key)] = row
            written.append(row)
        return written


class FakeTableClient:
    """Table service client of one host.

    Attributes:
        cut: Whether every call fails without taking effect.
        lose_answers: Number of next transactions that are applied, but whose
            answer is lost.
        before_transact: Called with the checks and writes before each
            transaction.
    """

    def __init__(self, shared):
        self.shared = shared
        self.cut = False
        self.lose_answers = 0
        self.before_transact = None

    def check_reachable(self):
        if self.cut or self.shared.down:
            raise errors.TableUnavailableError(
                "the table service is unreachable"
            )

    def get(self, table, key):
        self.check_reachable()
        self.shared.reads += 1
        return self.shared.rows.get((table, key))

    def scan(self, table, prefix):
        self.check_reachable()
        self.shared.reads += 1
        return [
            row
            for (name, key), row in sorted(self.shared.rows.items())
            if name == table and key.startswith(prefix)
        ]

    def transact(self, checks, writes):
        if self.before_transact is not None:
            self.before_transact(checks, writes)
        self.check_reachable()
        written = self.shared.apply(checks, writes)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.TableOutcomeUnknownError("the answer was lost")
        return written
