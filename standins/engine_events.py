"""Answers and server-sent events of the engine stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from standins import server

if TYPE_CHECKING:
    import bottle


def refusal(status: int, error: str) -> bottle.HTTPResponse:
    """Returns an answer with an error name."""
    return server.json_answer(status, {"error": error})


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
