"""View of an engine's prefix cache, built from its events."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from coltsfootarch.upstreams import engine

# Tokens per prompt chunk; each chunk has one digest.
CHUNK_TOKENS = 256

# Limits the memory of the view if an engine does not report its evictions.
MAX_DIGESTS = 100_000


class CacheView:
    """Chunk digests in one engine's cache, from its numbered events.

    If an event number is missing, the content of the cache is unknown and
    counts as empty; later events add to it again.

    Attributes:
        sequence: Number of the latest event.
        digests: Digests of the cached chunks.
        gaps: How often event numbers were missing.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.digests: set[int] = set()
        self.gaps = 0

    def apply(self, event: engine.CacheEvent) -> None:
        """Applies an event; an event that was already applied is ignored."""
        if event.sequence <= self.sequence:
            return
        if event.sequence != self.sequence + 1:
            self.digests.clear()
            self.gaps += 1
        self.sequence = event.sequence
        self.digests.difference_update(event.evicted)
        self.digests.update(event.stored)
        if len(self.digests) > MAX_DIGESTS:
            self.digests.clear()

    def cached_tokens(
        self, prefix_digests: Sequence[int], prompt_tokens: int
    ) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        chunks = 0
        for digest in prefix_digests:
            if digest not in self.digests:
                break
            chunks += 1
        return min(chunks * CHUNK_TOKENS, prompt_tokens)
