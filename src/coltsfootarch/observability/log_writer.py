"""Non-blocking writer of log lines with bounded memory and volume."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import gevent
import gevent.event
from gevent import os as gevent_os

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Largest size of the lines that are not yet written, in characters.
MAX_BUFFERED_CHARS = 262144
# Largest number of lines in one second. A host at its peak request rate writes
# about a fifth of that.
MAX_LINES_PER_S = 600


class LogWriter:
    """File-like object that writes log lines in the background.

    Lines above the limits are dropped and counted. The next accepted line is
    preceded by one with the total number of dropped lines.

    Args:
        descriptor: File descriptor to write to; it becomes non-blocking.
        clock: Clock for the limit on lines per second.

    Attributes:
        buffered_chars: Size of the lines that are not yet written.
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int, clock: clocks.Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines: collections.deque[str] = collections.deque()
        self.buffered_chars = 0
        self.second = 0
        self.lines_in_second = 0
        self.dropped = 0
        self.reported_dropped = 0
        self.has_lines = gevent.event.Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts writing to the file descriptor."""
        gevent_os.make_nonblocking(self.descriptor)
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops writing; lines that are not yet written are lost."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def write(self, text: str) -> None:
        """Accepts text, which is a line or a lone line break, or drops it."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second = second
            self.lines_in_second = 0
        if text != "\n":
            self.lines_in_second += 1
        if (
            self.lines_in_second > MAX_LINES_PER_S
            or self.buffered_chars + len(text) > MAX_BUFFERED_CHARS
        ):
            self.dropped += text != "\n"
            return
        if self.dropped > self.reported_dropped and text != "\n":
            self.reported_dropped = self.dropped
            text = (
                f'{{"event": "log lines dropped", "total": {self.dropped}}}\n'
                + text
            )
        self.lines.append(text)
        self.buffered_chars += len(text)
        self.has_lines.set()

    def flush(self) -> None:
        """Does nothing, since lines are written in the background."""

    def run(self) -> None:
        """Writes accepted lines until the greenlet is killed."""
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            text = "".join(self.lines)
            self.lines.clear()
            data = text.encode()
            while data:
                data = data[gevent_os.nb_write(self.descriptor, data) :]
            self.buffered_chars -= len(text)
