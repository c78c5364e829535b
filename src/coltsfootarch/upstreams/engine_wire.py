"""JSON documents between host and engine; see `docs/upstream-protocol.md`."""

from __future__ import annotations

from typing import TypedDict
from typing import TypeVar

import msgspec

from coltsfootarch import errors

_Document = TypeVar("_Document")


class Identity(TypedDict):
    """What every event and every prefill answer repeats."""

    request_id: str
    attempt: int


class ExportedData(Identity):
    """Event `exported`: the KV cache waits for its import."""

    handle: str
    address: str
    prompt_tokens: int
    cached_tokens: int
    lifetime: float


class TokensData(Identity):
    """Event `tokens`: generated text from `offset` on."""

    offset: int
    text: str
    tokens: int
    finished: bool


class ErrorData(Identity):
    """Event `error`: the request ended; it holds no memory any more."""

    status: int
    error: str


class ErrorAnswer(TypedDict):
    """Body of an answer with a status of 400 or above."""

    error: str


class EntryData(Identity):
    """A request that holds memory."""

    owner: str
    kind: str
    idle: float


class EntriesAnswer(TypedDict):
    """Answer of `GET /v1/requests`."""

    requests: list[EntryData]


class LoadAnswer(TypedDict):
    """Answer of `GET /v1/load`."""

    running: int
    waiting: int
    free_pieces: int
    queued_prefill_tokens: int
    age: float


class CacheEventData(TypedDict):
    """One change of the prefix cache."""

    sequence: int
    stored: list[int]
    evicted: list[int]


class CacheEventsAnswer(TypedDict):
    """Answer of `GET /v1/cache-events`."""

    events: list[CacheEventData]


def decode(data: bytes, document_type: type[_Document]) -> _Document:
    """Returns the decoded document.

    Raises:
        UpstreamError: The document is not JSON or lacks a field.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except msgspec.DecodeError as error:
        raise errors.UpstreamError(
            "an answer of an engine does not decode; check its version"
        ) from error
