"""Stored form of claims and outcomes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

if TYPE_CHECKING:
    from coltsfootarch.storage import tables as platform_tables

TABLE = "claims"

SENT = "sent"
DONE = "done"

# Larger bodies go to the object store.
MAX_ROW_BODY = 64 * 1024


class Outcome(NamedTuple):
    """An upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Header names and values.
        body: Whole body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRow(NamedTuple):
    """Content of a row of the table `claims`.

    Attributes:
        state: `SENT` or `DONE`.
        body_digest: Digest of the request body.
        host: Host that claimed.
        incarnation: Its incarnation.
        attempt: Random id of the attempt.
        expires_at: Wall time in seconds since 1970 from which a sweep may
            delete the row.
        outcome: Recorded answer, in state `DONE`.
        object_key: Key of the body in the object store; empty if the body is
            in the row.
    """

    state: str
    body_digest: str
    host: str
    incarnation: int
    attempt: str
    expires_at: float
    outcome: Outcome | None = None
    object_key: str = ""


def row_key(account: str, key: str) -> str:
    """Returns the row key of a caller's idempotency key.

    A digest is safe for any text that a caller sends, and keeps it out of
    the table service.

    Args:
        account: Client account.
        key: Idempotency key as the caller sent it.
    """
    named = msgspec.msgpack.encode((account, key))
    return hashlib.sha256(named).hexdigest()


def encode(row: ClaimRow) -> bytes:
    """Returns a row's value."""
    return msgspec.msgpack.encode(row)


def decode(value: bytes) -> ClaimRow:
    """Returns the content of a row's value.

    Raises:
        msgspec.DecodeError: The value is not a claim.
    """
    return msgspec.msgpack.decode(value, type=ClaimRow)


def is_written_by(stored: platform_tables.Row, attempt: str) -> bool:
    """Returns whether a row was written by an attempt."""
    return decode(stored.value).attempt == attempt
