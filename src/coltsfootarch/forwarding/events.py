"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

from typing import NamedTuple

MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """A complete server-sent event.

    Attributes:
        id: Value of its `id` field; empty if it has none.
        data: Its bytes with the empty line that ends it.
    """

    id: str
    data: bytes


class EventSplitter:
    """Buffers bytes and returns complete events.

    The connection to an upstream can break within an event. The incomplete
    event is never returned, so that what a caller received always ends with a
    complete event and the stream can be resumed after it.
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def clear(self) -> None:
        """Drops the incomplete event."""
        self.incomplete = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            ValueError: An event is longer than 1 MiB.
        """
        buffer = self.incomplete + data
        events = []
        start = 0
        while True:
            lf_start = buffer.find(b"\n\n", start)
            crlf_start = buffer.find(b"\r\n\r\n", start)
            if crlf_start >= 0 and (lf_start < 0 or crlf_start < lf_start):
                stop = crlf_start + 4
            elif lf_start >= 0:
                stop = lf_start + 2
            else:
                break
            part = buffer[start:stop]
            events.append(Event(event_id(part), part))
            start = stop
        self.incomplete = buffer[start:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise ValueError("event longer than 1 MiB")
        return events


def event_id(data: bytes) -> str:
    """Returns the id of an event; an empty string if it has none."""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
