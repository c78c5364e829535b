"""Interface of the platform's transactional table service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Row(NamedTuple):
    """A stored row.

    Attributes:
        table: Table name.
        key: Key within the table.
        value: Content in bytes.
        version: Positive number that grows with every write of the row,
            deletions included.
    """

    table: str
    key: str
    value: bytes
    version: int


class Check(NamedTuple):
    """Condition of a transaction: the row's version, 0 for no such row."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """One write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: bytes | None


class TableService(Protocol):
    """Transactional tables with linearizable reads."""

    def get(self, table: str, key: str) -> Row | None:
        """Returns the row, or None where there is none.

        Raises:
            TableUnavailableError: The service did not answer.
        """

    def scan(self, table: str, prefix: str) -> list[Row]:
        """Returns the rows whose keys start with `prefix`, ordered by key.

        Raises:
            TableUnavailableError: The service did not answer.
        """

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> list[Row]:
        """Applies all writes if all checks hold, otherwise nothing.

        Returns:
            The rows written, with their new versions; deleted rows are left
            out.

        Raises:
            TransactionConflictError: A check failed; nothing was written.
            TableUnavailableError: Nothing was written.
            TableOutcomeUnknownError: The writes may have been applied.
        """
