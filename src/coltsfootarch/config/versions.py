"""Encoding of committed configuration versions in the table service.

Row `config/v/<version>` holds a version. Rows `config/head` and
`heads/config` both hold the number of the newest one: operators check the
first when they commit, hosts poll the second.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import msgspec

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.zone import records

TABLE = "config"
HEAD_KEY = "head"
HEADS_TABLE = "heads"
HEADS_KEY = "config"


class StoredVersion(NamedTuple):
    """A committed version; value of the row `config/v/<version>`.

    Attributes:
        version: Number of the version, from 1.
        document: TOML text of the register.
        author: Who committed it.
        comment: Reason for the change.
        committed_at: Time of the commit, ISO 8601 in UTC.
        digest: SHA-256 of the document in hexadecimal.
        commit_id: Random id of the commit, by which a committer can tell
            whether the stored version is its own.
    """

    version: int
    document: str
    author: str
    comment: str
    committed_at: str
    digest: str
    commit_id: str


def version_key(version: int) -> str:
    """Returns the key of a version's row; keys are ordered by version."""
    return f"v/{version:010d}"


def digest_of(document: str) -> str:
    """Returns the SHA-256 of a document in hexadecimal."""
    return hashlib.sha256(document.encode()).hexdigest()


def encode_version(stored: StoredVersion) -> bytes:
    """Returns the version as a MessagePack array."""
    return msgspec.msgpack.encode(stored)


def decode_version(value: bytes) -> StoredVersion:
    """Returns a stored version.

    Raises:
        ConfigurationError: The row can't be decoded, or its document does not
            match its digest.
    """
    try:
        stored = msgspec.msgpack.decode(value, type=StoredVersion)
    except msgspec.DecodeError as error:
        raise errors.ConfigurationError(
            f"a stored configuration version can't be decoded: {error}"
        ) from None
    if digest_of(stored.document) != stored.digest:
        raise errors.ConfigurationError(
            f"the document of version {stored.version} does not match its "
            "digest; restore the row or commit a new version"
        )
    return stored


def encode_head(version: int) -> bytes:
    """Returns the value of `config/head` and of `heads/config`."""
    return records.encode_head(version)


def decode_head(value: bytes) -> int:
    """Returns the version number in a head row.

    Raises:
        ConfigurationError: The row does not hold a version number.
    """
    try:
        return records.decode_head(value)
    except errors.CodecError as error:
        raise errors.ConfigurationError(
            f"the configuration head can't be decoded: {error}"
        ) from None


class VersionConflictError(errors.ConfigurationError):
    """Another commit was first.

    Args:
        expected: Version that the edit was based on.
        winner: Version that was committed on top of it; None if `expected`
            was never committed.
        head: Number of the newest version.
    """

    default_code = results.VERSION_CONFLICT

    def __init__(
        self, expected: int, winner: StoredVersion | None, head: int
    ) -> None:
        self.expected = expected
        self.winner = winner
        self.head = head
        if winner is None:
            message = f"version {expected} does not exist; head is {head}"
        else:
            message = (
                f"version {winner.version} by {winner.author} was committed "
                f"first (head is version {head}); apply your edit to version "
                f"{head} and commit again"
            )
        super().__init__(message)
