"""Reader of callers' requests under limits that change."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.http1 import readers
from coltsfootarch.http1 import request_memory
from coltsfootarch.http1 import request_reader

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.http1 import field_lines
    from coltsfootarch.http1 import messages


# Fields among which the id of a request is looked for that can't be read.
MAX_NAMED_FIELDS = 64


class HeldRequest(NamedTuple):
    """A complete request that exceeds a limit, or follows one that does.

    Attributes:
        request: The request; its fields would take many times its size.
        head_bytes: Size of its head.
        body_bytes: Size of its body.
    """

    request: request_reader.RawRequest
    head_bytes: int
    body_bytes: int


def first_fields(lines: field_lines.FieldLines) -> messages.Fields:
    """Returns the header fields that may hold the id of a request."""
    return lines.decode(MAX_NAMED_FIELDS)


class LimitedReader(request_reader.RequestReader):
    """Parses requests under the limits of the active policy.

    A request beyond a limit is parsed on, so that nothing is lost if a newer
    policy allows it.

    Args:
        limits: Returns the limits in force.
        await_policy: Waits for a newer policy or the confirmation that there is
            none. Callers may know a raised limit before this host does.
        clock: Source of time.

    Attributes:
        error: Error of the first request that can't be read, to be reported
            after the complete requests before it; None if there is none.
        held: Complete requests from the first one that exceeds a limit.
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
        self.error: Exception | None = None
        self.held: collections.deque[HeldRequest] = collections.deque()
        # Error of the parser, which can't go on; the requests before it can.
        self.parse_error: Exception | None = None
        # Sizes of the request that is read at present.
        self.needed_head_bytes = 0
        self.needed_body_bytes = 0

    @property
    def has_requests(self) -> bool:
        """Whether a request that isn't taken was read, at least in part."""
        return self.in_progress or bool(self.complete or self.held)

    def next_fields(self) -> messages.Fields:
        """Returns the first fields of the held or unfinished request."""
        if self.held:
            return first_fields(self.held[0].request.lines)
        return first_fields(self.lines)

    def held_bytes(self) -> int:
        """Returns the memory of all requests that were not taken, in bytes."""
        size = self.lines.held_bytes + len(self.target) + len(self.body)
        size += sum(map(request_memory.request_bytes, self.complete))
        return size + sum(
            each.request.lines.held_bytes + len(each.request.body)
            for each in self.held
        )

    def read(self, data: bytes, received_at: float | None = None) -> None:
        """Parses bytes; appends to `complete` or sets `error`; see `settle`.

        The arguments are those of `parse_next`.
        """
        self.parse_next(data, received_at)
        self.settle()

    def parse_next(self, data: bytes, received_at: float | None = None) -> None:
        """Parses bytes; `settle` decides on a request beyond a limit.

        Args:
            data: Received bytes.
            received_at: Instant at which they arrived, in seconds; now if not
                given.
        """
        if received_at is None:
            received_at = self.clock.monotonic()
        if self.parse_error is None:
            try:
                self.apply(self.limits())
                self.feed(data, received_at)
            except Exception as error:
                # It is logged when the complete requests are answered.
                self.parse_error = error

    def settle(self) -> None:
        """Decides on requests beyond a limit once those before are taken.

        It waits for a newer policy and appends to `complete` or sets `error`.
        """
        try:
            while not self.complete and self.error is None:
                limits = self.limits()
                self.apply(limits)
                self.release()
                if self.complete:
                    return
                error: Exception | None = self.excess()
                if error is None:
                    self.error = self.parse_error
                    return
                self.await_policy()
                if self.limits() == limits:
                    self.error = error
        except Exception as error:
            self.error = error

    def release(self) -> None:
        """Moves the held requests to `complete` up to one that is too long."""
        while self.held and self.excess() is None:
            self.complete.append(self.held.popleft().request.decode())

    def excess(self) -> readers.MalformedMessageError | None:
        """Returns how the next request exceeds a limit; None if it doesn't."""
        head_bytes, body_bytes = self.needed_head_bytes, self.needed_body_bytes
        if self.held:
            _, head_bytes, body_bytes = self.held[0]
        if head_bytes > self.max_header_bytes:
            return readers.HeaderTooLargeError(
                "the head or the trailers are too long"
            )
        if body_bytes > self.max_body_bytes:
            return readers.BodyTooLargeError("the body is too long")
        return None

    def check_head(self, size: int) -> None:
        """Records the size of a head; `settle` decides on it."""
        self.needed_head_bytes = size

    def check_trailers(self, size: int) -> None:
        """Records the size of trailers; they have the limit of the head."""
        self.needed_head_bytes = max(self.needed_head_bytes, size)

    def check_body(self, size: int) -> None:
        """Records the size of a body; `settle` decides on it."""
        self.needed_body_bytes = max(self.needed_body_bytes, size)

    def on_message_begin(self) -> None:
        """Starts a request."""
        super().on_message_begin()
        self.needed_head_bytes = self.needed_body_bytes = 0

    def add_complete(self) -> None:
        """Appends the finished request to `complete` or `held`."""
        if self.held or self.excess() is not None:
            self.held.append(
                HeldRequest(
                    self.finish(),
                    self.needed_head_bytes,
                    self.needed_body_bytes,
                )
            )
        else:
            super().add_complete()
        self.needed_head_bytes = self.needed_body_bytes = 0

    def apply(self, limits: policy.CallerLimits) -> None:
        """Applies limits; one that is lowered within a request doesn't hold."""
        header_bytes, body_bytes = limits.header_bytes, limits.body_bytes
        if self.in_progress or self.held:
            header_bytes = max(header_bytes, self.max_header_bytes)
            body_bytes = max(body_bytes, self.max_body_bytes)
        self.max_header_bytes = header_bytes
        self.max_body_bytes = body_bytes

    def clear(self) -> None:
        """Drops all bytes; see `RequestReader.clear`.

        The errors refer to the frames that read the bytes, and these to the
        reader.
        """
        super().clear()
        self.held.clear()
        self.error = self.parse_error = None
