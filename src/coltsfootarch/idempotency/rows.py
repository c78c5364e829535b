"""Encoding of claims and outcomes as rows of the table service."""

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

# Size in bytes above which a body is stored in the object store.
MAX_ROW_BODY = 64 * 1024


class Outcome(NamedTuple):
    """An upstream's answer.

    Attributes:
        status: HTTP status code.
        headers: Header names and values.
        body: Complete body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimRow(NamedTuple):
    """Content of a row of the table `claims`.

    Attributes:
        state: `SENT` or `DONE`.
        body_digest: Digest of the request, to detect another one with the same
            key.
        host: Host that wrote the claim.
        incarnation: Incarnation of that host.
        attempt: Random id of the attempt.
        expires_at: Unix time in seconds from which the row may be deleted.
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
    """Returns the row key for a client account and its idempotency key.

    The row key is a hexadecimal digest, because a caller may send any text,
    which could be an invalid row key and must not be stored.

    Args:
        account: Client account.
        key: Idempotency key as the caller sent it.
    """
    account_and_key = msgspec.msgpack.encode((account, key))
    return hashlib.sha256(account_and_key).hexdigest()


def encode(row: ClaimRow) -> bytes:
    """Returns the row encoded as a table value."""
    return msgspec.msgpack.encode(row)


def decode(value: bytes) -> ClaimRow:
    """Returns the row decoded from a table value.

    Raises:
        msgspec.DecodeError: The value is not a claim.
    """
    return msgspec.msgpack.decode(value, type=ClaimRow)


def is_written_by(stored: platform_tables.Row, attempt: str) -> bool:
    """Returns whether the attempt with this id wrote the row."""
    return decode(stored.value).attempt == attempt
