"""Writes log lines without ever blocking a request."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import gevent
import gevent.event
from gevent import os as gevent_os

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Lines that wait for a reader of the output, in characters.
MAX_BUFFERED = 262144
# Lines in one second; a host at its peak of requests writes about a fifth.
MAX_LINES_PER_S = 600


class LogWriter:
    """File-like target for log lines with bounded volume.

    Lines above the limits are dropped and counted, and the next line that is
    written is preceded by one that says how many.

    Args:
        descriptor: File descriptor to write to.
        clock: Source of time.
    """

    def __init__(self, descriptor: int, clock: clocks.Clock) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines: collections.deque[str] = collections.deque()
        self.buffered = 0
        self.second = 0
        self.in_second = 0
        self.dropped = 0
        self.reported = 0
        self.pending = gevent.event.Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to write what was logged."""
        gevent_os.make_nonblocking(self.descriptor)
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops writing; lines that are left are lost."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def write(self, text: str) -> None:
        """Takes text, usually a line."""
        second = int(self.clock.monotonic())
        if second != self.second:
            self.second = second
            self.in_second = 0
        if text != "\n":
            self.in_second += 1
        if (
            self.in_second > MAX_LINES_PER_S
            or self.buffered + len(text) > MAX_BUFFERED
        ):
            self.dropped += text != "\n"
            return
        if self.dropped > self.reported and text != "\n":
            self.reported = self.dropped
            text = (
                f'{{"event": "log lines dropped", "total": {self.dropped}}}\n'
                + text
            )
        self.lines.append(text)
        self.buffered += len(text)
        self.pending.set()

    def flush(self) -> None:
        """Does nothing; lines are written in the background."""

    def run(self) -> None:
        """Writes until the greenlet is killed."""
        while True:
            self.pending.wait()
            self.pending.clear()
            text = "".join(self.lines)
            self.lines.clear()
            data = text.encode()
            while data:
                data = data[gevent_os.nb_write(self.descriptor, data) :]
            self.buffered -= len(text)
