"""Reads server-sent events of an upstream with a progress deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch.http1 import events

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.upstreams import connection


class ServerSentEvent(NamedTuple):
    """A server-sent event.

    Attributes:
        event: Type of the event; "message" by default.
        data: Data lines, joined by newlines.
    """

    event: str
    data: bytes


class EventParser:
    """Incremental parser of server-sent events; it skips comments."""

    def __init__(self) -> None:
        self.splitter = events.EventSplitter()

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Yields the events that are complete after adding `data`.

        Raises:
            UpstreamError: An event is longer than 1 MiB.
        """
        try:
            complete = self.splitter.feed(data.replace(b"\r", b""))
        except ValueError as error:
            raise errors.UpstreamError(
                "an upstream sent an oversized event"
            ) from error
        for _, block in complete:
            event = parse_event(block)
            if event is not None:
                yield event


def parse_event(block: bytes) -> ServerSentEvent | None:
    """Returns the event in a block of lines, or None if it has no data."""
    event = "message"
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            event = value.decode("ascii", "replace")
        if field == b"data":
            data.append(value)
    if not data:
        return None
    return ServerSentEvent(event, b"\n".join(data))


def read_events(
    upstream: connection.UpstreamConnection, deadline: connection.Deadline
) -> Iterator[ServerSentEvent]:
    """Yields events until the stream ends.

    The deadline restarts with each event. Comments and incomplete events do
    not extend it, and the consumer's processing time is not counted.

    Raises:
        UpstreamTimeoutError: No event was completed within the deadline.
        UpstreamError: The connection broke or an event is too large.
    """
    parser = EventParser()
    while data := upstream.read(deadline):
        for event in parser.feed(data):
            yield event
            deadline.restart()
