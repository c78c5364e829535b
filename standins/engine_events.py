"""Error responses and server-sent events of the engine stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from standins import engine_memory
from standins import server

if TYPE_CHECKING:
    import bottle


def error_response(status: int, error: str) -> bottle.HTTPResponse:
    """Returns an HTTP response whose JSON body names an error."""
    return server.json_response(status, {"error": error})


def read_submission(body: dict[str, Any]) -> engine_memory.Submission:
    """Returns the request in the body of a prefill or decode call.

    Args:
        body: JSON body.

    Raises:
        bottle.HTTPResponse: A field is missing or `max_tokens` is below 1.
    """
    fields = engine_memory.Submission._fields
    if any(name not in body for name in fields) or body["max_tokens"] < 1:
        raise error_response(400, "invalid-request")
    return engine_memory.Submission(**{name: body[name] for name in fields})


def encode_event(event: str, data: dict[str, Any]) -> bytes:
    """Returns an encoded server-sent event.

    Args:
        event: Name of the event.
        data: Data, encoded as JSON.
    """
    return f"event: {event}\ndata: {json.dumps(data)}\n\n".encode()


def encode_tokens(
    identity: dict[str, Any], offset: int, texts: list[str], finished: bool
) -> bytes:
    """Returns the encoded event `tokens`.

    Args:
        identity: Request id and attempt.
        offset: Offset of the first token.
        texts: Text of each token.
        finished: Whether these are the last tokens of the output.
    """
    data = {
        **identity,
        "offset": offset,
        "text": "".join(texts),
        "tokens": len(texts),
        "finished": finished,
    }
    return encode_event("tokens", data)
