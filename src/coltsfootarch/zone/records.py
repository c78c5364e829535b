"""Rows that the zone's components keep in the table service."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

HOSTS_TABLE = "hosts"


class SessionRecord(NamedTuple):
    """Value of a host's session row, `hosts/<zone>/<host>`.

    Attributes:
        host: Name of the host.
        incarnation: Its process start in milliseconds of wall time.
        availability_zone: Its availability zone.
        address: Address ("ip:port") of its peer socket.
        config_version: Configuration version in force on the host.
        renewals: Number of renewals so far.
        renewed_at: Time of the last renewal, ISO 8601 in UTC.
    """

    host: str
    incarnation: int
    availability_zone: str
    address: str
    config_version: int
    renewals: int
    renewed_at: str


def session_key(availability_zone: str, host: str) -> str:
    """Returns the key of a host's session row in table `hosts`."""
    return f"{availability_zone}/{host}"


def encode_session(record: SessionRecord) -> bytes:
    """Returns the record as a MessagePack array."""
    return msgspec.msgpack.encode(record)


def decode_session(value: bytes) -> SessionRecord:
    """Returns the record of a session row.

    Raises:
        msgspec.DecodeError: The value is not a session record.
    """
    return msgspec.msgpack.decode(value, type=SessionRecord)
