"""Streams that callers take up after their connection broke."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

EVENT_PREFIX = b"data: token "
# Line of an event of a runner with another version than the first one.
VERSION_PREFIX = b": version "
DEFAULT_VERSION = "v1"


class TakeUp(NamedTuple):
    """A stream and its continuation.

    Attributes:
        id: Request id of the attempt that began it.
        first: Body of that attempt.
        status: Status code of the continuation, 0 without a response.
        second: Body of the continuation.
    """

    id: str
    first: bytes
    status: int
    second: bytes


def complete_events(body: bytes) -> list[bytes]:
    """Returns the complete events of a body."""
    return body.split(b"\n\n")[:-1]


def numbers(body: bytes) -> list[int]:
    """Returns the numbers of the complete events of a body."""
    return [
        int(line.removeprefix(EVENT_PREFIX))
        for event in complete_events(body)
        for line in event.splitlines()
        if line.startswith(EVENT_PREFIX)
    ]


def versions(body: bytes) -> set[str]:
    """Returns the versions of the runners that wrote the events of a body."""
    found = set()
    for event in complete_events(body):
        named = [
            line.removeprefix(VERSION_PREFIX).decode()
            for line in event.splitlines()
            if line.startswith(VERSION_PREFIX)
        ]
        found.add(named[0] if named else DEFAULT_VERSION)
    return found


def violations(
    bodies: Iterable[tuple[str, bytes]], take_ups: Iterable[TakeUp]
) -> Iterator[str]:
    """Yields a line for each stream of two versions or with other gaps.

    Args:
        bodies: Request id and body of each stream.
        take_ups: Streams that were taken up.
    """
    for request_id, body in bodies:
        if len(versions(body)) > 1:
            yield f"{request_id}: has events of {sorted(versions(body))}"
    for stream in take_ups:
        joined = versions(stream.first) | versions(stream.second)
        if len(joined) > 1:
            yield f"{stream.id}: was taken up by one of {sorted(joined)}"
        found = numbers(stream.first) + numbers(stream.second)
        if found != list(range(1, len(found) + 1)):
            yield f"{stream.id}: was taken up with the events {found}"
