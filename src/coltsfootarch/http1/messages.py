"""Heads of HTTP/1.1 messages."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

Fields = tuple[tuple[str, str], ...]

# RFC 9110, section 7.6.1.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Fields that describe one connection or the framing of one message.
CONNECTION_FIELDS = HOP_BY_HOP | {"content-length", "expect"}


def find(fields: Fields, name: str) -> str:
    """Returns the first value of a field, or an empty string.

    Args:
        fields: Header fields.
        name: Name in lower case.
    """
    for field, value in fields:
        if field.lower() == name:
            return value
    return ""


def connection_fields(fields: Fields) -> frozenset[str]:
    """Returns the names, in lower case, that must not be forwarded."""
    named = [
        token.strip().lower()
        for field, value in fields
        if field.lower() == "connection"
        for token in value.split(",")
    ]
    return CONNECTION_FIELDS.union(named)


class Request(NamedTuple):
    """A request that was read whole.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        fields: Header fields in order.
        body: Body without its framing.
        keep_alive: Whether the caller keeps the connection.
        received_at: Instant at which its first byte was read, in seconds.
    """

    method: str
    target: str
    fields: Fields
    body: bytes
    keep_alive: bool
    received_at: float


class ResponseHead(NamedTuple):
    """Status and header fields of a response.

    Attributes:
        status: Status code.
        fields: Header fields in order.
        keep_alive: Whether the connection may be used again.
        framed: Whether its end is marked by a length or by chunks.
    """

    status: int
    fields: Fields
    keep_alive: bool
    framed: bool


def render_head(first_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Returns the bytes of a message head with its empty line."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def status_line(status: int) -> str:
    """Returns the first line of a response."""
    try:
        reason = http.HTTPStatus(status).phrase
    except ValueError:
        reason = "Unknown"
    return f"HTTP/1.1 {status} {reason}"
