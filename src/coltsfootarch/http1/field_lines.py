"""Header lines of a message that isn't complete.

It answers this load: callers send heads of very many short lines. A line of
four bytes takes some hundred bytes as two strings and a tuple, so that lines
are kept as they were sent until the whole message has arrived.
"""

from __future__ import annotations

import array
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.http1 import messages

# Bytes of a header line in addition to the field's name and value.
FIELD_OVERHEAD = len(": \r\n")
# Bytes in memory of a line in addition to those: its two lengths.
LENGTH_BYTES = 8


class FieldLines:
    """Header lines in order."""

    def __init__(self) -> None:
        self.text = bytearray()
        self.lengths = array.array("I")

    def __len__(self) -> int:
        return len(self.lengths) // 2

    @property
    def size(self) -> int:
        """Size in bytes in a message, without the empty line at the end."""
        return len(self.text) + len(self) * FIELD_OVERHEAD

    @property
    def held_bytes(self) -> int:
        """Size in memory, in bytes."""
        return len(self.text) + len(self) * LENGTH_BYTES

    def append(self, name: bytes, value: bytes) -> None:
        """Adds a line."""
        self.text += name
        self.text += value
        self.lengths.append(len(name))
        self.lengths.append(len(value))

    def decode(self, most: int | None = None) -> messages.Fields:
        """Returns the header fields.

        Args:
            most: Number of fields after which the rest is left out; None for
                all of them.
        """
        texts = self.texts()
        return tuple(itertools.islice(zip(texts, texts, strict=True), most))

    def texts(self) -> Iterator[str]:
        """Yields the names and values by turns."""
        start = 0
        for length in self.lengths:
            end = start + length
            yield self.text[start:end].decode("latin-1")
            start = end
