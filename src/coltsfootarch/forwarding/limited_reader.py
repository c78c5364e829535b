"""Reader of callers' requests under limits that change."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import httptools

from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy


class LimitedReader(readers.RequestReader):
    """Parses requests under the limits of the active policy.

    Args:
        limits: Returns the limits in force.
        await_policy: Waits for a newer policy or the confirmation that there is
            none. Callers may know a raised limit before this host does.
        clock: Source of time.

    Attributes:
        error: Error of the first request that can't be read, to be reported
            after the complete requests before it; None if there is none.
    """

    def __init__(
        self,
        limits: Callable[[], policy.CallerLimits],
        await_policy: Callable[[], object],
        clock: clocks.Clock,
    ) -> None:
        current = limits()
        super().__init__(current.header_bytes, current.body_bytes)
        self.limits = limits
        self.await_policy = await_policy
        self.clock = clock
        self.error: readers.MalformedMessageError | None = None
        # All bytes of a request whose head is incomplete; None if the request
        # began within bytes of the one before.
        self.head: bytearray | None = bytearray()

    def read(self, data: bytes, received_at: float | None = None) -> None:
        """Parses bytes; appends to `complete` or sets `error`.

        It waits for a newer policy if a head exceeds a limit or declares a body
        that does.

        Args:
            data: Received bytes.
            received_at: Instant at which they arrived, in seconds; now if not
                given.
        """
        if received_at is None:
            received_at = self.clock.monotonic()
        limits = self.limits()
        self.apply(limits)
        in_head = not self.in_body
        complete = len(self.complete)
        if in_head and self.head is not None:
            self.head += data
        try:
            self.feed(data, received_at)
        except (
            readers.HeaderTooLargeError,
            readers.BodyTooLargeError,
        ) as error:
            head, self.head = self.head, None
            if not in_head or head is None or len(self.complete) > complete:
                self.error = error
                return
            self.await_policy()
            if self.limits() == limits:
                self.error = error
                return
            self.restart()
            self.read(bytes(head), self.started_at)
            return
        except readers.MalformedMessageError as error:
            self.error = error
            return
        if not self.in_progress:
            self.head = bytearray()
        elif len(self.complete) > complete or self.in_body:
            self.head = None

    def apply(self, limits: policy.CallerLimits) -> None:
        """Applies limits; one that is lowered within a request doesn't hold."""
        header_bytes, body_bytes = limits.header_bytes, limits.body_bytes
        if self.in_progress:
            header_bytes = max(header_bytes, self.max_header_bytes)
            body_bytes = max(body_bytes, self.max_body_bytes)
        self.max_header_bytes = header_bytes
        self.max_body_bytes = body_bytes

    def clear(self) -> None:
        """Drops all bytes; see `RequestReader.clear`."""
        super().clear()
        self.head = None

    def restart(self) -> None:
        """Forgets the request that is read in part."""
        self.parser: Any = httptools.HttpRequestParser(self)
        self.head = bytearray()
        self.head_bytes = 0
        self.in_progress = self.in_body = False
        self.expects_continue = False
