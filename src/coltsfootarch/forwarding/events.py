"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

from typing import NamedTuple

MAX_EVENT_BYTES = 1024 * 1024


class Event(NamedTuple):
    """A whole event.

    Attributes:
        id: Its id; empty if it has none.
        data: Its bytes with the empty line at the end.
    """

    id: str
    data: bytes


class EventSplitter:
    """Collects bytes and returns whole events.

    An upstream can break off within an event; such a rest is never returned,
    so that what a caller got always ends at an event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now.

        Raises:
            ValueError: An event is longer than 1 MiB.
        """
        buffer = self.rest + data
        events = []
        start = 0
        while True:
            end = buffer.find(b"\n\n", start)
            other = buffer.find(b"\r\n\r\n", start)
            if other >= 0 and (end < 0 or other < end):
                stop = other + 4
            elif end >= 0:
                stop = end + 2
            else:
                break
            part = buffer[start:stop]
            events.append(Event(event_id(part), part))
            start = stop
        self.rest = buffer[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return events


def event_id(data: bytes) -> str:
    """Returns the id of an event, or an empty string."""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
