"""Transactions of the platform's metadata store and their refusals."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec
import structlog

from coltsfootarch import errors
from coltsfootarch.platform import answers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


logger = structlog.get_logger(__name__)


class Outcome(NamedTuple):
    """Outcome of a transaction under a condition.

    Attributes:
        is_done: Whether it was done; otherwise a row had another revision than
            expected, and nothing was done.
        revision: Revision of the rows that were written.
        rows: The rows of the condition that exist, if it wasn't done.
    """

    is_done: bool
    revision: int = 0
    rows: tuple[answers.Row, ...] = ()


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


def decode_revision(body: bytes) -> int:
    """Returns the revision in the answer to a transaction; 0 without one."""
    try:
        return int(msgspec.json.decode(body)["ver"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        logger.warning(
            "the store's answer to a transaction has no revision",
            reason=str(error),
        )
        return 0


def decode_conflict(body: bytes) -> tuple[answers.Row, ...]:
    """Returns the rows that the answer to a refused transaction holds.

    Raises:
        errors.TableUnavailableError: It can't be decoded.
    """
    try:
        document = msgspec.json.decode(body)
        return tuple(map(answers.decode_row, document["rows"]))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise errors.TableUnavailableError(
            f"the store's answer to a conflict can't be decoded: {error!r}"
        ) from error
