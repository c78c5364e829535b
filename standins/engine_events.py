"""Answers and server-sent events of the engine stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from standins import engine_memory
from standins import server

if TYPE_CHECKING:
    import bottle


def refusal(status: int, error: str) -> bottle.HTTPResponse:
    """Returns an answer with an error name."""
    return server.json_answer(status, {"error": error})


def read_submission(body: dict[str, Any]) -> engine_memory.Submission:
    """Returns the request of a prefill or decode.

    Args:
        body: JSON body.

    Raises:
        bottle.HTTPResponse: A field is missing or there is nothing to do.
    """
    fields = engine_memory.Submission._fields
    if any(name not in body for name in fields) or body["max_tokens"] < 1:
        raise refusal(400, "invalid-request")
    return engine_memory.Submission(**{name: body[name] for name in fields})


def encode_event(event: str, data: dict[str, Any]) -> bytes:
    """Returns a server-sent event."""
    return f"event: {event}\ndata: {json.dumps(data)}\n\n".encode()


def encode_tokens(
    identity: dict[str, Any], offset: int, texts: list[str], finished: bool
) -> bytes:
    """Returns the event `tokens`."""
    data = {
        **identity,
        "offset": offset,
        "text": "".join(texts),
        "tokens": len(texts),
        "finished": finished,
    }
    return encode_event("tokens", data)
