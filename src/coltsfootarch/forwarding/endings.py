"""How requests end: names of results, and refusals."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from coltsfootarch.forwarding import calls

if TYPE_CHECKING:
    from coltsfootarch import errors

# Lower bound of the `Retry-After` header, in seconds.
MIN_RETRY_AFTER_S = 0.05

# Results of requests that end without a result code.
ANSWERED = "answered"
# The response was closed within its body.
CUT = "cut"
# The connection was closed before a response.
UNANSWERED = "unanswered"
# The caller closed its connection first.
CALLER_LEFT = "caller-left"
# Writing to the caller failed.
CALLER_LOST = "caller-lost"


class Ending(NamedTuple):
    """How a request ended, as its last log line gives it.

    Attributes:
        result: Name of a result code, or one of the results above.
        reason: Why it ended so, if the result doesn't tell.
    """

    result: str
    reason: str = ""


def result_of(responder: calls.Responder) -> str:
    """Returns the result of a request by what was sent of its response."""
    if responder.finished:
        return ANSWERED
    return CUT if responder.started else UNANSWERED


def refuse(
    protocol: calls.CallerProtocol,
    request_id: str,
    responder: calls.Responder,
    error: errors.RefusedError,
) -> Ending:
    """Sends a refusal; aborts a response that has already started."""
    code = error.code
    if responder.started:
        ending = Ending(result_of(responder), code.name)
        responder.abort()
        return ending
    document = {
        "code": code.number,
        "name": code.name,
        "message": error.message,
        "execution": code.execution.value,
        "request_id": request_id,
    }
    fields = [
        ("Content-Type", "application/json"),
        *protocol.refusal_fields(request_id),
    ]
    if error.retry_after is not None:
        retry_after = max(error.retry_after, MIN_RETRY_AFTER_S)
        retry_after = math.ceil(retry_after * 1000) / 1000
        document["retry_after"] = retry_after
        fields.append(("Retry-After", f"{retry_after:.3f}"))
    try:
        responder.respond(
            code.http_status, tuple(fields), msgspec.json.encode(document)
        )
    except calls.CallerConnectionError as connection_error:
        return Ending(CALLER_LOST, f"{code.name}: {connection_error}")
    return Ending(code.name)
