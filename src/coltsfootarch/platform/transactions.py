"""Transactions of the platform's metadata store and their refusals."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from coltsfootarch import errors
from coltsfootarch.platform import answers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class RowConflictError(errors.TransactionConflictError):
    """A row has another revision than a transaction expects.

    Args:
        body: Body of the answer.
    """

    def __init__(self, body: bytes) -> None:
        super().__init__("a row has another revision than expected")
        self.body = body


def changes(
    table: str, writes: Mapping[str, bytes], removed: Iterable[str]
) -> dict[str, Any]:
    """Returns a transaction that changes rows of a table unconditionally."""
    written = [
        {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
        }
        for key, value in writes.items()
    ]
    dropped = [{"table": table, "part": "", "key": key} for key in removed]
    return {"expected": [], "writes": written, "remove": dropped}


def decode_conflict(body: bytes) -> tuple[answers.Row, ...]:
    """Returns the rows that the answer to a refused transaction holds.

    Raises:
        errors.TableUnavailableError: It holds none, or can't be decoded.
    """
    try:
        document = msgspec.json.decode(body)
        rows = tuple(map(answers.decode_row, document["rows"]))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise errors.TableUnavailableError(
            f"the store's answer to a conflict can't be decoded: {error!r}"
        ) from error
    if not rows:
        raise errors.TableUnavailableError(
            "the store refused a transaction for rows that it doesn't have"
        )
    return rows
