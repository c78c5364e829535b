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
        table: Name of the table.
        key: Key within the table.
        value: Content.
        version: Positive number that increases with every write of the row,
            deletions included.
    """

    table: str
    key: str
    value: bytes
    version: int


class Check(NamedTuple):
    """Condition of a transaction: a row has a version; 0 for no such row."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """One write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: bytes | None


class TableService(Protocol):
    """Tables with transactions and linearizable reads."""

    def get(self, table: str, key: str) -> Row | None:
        """Returns the row with a key, or None if there is none.

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
            TransactionConflictError: A check does not hold; nothing was
                written.
            TableUnavailableError: Nothing was written.
            TableOutcomeUnknownError: The writes may have been applied.
        """
