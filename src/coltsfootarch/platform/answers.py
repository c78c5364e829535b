"""Rows of the platform's metadata store, as its answers hold them."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from coltsfootarch.fleet import store_epochs

if TYPE_CHECKING:
    from coltsfootarch.http1 import transfers


class Row(NamedTuple):
    """A stored row.

    Attributes:
        key: Key within its table.
        value: Stored bytes; None if the row was removed.
        revision: Revision of the row's last change.
    """

    key: str
    value: bytes | None
    revision: int = 0


class Rows(NamedTuple):
    """Rows of one answer of the store.

    Attributes:
        rows: The rows, ordered by key or by change.
        revision: Newest revision of the store when it answered.
        sent_at: Monotonic instant at which the call was sent, in seconds.
        transfer: Size and duration of the answer.
        epoch: Epoch of the store when it answered.
    """

    rows: tuple[Row, ...]
    revision: int
    sent_at: float
    transfer: transfers.Transfer
    epoch: int = 0

    @property
    def position(self) -> store_epochs.Position:
        """Place in the store's history as of which the rows are current."""
        return store_epochs.Position(self.epoch, self.revision)


class StoredRow(NamedTuple):
    """Answer to the read of one row.

    Attributes:
        row: The row; None if there is none.
        now_ms: The store's clock, in milliseconds.
        epoch: Epoch of the store when it answered.
    """

    row: Row | None
    now_ms: int
    epoch: int


def decode_row(entry: dict[str, Any]) -> Row:
    """Returns a row of an answer; a value that isn't base64 becomes empty."""
    if entry.get("deleted"):
        return Row(entry["key"], None)
    revision = entry.get("ver", 0)
    try:
        value = base64.b64decode(entry["value"])
    except (binascii.Error, KeyError, TypeError, ValueError):
        # An empty value is not a valid document, so the reader of the row
        # reports it as invalid.
        value = b""
    return Row(entry["key"], value, revision)
