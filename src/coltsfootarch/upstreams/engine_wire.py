"""JSON documents of the engine protocol; see `docs/upstream-protocol.md`."""

from __future__ import annotations

from typing import TypedDict
from typing import TypeVar

import msgspec

from coltsfootarch import errors

_Document = TypeVar("_Document")


class Identity(TypedDict):
    """Request id and attempt, which every event of an engine repeats."""

    request_id: str
    attempt: int


class ExportedData(Identity):
    """Event `exported`: the KV cache can be imported."""

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
    """Event `error`: the request has ended and holds no memory."""

    status: int
    error: str


class ErrorAnswer(TypedDict):
    """Body of a response with a status of 400 or above."""

    error: str


class EntryData(Identity):
    """A request that holds engine memory."""

    owner: str
    kind: str
    idle: float


class EntriesAnswer(TypedDict):
    """Response of `GET /v1/requests`."""

    requests: list[EntryData]


class LoadAnswer(TypedDict):
    """Response of `GET /v1/load`."""

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
    """Response of `GET /v1/cache-events`."""

    events: list[CacheEventData]


def decode(data: bytes, document_type: type[_Document]) -> _Document:
    """Returns a document decoded from JSON as `document_type`.

    Raises:
        UpstreamError: The data is not JSON, or a field is missing or has the
            wrong type.
    """
    try:
        return msgspec.json.decode(data, type=document_type)
    except msgspec.DecodeError as error:
        raise errors.UpstreamError(
            "an engine's document can't be decoded; check the engine's version"
        ) from error
