"""Encodes answers as server-sent events, complete bodies and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import completions

if TYPE_CHECKING:
    from collections.abc import Iterable


class RefusalBody(TypedDict):
    """JSON body of a refusal or failure; `retry_after` is in seconds."""

    code: int
    name: str
    message: str
    execution: str
    request_id: str
    retry_after: float | None


class CompletionBody(TypedDict):
    """JSON body of an answer that is not streamed."""

    request_id: str
    text: str
    prompt_tokens: int
    output_tokens: int


def refusal_body(
    error: errors.ColtsfootarchError, request_id: str
) -> RefusalBody:
    """Returns the body that reports an error to a caller."""
    code = error.code
    return RefusalBody(
        code=code.number,
        name=code.name,
        message=error.message,
        execution=code.execution.value,
        request_id=request_id,
        retry_after=getattr(error, "retry_after", None),
    )


def encode_event(event: completions.AnswerEvent) -> bytes:
    """Returns an answer event as a server-sent event."""
    if isinstance(event, completions.Tokens):
        data = msgspec.json.encode({"text": event.text})
        return b"id: %d\ndata: %s\n\n" % (event.next_offset, data)
    if isinstance(event, completions.Started):
        return server_sent_event("start", event._asdict())
    if isinstance(event, completions.Restarted):
        return server_sent_event("restart", event._asdict())
    return server_sent_event("done", event._asdict())


def encode_failure(error: errors.ColtsfootarchError, request_id: str) -> bytes:
    """Returns the server-sent event that ends a failed stream."""
    return server_sent_event("error", dict(refusal_body(error, request_id)))


def server_sent_event(name: str, data: dict[str, object]) -> bytes:
    """Returns a named server-sent event with JSON data."""
    return b"event: %s\ndata: %s\n\n" % (
        name.encode(),
        msgspec.json.encode(data),
    )


def collect(
    events: Iterable[completions.AnswerEvent], request_id: str
) -> CompletionBody:
    """Returns the complete answer collected from a stream of events.

    Raises:
        RefusedError: The stream ended before the answer was complete.
    """
    parts: list[str] = []
    for event in events:
        if isinstance(event, completions.Tokens):
            parts.append(event.text)
        if isinstance(event, completions.Restarted):
            parts.clear()
        if isinstance(event, completions.Finished):
            return CompletionBody(
                request_id=request_id,
                text="".join(parts),
                prompt_tokens=event.prompt_tokens,
                output_tokens=event.output_tokens,
            )
    raise errors.RefusedError(results.UPSTREAM_FAILED)
