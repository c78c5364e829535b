"""Requests, response heads and header fields of HTTP/1.1."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

Fields = tuple[tuple[str, str], ...]

# Header fields of one connection; RFC 9110, section 7.6.1.
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
# Header fields that apply to one connection or to the framing of one message.
UNFORWARDED_FIELDS = HOP_BY_HOP | {"content-length", "expect"}


def field_value(fields: Fields, name: str) -> str:
    """Returns the first value of a header field, or an empty string.

    Args:
        fields: Header fields of a message.
        name: Name of the field in lower case.
    """
    for field, value in fields:
        if field.lower() == name:
            return value
    return ""


def unforwarded_fields(fields: Fields) -> frozenset[str]:
    """Returns the lower-case names of fields that must not be forwarded.

    These are `UNFORWARDED_FIELDS` and the fields that `Connection` lists.
    """
    named = [
        token.strip().lower()
        for field, value in fields
        if field.lower() == "connection"
        for token in value.split(",")
    ]
    return UNFORWARDED_FIELDS.union(named)


class Request(NamedTuple):
    """A completely received request.

    Attributes:
        method: Method as received.
        target: Path and query string as received.
        fields: Header fields in order.
        body: Decoded body, without chunk framing.
        keep_alive: Whether the client keeps the connection open.
        received_at: Clock time in seconds at which its first byte was read.
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
        keep_alive: Whether the connection may be reused afterwards.
        framed: Whether a length or chunked coding marks the end of the
            response; otherwise it ends when the connection closes.
    """

    status: int
    fields: Fields
    keep_alive: bool
    framed: bool


def render_head(first_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Returns an encoded message head, including its empty line.

    Args:
        first_line: Request line or status line.
        fields: Header fields as (name, value).
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in fields]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def status_line(status: int) -> str:
    """Returns the status line of a response."""
    try:
        reason = http.HTTPStatus(status).phrase
    except ValueError:
        reason = "Unknown"
    return f"HTTP/1.1 {status} {reason}"
