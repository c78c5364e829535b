"""One request to one upstream, with its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import calls
    from coltsfootarch.http1 import pool

# Several times the round trip between availability zones; a longer wait means
# that the upstream or its zone can't be reached.
CONNECT_TIMEOUT_S = 0.4
# Answers to earlier requests that may come before the expected one.
MAX_STRAY_ANSWERS = 3
# A reservation is answered within milliseconds.
RESERVATION_TIMEOUT_S = 0.3
MAX_ANSWER_BYTES = 16 * 1024 * 1024

logger = structlog.get_logger(__name__)


class Exchange:
    """Sends a request and reads the answer to it.

    Args:
        connections: Idle connections.
        wire: Wire format of upstreams.
        clock: Source of time.
        request: The caller's request.
        delivery: What the host adds.
    """

    def __init__(
        self,
        connections: pool.ConnectionPool,
        wire: calls.UpstreamProtocol,
        clock: clocks.Clock,
        request: calls.CallerRequest,
        delivery: calls.Delivery,
    ) -> None:
        self.connections = connections
        self.wire = wire
        self.clock = clock
        self.request = request
        self.delivery = delivery
        self.connection: client.Connection | None = None
        self.head: messages.ResponseHead | None = None
        self.aborted = False
        self.sent = False

    def connect(self, fresh: bool) -> None:
        """Takes an idle connection or opens one.

        Args:
            fresh: Whether an idle connection must have been used lately.

        Raises:
            client.ConnectError: There is none; nothing was sent.
        """
        connection = self.connections.take(
            self.delivery.upstream.address,
            min(CONNECT_TIMEOUT_S, self.delivery.time_left_s),
            fresh,
        )
        self.connection = connection
        if self.aborted:
            self.close()
            raise client.ConnectError("the caller left")

    def send(self) -> None:
        """Sends the request on the connection.

        Raises:
            client.ConnectError: The connection was closed; nothing was sent.
            client.BrokenConnectionError: The upstream may have it.
        """
        if self.connection is None or not self.connection.is_quiet():
            self.close()
            raise client.ConnectError("closed before the request was sent")
        self.sent = True
        self.connection.send(
            self.wire.encode(self.request, self.delivery),
            self.request.body,
            self.delivery.time_left_s,
        )

    def start(self, fresh: bool) -> None:
        """Connects and sends the request; see `connect` and `send`."""
        self.connect(fresh)
        self.send()

    def reserve(self, tokens: int, seconds: float) -> str | None:
        """Reserves room for the request at the connected upstream.

        Args:
            tokens: Memory to reserve.
            seconds: Time for which it is reserved.

        Returns:
            The name of the reservation, None if there is no room.

        Raises:
            client.BrokenConnectionError: There may be a reservation, which
                lapses by itself.
            client.ResponseTimeoutError: The same.
        """
        connection = self.connection
        if connection is None:
            raise client.BrokenConnectionError("closed")
        call = self.wire.encode_reservation(
            self.delivery.upstream, tokens, seconds
        )
        connection.send(call, b"", RESERVATION_TIMEOUT_S)
        deadline = self.clock.monotonic() + RESERVATION_TIMEOUT_S
        head: messages.ResponseHead | None = None
        body = b""
        while (part := self.read_part(deadline)) is not None:
            if isinstance(part, messages.ResponseHead):
                head = part
            else:
                body += part
        if head is None or not connection.finish(head):
            self.connection = None
        if head is None or head.status != 200:
            return None
        return self.wire.decode_reservation(body) or None

    def abort(self) -> None:
        """Closes the connection; the upstream stops, a reader wakes."""
        self.aborted = True
        self.close()

    def close(self) -> None:
        """Closes the connection unless it was given back."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def read_head(self, deadline: float) -> calls.UpstreamAnswer:
        """Returns the head of the answer to this request.

        Answers to other requests are skipped.

        Args:
            deadline: Instant until which to wait, in seconds.

        Raises:
            client.ResponseTimeoutError: Nothing came in time.
            client.BrokenConnectionError: There will be no answer.
        """
        for _ in range(MAX_STRAY_ANSWERS + 1):
            part = self.read_part(deadline)
            if not isinstance(part, messages.ResponseHead):
                break
            answer = self.wire.decode(part)
            if answer.request_id == self.request.id or (
                not answer.request_id and answer.status >= 400
            ):
                self.head = part
                return answer
            logger.warning(
                "answer to another request skipped",
                request_id=self.request.id,
                upstream=self.delivery.upstream.id,
                answered=answer.request_id,
            )
            while self.read_part(deadline) is not None:
                pass
        self.close()
        raise client.BrokenConnectionError("no answer to this request")

    def read_part(
        self, deadline: float
    ) -> messages.ResponseHead | bytes | None:
        """Returns the next part of the connection's answers."""
        if self.connection is None:
            raise client.BrokenConnectionError("closed")
        return self.connection.read_part(deadline - self.clock.monotonic())

    def body_parts(self, deadline: float) -> Iterator[bytes]:
        """Yields the parts of the body; ends after a whole one only.

        Raises:
            client.ResponseTimeoutError: Nothing came in time.
            client.BrokenConnectionError: The body can't be completed.
        """
        while True:
            part = self.read_part(deadline)
            if part is None:
                break
            if isinstance(part, messages.ResponseHead):
                raise client.BrokenConnectionError("an answer in an answer")
            yield part
        self.finish()

    def read_body(self, deadline: float) -> bytes:
        """Returns the whole body; see `body_parts`."""
        body = bytearray()
        for part in self.body_parts(deadline):
            body += part
            if len(body) > MAX_ANSWER_BYTES:
                self.close()
                raise client.BrokenConnectionError("the answer is too long")
        return bytes(body)

    def finish(self) -> None:
        """Gives the connection back after a whole answer."""
        connection, self.connection = self.connection, None
        if connection is None or self.head is None:
            return
        if connection.finish(self.head):
            self.connections.give_back(connection)
