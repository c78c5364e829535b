"""Validates headers and body of incoming HTTP requests."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Any

import gevent

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import body_input

if TYPE_CHECKING:
    from collections.abc import Mapping

    from coltsfootarch.http1 import request_memory

BODY_TIMEOUT = datetime.timedelta(seconds=30)
MAX_HEADER_CHARACTERS = 4096
# `Retry-After` of a request that there is no memory for, in seconds.
MEMORY_RETRY_AFTER_S = 1.0
# WSGI key of the holding that counts the memory of a request.
REQUEST_MEMORY = "coltsfootarch.request_memory"
# WSGI key that the server sets on requests with ambiguous headers.
AMBIGUOUS_HEADERS = "coltsfootarch.ambiguous_headers"
# Headers that determine the caller, the body or the target of a request. A WSGI
# server joins repeated headers with a comma, so a comma means a repetition.
SINGLE_VALUE_HEADERS = (
    "HTTP_AUTHORIZATION",
    "HTTP_HOST",
    "HTTP_IDEMPOTENCY_KEY",
    "HTTP_RESUME_TOKEN",
    "HTTP_LAST_EVENT_ID",
    "CONTENT_LENGTH",
)
# The only headers of a caller that are forwarded to an upstream.
FORWARDED_HEADERS = {
    "CONTENT_TYPE": "Content-Type",
    "HTTP_ACCEPT": "Accept",
    "HTTP_ACCEPT_LANGUAGE": "Accept-Language",
    "HTTP_IF_MATCH": "If-Match",
    "HTTP_IF_NONE_MATCH": "If-None-Match",
    "HTTP_TRACEPARENT": "Traceparent",
}


def check_headers(environ: Mapping[str, Any]) -> None:
    """Refuses headers that servers could interpret in different ways.

    Raises:
        RefusedError: A header is repeated, too long or ambiguous.
    """
    if environ.get(AMBIGUOUS_HEADERS):
        raise errors.RefusedError(
            results.FORBIDDEN_HEADER,
            "Send well-formed headers with one Content-Length, or "
            "Transfer-Encoding: chunked.",
        )
    for name in SINGLE_VALUE_HEADERS:
        value = environ.get(name, "")
        if "," in value or len(value) > MAX_HEADER_CHARACTERS:
            raise errors.RefusedError(results.FORBIDDEN_HEADER)
    length = environ.get("CONTENT_LENGTH", "")
    if length and not length.isdecimal():
        raise errors.RefusedError(results.FORBIDDEN_HEADER)
    if length and environ.get("HTTP_TRANSFER_ENCODING"):
        raise errors.RefusedError(
            results.FORBIDDEN_HEADER,
            "Send either Content-Length or Transfer-Encoding.",
        )


def read_body(environ: Mapping[str, Any], limit: int) -> bytes:
    """Returns a request's body.

    Args:
        environ: WSGI environment.
        limit: Maximum size in bytes.

    Raises:
        RefusedError: The body is too large, malformed or not received within
            `BODY_TIMEOUT`, or the memory for requests is full.
    """
    if int(environ.get("CONTENT_LENGTH") or 0) > limit:
        raise errors.RefusedError(results.BODY_TOO_LARGE)
    timeout = gevent.Timeout(BODY_TIMEOUT.total_seconds())
    with timeout:
        try:
            body = read_pieces(environ, limit + 1)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            raise errors.RefusedError(
                results.CLIENT_TOO_SLOW,
                "The body was not received in time; nothing was run.",
            ) from None
        except TimeoutError:
            raise errors.RefusedError(results.CLIENT_TOO_SLOW) from None
        except OSError:
            raise errors.RefusedError(
                results.INVALID_FIELD, "The body is incomplete or malformed."
            ) from None
    if len(body) > limit:
        raise errors.RefusedError(results.BODY_TOO_LARGE)
    return body


def read_pieces(environ: Mapping[str, Any], most: int) -> bytes:
    """Returns up to `most` bytes of a body.

    Raises:
        RefusedError: The memory for requests is full.
        OSError: The body is malformed or incomplete.
    """
    holding: request_memory.Holding | None = environ.get(REQUEST_MEMORY)
    head_bytes = holding.size if holding is not None else 0
    body = bytearray()
    known = -1
    while known < len(body) < most:
        known = len(body)
        size = min(body_input.PIECE_BYTES, most - known)
        body += environ["wsgi.input"].read(size)
        if holding is not None and not holding.take(head_bytes + len(body)):
            raise errors.RefusedError(
                results.OVERLOADED,
                "The host has no memory for the body; nothing was run.",
                MEMORY_RETRY_AFTER_S,
            )
    return bytes(body)


def upstream_headers(
    environ: Mapping[str, Any], account: str, request_id: str
) -> tuple[tuple[str, str], ...]:
    """Returns the header fields to send to an upstream.

    Only the listed headers of the caller are forwarded, which never include
    its key. The client account and the request id are set here.
    """
    forwarded = [
        (header, environ[name])
        for name, header in FORWARDED_HEADERS.items()
        if environ.get(name)
    ]
    forwarded.append(("X-Request-Id", request_id))
    if account:
        forwarded.append(("X-Client-Account", account))
    return tuple(forwarded)
