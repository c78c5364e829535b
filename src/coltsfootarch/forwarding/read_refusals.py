"""Refusals of requests that can't be read."""

from __future__ import annotations

import msgspec

from coltsfootarch import results
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.http1 import readers


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
