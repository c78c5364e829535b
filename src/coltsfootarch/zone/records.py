"""Rows of the tables `hosts`, `shards` and `heads` and their encoding."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeVar

import msgspec

from coltsfootarch import errors

HOSTS = "hosts"
SHARDS = "shards"
HEADS = "heads"
CONFIG_HEAD = "config"
DIRECTORY_PREFIX = "directory/"

_RecordT = TypeVar("_RecordT")


class SessionRecord(NamedTuple):
    """Value of `hosts/<zone>/<host>`.

    Attributes:
        host: Name of the host.
        incarnation: Start of its process, in milliseconds of wall time.
        availability_zone: Availability zone of the host.
        address: Address ("ip:port") of its peer socket.
        config_version: Configuration version in force on it.
        renewals: Number of the renewal attempt that wrote the row.
        renewed_at: Time of this attempt, ISO 8601 in UTC; for information only.
    """

    host: str
    incarnation: int
    availability_zone: str
    address: str
    config_version: int
    renewals: int
    renewed_at: str


class ShardRecord(NamedTuple):
    """Value of `shards/<zone>/<number>`.

    Attributes:
        holder: Name of the holding host; empty if released.
        incarnation: Incarnation of that host; 0 if released.
        address: Address ("ip:port") of its peer socket; empty if released.
        epoch: Fencing token; grows with each claim and takeover.
    """

    holder: str
    incarnation: int
    address: str
    epoch: int


def session_key(availability_zone: str, host: str) -> str:
    """Returns the key of a host's session row."""
    return f"{availability_zone}/{host}"


def shard_key(availability_zone: str, shard: int) -> str:
    """Returns the key of a shard's row."""
    return f"{availability_zone}/{shard:04d}"


def shard_number(key: str) -> int:
    """Returns the shard number of a key made by `shard_key`."""
    return int(key.rpartition("/")[2])


def directory_key(availability_zone: str) -> str:
    """Returns the key of a zone's directory revision in `heads`."""
    return f"{DIRECTORY_PREFIX}{availability_zone}"


def encode(record: SessionRecord | ShardRecord) -> bytes:
    """Encodes a record as a MessagePack array."""
    return msgspec.msgpack.encode(record)


def decode_session(data: bytes) -> SessionRecord:
    """Decodes a session row.

    Raises:
        CodecError: The row does not decode.
    """
    return _decode(data, SessionRecord)


def decode_shard(data: bytes) -> ShardRecord:
    """Decodes a shard row.

    Raises:
        CodecError: The row does not decode.
    """
    return _decode(data, ShardRecord)


def _decode(data: bytes, kind: type[_RecordT]) -> _RecordT:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.CodecError(
            f"a stored {kind.__name__} does not decode"
        ) from error


def encode_head(number: int) -> bytes:
    """Encodes a version or revision as decimal text."""
    return str(number).encode()


def decode_head(data: bytes) -> int:
    """Decodes a version or revision.

    Raises:
        CodecError: It is not a decimal number.
    """
    try:
        return int(data)
    except ValueError as error:
        raise errors.CodecError("a head is not a decimal number") from error
