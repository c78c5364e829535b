"""Completion requests of callers and the events of their answers."""

from __future__ import annotations

import contextlib
import hashlib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeAlias

import msgspec
import xxhash

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Iterator

# English and Spanish prose averages about four bytes a token.
BYTES_PER_TOKEN = 4
CHUNK_TOKENS = 256
MAX_PREFIX_CHUNKS = 128
MAX_OUTPUT_TOKENS = 32_768
DEFAULT_OUTPUT_TOKENS = 256


class CompletionRequest(NamedTuple):
    """A validated completion request.

    Attributes:
        model: Name of the model.
        prompt: Prompt text.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether the answer is streamed.
        priority: Requested priority; None for that of the client account.
        digest: SHA-256 digest of the body in hexadecimal, which is the same
            for a repeated request.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    priority: int | None
    digest: str


class Started(NamedTuple):
    """The answer starts, or continues from another engine.

    Attributes:
        request_id: Request id.
        resume_token: Token with which the caller can resume the answer; it
            replaces an earlier one.
    """

    request_id: str
    resume_token: str


class Restarted(NamedTuple):
    """The answer starts over; discard the text received so far."""

    request_id: str


class Tokens(NamedTuple):
    """Generated text.

    Attributes:
        text: Text of the tokens.
        next_offset: Number of tokens generated so far, including these.
    """

    text: str
    next_offset: int


class Finished(NamedTuple):
    """The answer is complete.

    Attributes:
        prompt_tokens: Number of prompt tokens, as counted against the rate.
        output_tokens: Number of tokens generated.
    """

    prompt_tokens: int
    output_tokens: int


AnswerEvent: TypeAlias = Started | Restarted | Tokens | Finished

FIELD_TYPES: dict[str, type] = {
    "model": str,
    "prompt": str,
    "max_tokens": int,
    "stream": bool,
    "priority": int,
}


def parse(body: bytes) -> CompletionRequest:
    """Validates and returns the request in a body.

    Raises:
        RefusedError: The body is not JSON or a field is invalid.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        raise errors.RefusedError(results.INVALID_JSON) from None
    if not isinstance(document, dict):
        raise invalid_field("the body must be a JSON object")
    check_fields(document)
    return CompletionRequest(
        model=document["model"],
        prompt=document["prompt"],
        max_tokens=document.get("max_tokens", DEFAULT_OUTPUT_TOKENS),
        stream=document.get("stream", False),
        priority=document.get("priority"),
        digest=hashlib.sha256(body).hexdigest(),
    )


def check_fields(document: dict[str, Any]) -> None:
    """Checks names, types and values of the fields.

    Raises:
        RefusedError: A field is invalid; the message is about the first one.
    """
    for name, value in document.items():
        expected = FIELD_TYPES.get(name)
        if expected is None:
            accepted_fields = ", ".join(FIELD_TYPES)
            raise invalid_field(
                f"unknown field; accepted fields are {accepted_fields}"
            )
        if type(value) is not expected:
            raise invalid_field(f"`{name}` must be of type {expected.__name__}")
    for name in ("model", "prompt"):
        if not document.get(name):
            raise invalid_field(f"`{name}` is required and must not be empty")
    max_tokens = document.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        raise invalid_field(
            f"`max_tokens` must be from 1 to {MAX_OUTPUT_TOKENS}"
        )


def invalid_field(message: str) -> errors.RefusedError:
    """Returns the refusal for an invalid field."""
    return errors.RefusedError(results.INVALID_FIELD, message)


@contextlib.contextmanager
def closing(iterator: Iterator[Any]) -> Iterator[None]:
    """Closes an iterator, if it has `close`, at the end of the block.

    Resources of an open stream, such as its connection, are freed at once and
    not when the iterator is garbage collected.
    """
    try:
        yield
    finally:
        close = getattr(iterator, "close", None)
        if close is not None:
            close()


def count_tokens(text: str) -> int:
    """Returns the estimated number of tokens of a text, at least 1."""
    return max(1, -(-len(text.encode()) // BYTES_PER_TOKEN))


def prefix_digests(prompt: str) -> list[int]:
    """Returns the digests of the prompt's leading chunks, at most 128.

    Engines compute the same digests (`docs/upstream-protocol.md`): xxh64 of
    a chunk of 1,024 bytes with the previous chunk's digest as seed, so that
    equal digests mean equal prefixes. An incomplete last chunk has none.
    """
    data = prompt.encode()
    size = CHUNK_TOKENS * BYTES_PER_TOKEN
    digest = 0
    digests = []
    for start in range(0, min(len(data), size * MAX_PREFIX_CHUNKS), size):
        chunk = data[start : start + size]
        if len(chunk) < size:
            break
        digest = xxhash.xxh64_intdigest(chunk, digest)
        digests.append(digest)
    return digests
