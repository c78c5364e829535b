"""Bodies of requests as pywsgi reads them, with bounds on what frames them.

It answers this load: callers send trailers, or chunk extensions, without end.
pywsgi bounds one line of them and reads on.
"""

from __future__ import annotations

import contextlib
import datetime
from typing import Any

import gevent
from gevent import pywsgi

# Limits for reading the rest of a body after its request was answered.
DISCARD_TIMEOUT = datetime.timedelta(seconds=1)
DISCARD_BYTES = 1024 * 1024
# Largest number of bytes of a body that are read at once.
PIECE_BYTES = 16 * 1024
# Bytes that may frame a body, as a sum and for each of its bytes. A chunk of
# one byte needs five.
MAX_FRAMING_BYTES = 16 * 1024
FRAMING_BYTES_PER_BYTE = 16


class FramingError(OSError):
    """The body has more framing than its size allows."""


class ChunkStream:
    """Stream of a chunked body that bounds what is no part of the body.

    Args:
        stream: Source of the bytes.
        body: The body that is read from it.
    """

    def __init__(self, stream: Any, body: BodyInput) -> None:
        self.stream = stream
        self.body = body
        self.framing_left = MAX_FRAMING_BYTES

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, fewer at the end.

        Raises:
            FramingError: The body has too much framing.
        """
        data: bytes = self.stream.read(size)
        if self.body.position < self.body.chunk_length:
            self.framing_left += FRAMING_BYTES_PER_BYTE * len(data)
            return data
        self.framing_left -= len(data)
        if self.framing_left < 0:
            self.body._chunked_input_error = True
            raise FramingError("the framing of the body is too long")
        return data

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, of `size` bytes at most."""
        line: bytes = self.stream.readline(size)
        return line


class BodyInput(pywsgi.Input):  # type: ignore[misc]
    """Body of a request, with limits on its framing and its unread rest.

    A refused request can leave much of its body unread.

    Args:
        stream: Source of the bytes.
        content_length: Declared size in bytes; None if there is none.
        sock: Socket of the connection.
        is_chunked: Whether the body comes in chunks.

    Attributes:
        synchronized: Whether the next request on the connection can be found.
    """

    position: int
    chunk_length: int
    send_100_continue_enabled: bool
    synchronized = True

    def __init__(
        self,
        stream: Any,
        content_length: int | None,
        sock: Any,
        is_chunked: bool,
    ) -> None:
        if is_chunked:
            stream = ChunkStream(stream, self)
        super().__init__(stream, content_length, sock, is_chunked)

    def _discard(self) -> None:
        """Discards a short rest of the body so that the connection is reusable.

        pywsgi would read it without limit. A connection whose rest is long,
        slow or malformed is closed instead, because the start of its next
        request can't be found.
        """
        self.synchronized = False
        self.send_100_continue_enabled = False
        timeout = DISCARD_TIMEOUT.total_seconds()
        with contextlib.suppress(OSError), gevent.Timeout(timeout, False):
            # After a chunk error the end of the body can't be found.
            if not self._chunked_input_error:
                self.synchronized = self.skip(DISCARD_BYTES)

    def skip(self, size: int) -> bool:
        """Reads up to `size` bytes; returns whether the body ends before.

        Raises:
            OSError: The body is malformed or incomplete.
        """
        while size > 0:
            # Only the number is kept while the next bytes are awaited.
            skipped = len(self.read(min(size, PIECE_BYTES)))
            if not skipped:
                return True
            size -= skipped
        return False
