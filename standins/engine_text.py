"""Deterministic output text and token counts of the engine stand-in."""

from __future__ import annotations

import hashlib

import xxhash

# A token is one space and hexadecimal digits. The fixed length lets emitted
# tokens be removed from a prompt that continues an earlier output.
TOKEN_CHARACTERS = 6
BYTES_PER_TOKEN = 4
CHUNK_TOKENS = 256


def expected_text(prompt: str, max_tokens: int, first_offset: int = 0) -> str:
    """Returns the output text for a prompt.

    Args:
        prompt: Original prompt, without emitted text.
        max_tokens: Number of tokens.
        first_offset: Offset of the first token to return.
    """
    digest = prompt_digest(prompt)
    offsets = range(first_offset, first_offset + max_tokens)
    return "".join(token_text(digest, offset) for offset in offsets)


def original_prompt(prompt: str, first_offset: int) -> str:
    """Returns `prompt` without the emitted tokens at its end.

    Args:
        prompt: Original prompt plus the text of `first_offset` tokens.
        first_offset: Number of emitted tokens.
    """
    return prompt[: len(prompt) - first_offset * TOKEN_CHARACTERS]


def prompt_digest(prompt: str) -> bytes:
    """Returns the digest that determines the output tokens of a prompt."""
    return hashlib.sha256(prompt.encode()).digest()


def token_text(digest: bytes, offset: int) -> str:
    """Returns the token at `offset`, `TOKEN_CHARACTERS` long."""
    content = digest + offset.to_bytes(8, "big")
    return f" {hashlib.sha256(content).hexdigest()[: TOKEN_CHARACTERS - 1]}"


def count_tokens(prompt: str) -> int:
    """Returns the token count: 1 per `BYTES_PER_TOKEN` bytes, at least 1."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def chunk_digests(prompt: str) -> list[int]:
    """Returns the chained digests of the complete chunks of a prompt.

    The digest of a chunk is xxh64 of its bytes with the digest of the chunk
    before it as seed, 0 for the first chunk.
    """
    data = prompt.encode()
    size = CHUNK_TOKENS * BYTES_PER_TOKEN
    digests: list[int] = []
    for start in range(0, len(data) - size + 1, size):
        seed = digests[-1] if digests else 0
        chunk = data[start : start + size]
        digests.append(xxhash.xxh64_intdigest(chunk, seed))
    return digests
