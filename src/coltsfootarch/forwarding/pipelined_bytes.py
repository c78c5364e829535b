"""Bytes that callers send ahead, with the time at which they arrived.

It answers this load: a caller sends many requests at once, and the time that
each of them has left counts from its arrival, not from its turn.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

# Bytes that arrive within this time, in seconds, count as arrived together, so
# that a caller that sends single bytes makes no piece for each of them.
TOGETHER_S = 0.05


class Piece(NamedTuple):
    """Bytes that arrived together.

    Attributes:
        arrived_at: Instant at which the first of them arrived, in seconds.
        data: The bytes that were not taken.
    """

    arrived_at: float
    data: bytearray


class PipelinedBytes:
    """Bytes of one connection that were received and not parsed yet."""

    def __init__(self) -> None:
        self.pieces: collections.deque[Piece] = collections.deque()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes, arrived_at: float) -> None:
        """Adds bytes that arrived at an instant, in seconds."""
        self.size += len(data)
        if self.pieces and arrived_at < self.pieces[-1].arrived_at + TOGETHER_S:
            self.pieces[-1].data.extend(data)
        else:
            self.pieces.append(Piece(arrived_at, bytearray(data)))

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Takes the oldest bytes, of one piece.

        Args:
            max_bytes: Largest number of bytes.

        Returns:
            The bytes and the instant at which they arrived, in seconds.

        Raises:
            IndexError: There are none.
        """
        piece = self.pieces[0]
        taken = bytes(piece.data[:max_bytes])
        del piece.data[:max_bytes]
        if not piece.data:
            self.pieces.popleft()
        self.size -= len(taken)
        return taken, piece.arrived_at

    def clear(self) -> None:
        """Drops all bytes."""
        self.pieces.clear()
        self.size = 0
