"""Splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_EVENT_BYTES = 1024 * 1024
# Empty line that ends an event.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
MAX_SEPARATOR_BYTES = 4


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
        self.incomplete = bytearray()
        # Start of the bytes in which no end of the event was looked for.
        self.unsearched = 0

    def clear(self) -> None:
        """Drops the incomplete event."""
        self.incomplete.clear()
        self.unsearched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            ValueError: An event is longer than 1 MiB.
        """
        buffer = self.incomplete
        buffer += data
        events = []
        start = 0
        # The end of the event may have arrived in part.
        search = max(self.unsearched - MAX_SEPARATOR_BYTES + 1, 0)
        while end := EVENT_END.search(buffer, search):
            part = bytes(buffer[start : end.end()])
            events.append(Event(event_id(part), part))
            start = search = end.end()
        if start:
            del buffer[:start]
        self.unsearched = len(buffer)
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError("event longer than 1 MiB")
        return events


def event_id(data: bytes) -> str:
    """Returns the id of an event; an empty string if it has none."""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
