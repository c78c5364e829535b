"""What is known of an engine's prompt-prefix cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from coltsfootarch.upstreams import engine

# Tokens in one chunk of a prompt that a digest stands for.
CHUNK_TOKENS = 256

# Bound of memory for an engine whose evictions were never reported.
MAX_DIGESTS = 100_000


class CacheView:
    """Chunk digests in one engine's cache, from its numbered events.

    After a missing number the view is unknown and counts as empty; later
    events fill it again.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.digests: set[int] = set()
        self.gaps = 0

    def apply(self, event: engine.CacheEvent) -> None:
        """Applies an event; an old one is ignored."""
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
        """Returns the leading tokens of a prompt that the cache holds."""
        chunks = 0
        for digest in prefix_digests:
            if digest not in self.digests:
                break
            chunks += 1
        return min(chunks * CHUNK_TOKENS, prompt_tokens)
