"""Refusals of requests that can't be read."""

from __future__ import annotations

import http
from typing import TYPE_CHECKING

import msgspec

from coltsfootarch import results
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages

# `Retry-After` of a request that this host has no memory to read, in seconds.
# Another host may take it.
RETRY_AFTER_S = 0.2


def refusal_of(
    error: readers.MalformedMessageError,
) -> tuple[results.ResultCode, close_reasons.CloseReason]:
    """Returns how a request that can't be read is refused."""
    reasons = close_reasons.CloseReason
    if isinstance(error, readers.BodyTooLargeError):
        return results.BODY_TOO_LARGE, reasons.BODY_TOO_LARGE
    if isinstance(error, readers.HeaderTooLargeError):
        return results.HEADER_TOO_LARGE, reasons.HEADER_TOO_LARGE
    return results.MALFORMED_REQUEST, reasons.MALFORMED


def fields(code: results.ResultCode) -> messages.Fields:
    """Returns the header fields of the refusal."""
    content_type = ("Content-Type", "application/json")
    if code.http_status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return (content_type,)
    return (content_type, ("Retry-After", str(RETRY_AFTER_S)))


def body(code: results.ResultCode) -> bytes:
    """Returns the body of the refusal."""
    return msgspec.json.encode(
        {
            "code": code.number,
            "name": code.name,
            "message": code.summary,
            "execution": code.execution.value,
        }
    )
