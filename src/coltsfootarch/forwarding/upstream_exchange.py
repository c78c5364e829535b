"""One request to one upstream and its response, on one connection."""

from __future__ import annotations

import contextlib
import select
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from coltsfootarch.forwarding import response_memory
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import calls
    from coltsfootarch.http1 import pool
    from coltsfootarch.scheduling import upstream_notices

# Several times the round trip between availability zones; a longer wait means
# that the upstream or its zone can't be reached.
CONNECT_TIMEOUT_S = 0.4
# Responses to earlier requests that may precede the expected one.
MAX_UNRELATED_RESPONSES = 3
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Responses to the host's own calls are JSON objects of some hundred bytes.
MAX_CONTROL_RESPONSE_BYTES = 64 * 1024

logger = structlog.get_logger(__name__)


class PartReader(Protocol):
    """Reads the parts of a response."""

    def read(
        self, connection: client.Connection, deadline: float
    ) -> messages.ResponseHead | bytes | None:
        """Returns the next part read by an instant; see `read_part`."""


class UpstreamExchange:
    """Sends a request to an upstream and reads the response.

    Args:
        connections: Pool of idle connections.
        wire: Wire format of upstreams.
        clock: Source of time.
        request: The caller's request.
        delivery: What the host adds to it for this upstream.
        notices: Receives what the upstream states about itself.
        memory: Bounds the memory of all responses.

    Attributes:
        was_ended: Whether this host ended the exchange.
        lacked_resource: Whether this host lacked a resource for it since the
            last connection.
    """

    def __init__(
        self,
        connections: pool.ConnectionPool,
        wire: calls.UpstreamProtocol,
        clock: clocks.Clock,
        request: calls.CallerRequest,
        delivery: calls.Delivery,
        notices: upstream_notices.UpstreamNotices,
        memory: response_memory.ResponseMemory,
    ) -> None:
        self.notices = notices
        self.memory = memory
        self.holding: response_memory.Holding | None = None
        # Frees what was read of the response, as soon as it is given up.
        self.discard: Callable[[], object] = ignore_discard
        # Reads from the connection, if not the exchange itself.
        self.part_reader: PartReader | None = None
        self.connections = connections
        self.wire = wire
        self.clock = clock
        self.request = request
        self.delivery = delivery
        self.connection: client.Connection | None = None
        self.head: messages.ResponseHead | None = None
        self.was_ended = False
        self.lacked_resource = False
        self.sent = False
        # Head of a response that was read before the exchange was handed over.
        self.accepted: calls.UpstreamResponse | None = None

    @property
    def aborted(self) -> bool:
        """Whether its failure comes from this host, not the upstream."""
        return self.was_ended or self.lacked_resource

    def connect(
        self, recently_used: bool = False, repeatable: bool = True
    ) -> None:
        """Takes an idle connection from the pool or opens one.

        A request without an id gets a connection of its own, since nothing else
        shows which response belongs to it. So does one that must run only once:
        upstreams refuse requests without naming them, and a refusal that
        belongs to an earlier request must not say that this one was not run.

        Args:
            recently_used: Whether to reuse only a connection that was used
                recently; see `pool.ConnectionPool.acquire`.
            repeatable: Whether the request may run more than once.

        Raises:
            client.ConnectError: No connection; nothing was sent.
        """
        self.lacked_resource = False
        address = self.delivery.upstream.address
        timeout = min(CONNECT_TIMEOUT_S, self.delivery.time_left_s)
        with self.local_errors():
            if self.request.id and repeatable:
                self.connection = self.connections.acquire(
                    address, timeout, recently_used
                )
            else:
                self.connection = self.connections.open(address, timeout)
        if self.was_ended:
            self.close()
            raise client.ConnectError("the caller disconnected")

    def send(self) -> None:
        """Sends the request on the connection.

        Raises:
            client.ConnectError: The connection was closed, or this host lacks
                memory; nothing was sent.
            client.BrokenConnectionError: Sending failed; the upstream may have
                received the request.
        """
        if self.connection is None or not self.is_ready():
            self.close()
            raise client.ConnectError(
                "connection closed before the request was sent"
            )
        self.sent = True
        try:
            with self.local_errors():
                self.connection.send(
                    self.wire.encode(self.request, self.delivery),
                    self.request.body,
                    self.delivery.time_left_s,
                )
        except client.LocalConnectError:
            self.sent = False
            raise

    @contextlib.contextmanager
    def local_errors(self) -> Iterator[None]:
        """Records that errors in the block come from this host."""
        try:
            yield
        except (
            client.LocalConnectError,
            client.LocalBrokenConnectionError,
            client.LocalTimeoutError,
        ):
            self.lacked_resource = True
            raise

    def start(self, recently_used: bool) -> None:
        """Connects and sends the request; see `connect` and `send`."""
        self.connect(recently_used)
        self.send()

    def move_connection(self, other: UpstreamExchange) -> None:
        """Gives the connection to another exchange with the same upstream."""
        other.disconnect()
        other.connection, self.connection = self.connection, None

    def reserve(
        self, tokens: int, seconds: float, timeout_s: float
    ) -> str | None:
        """Reserves a slot and memory at the connected upstream.

        Args:
            tokens: Memory to reserve, in tokens.
            seconds: Time for which it is reserved.
            timeout_s: Timeout of the call, in seconds.

        Returns:
            The name of the reservation; None if the upstream refused it.

        Raises:
            client.LocalConnectError: This host lacks memory; nothing was sent.
            client.BrokenConnectionError: The connection broke. There may be a
                reservation, which expires by itself.
            client.ResponseTimeoutError: No response in time. There may be a
                reservation, which expires by itself.
        """
        connection = self.connection
        if connection is None:
            raise client.BrokenConnectionError("connection closed")
        call = self.wire.encode_reservation(
            self.delivery.upstream, tokens, seconds
        )
        self.notices.limits.take(self.delivery.upstream)
        deadline = self.clock.monotonic() + timeout_s
        with self.local_errors():
            connection.send(call, b"", timeout_s)
        # The call has no request id, so that its response has none either.
        response = self.find_head(
            deadline, lambda response: not response.request_id
        )
        body = self.collect_body(deadline, MAX_CONTROL_RESPONSE_BYTES)
        self.free_memory()
        if self.head is None or not connection.finish(self.head):
            self.connection = None
        self.head = None
        if response.status != 200:
            # A late copy would be taken for a refusal of the next request.
            self.disconnect()
            return None
        return self.wire.decode_reservation(body) or None

    def abort(self) -> None:
        """Closes the connection, which stops the upstream and wakes readers."""
        self.was_ended = True
        self.close()

    def close(self) -> None:
        """Closes the connection unless it was returned to the pool.

        It also frees what was read of the response, and its memory if
        `take_holding` didn't take it. Readers of the parts may refer to the
        exchange, so that the rest would be freed by the garbage collector only.
        """
        self.disconnect()
        self.discard()
        self.discard = ignore_discard
        self.part_reader = None
        self.free_memory()

    def disconnect(self) -> None:
        """Closes the connection unless it was returned to the pool."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()

    def give_up(self) -> None:
        """Ends the reading of the response and frees what was read.

        The greenlet that reads it may run much later, since others continue as
        long as bytes are available to them.
        """
        self.disconnect()
        self.discard()

    def free_memory(self) -> None:
        """Frees the memory of the response."""
        holding, self.holding = self.holding, None
        if holding is not None:
            holding.close()

    def take_holding(self) -> response_memory.Holding | None:
        """Returns the memory of a complete response; the taker closes it."""
        holding, self.holding = self.holding, None
        if holding is not None:
            holding.settle()
        return holding

    def hold(self, size: int) -> None:
        """Counts the bytes of the response that are kept at present.

        Raises:
            client.BrokenConnectionError: The response is given up, since all
                responses together are too large.
        """
        if self.holding is None:
            if size <= response_memory.GUARANTEED_BYTES:
                return
            self.holding = self.memory.open(
                self.delivery.upstream.id, self.give_up
            )
        try:
            self.holding.resize(size)
        except response_memory.ResponseMemoryError as error:
            raise client.BrokenConnectionError(str(error)) from error

    def read_head(self, deadline: float) -> calls.UpstreamResponse:
        """Returns the head of the response to this request; see `find_head`."""
        return self.find_head(deadline, self.answers_request)

    def find_head(
        self,
        deadline: float,
        is_expected: Callable[[calls.UpstreamResponse], bool],
    ) -> calls.UpstreamResponse:
        """Returns the next head that is expected; skips other responses.

        Args:
            deadline: Instant until which to wait, in seconds.
            is_expected: Returns whether a response is the expected one.

        Raises:
            client.ResponseTimeoutError: No data arrived in time.
            client.BrokenConnectionError: The connection can't deliver the
                response any more.
        """
        for _ in range(MAX_UNRELATED_RESPONSES + 1):
            part = self.read_part(deadline)
            if not isinstance(part, messages.ResponseHead):
                break
            response = self.wire.decode(part)
            if is_expected(response):
                self.head = part
                self.notices.apply(self.delivery.upstream, response)
                return response
            logger.warning(
                "response to another request skipped",
                request_id=self.request.id,
                upstream=self.delivery.upstream.id,
                answered=response.request_id,
            )
            if not part.framed:
                # It ends with the connection.
                break
            self.skip_body(deadline)
        self.close()
        raise client.BrokenConnectionError("no response to this request")

    def answers_request(self, response: calls.UpstreamResponse) -> bool:
        """Returns whether a response belongs to the request.

        The id shows that. A failure may have none, since upstreams refuse
        requests before they read the id; a success must have it, unless the
        request has none either.
        """
        if response.request_id or not self.request.id:
            return response.request_id == self.request.id
        return response.status >= 400

    def skip_body(self, deadline: float) -> None:
        """Reads the body of a response to another request.

        Raises:
            client.ResponseTimeoutError: No data arrived in time.
            client.BrokenConnectionError: The body is incomplete or too long.
        """
        size = 0
        while (part := self.read_part(deadline)) is not None:
            size += len(part) if isinstance(part, bytes) else 0
            if size > MAX_RESPONSE_BYTES:
                self.close()
                raise client.BrokenConnectionError(
                    "response to another request longer than 16 MiB"
                )

    def read_part(
        self, deadline: float
    ) -> messages.ResponseHead | bytes | None:
        """Returns the next part read from the connection.

        Returns:
            The head of a response, a part of its body, or None at its end.
        """
        if self.connection is None:
            raise client.BrokenConnectionError("connection closed")
        with self.local_errors():
            if self.part_reader is not None:
                return self.part_reader.read(self.connection, deadline)
            return self.connection.read_part(deadline - self.clock.monotonic())

    def share_turn(self) -> None:
        """Lets other greenlets run if the connection has had its turn."""
        if self.connection is not None:
            self.connection.turn.share()

    @property
    def lacks_memory(self) -> bool:
        """Whether this host has lacked memory for the exchange."""
        return self.connection is not None and self.connection.lacked_memory

    def is_ready(self) -> bool:
        """Returns whether a request can be sent on the connection."""
        return self.connection is not None and self.connection.is_reusable()

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes, or the end, of the connection can be read."""
        if self.connection is None or self.connection.sock is None:
            return False
        poller = select.poll()
        poller.register(self.connection.sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def body_parts(self, deadline: float) -> Iterator[bytes]:
        """Yields the parts of the body; returns only if it is complete.

        Raises:
            client.ResponseTimeoutError: No data arrived in time.
            client.BrokenConnectionError: The body is incomplete.
        """
        while True:
            part = self.read_part(deadline)
            if part is None:
                break
            if isinstance(part, messages.ResponseHead):
                raise client.BrokenConnectionError(
                    "another response began before the body ended"
                )
            yield part

    def read_body(
        self, deadline: float, max_bytes: int = MAX_RESPONSE_BYTES
    ) -> bytes:
        """Returns the complete body and finishes; see `collect_body`."""
        body = self.collect_body(deadline, max_bytes)
        self.finish()
        return body

    def collect_body(self, deadline: float, max_bytes: int) -> bytes:
        """Returns the complete body; see `body_parts`.

        Raises:
            client.ResponseTimeoutError: No data arrived in time.
            client.BrokenConnectionError: The body is incomplete or too long.
        """
        body = bytearray()
        self.discard = body.clear
        for part in self.body_parts(deadline):
            body += part
            if len(body) > max_bytes:
                self.close()
                raise client.BrokenConnectionError(
                    f"response body longer than {max_bytes} bytes"
                )
            self.hold(len(body))
        return bytes(body)

    def finish(self) -> None:
        """Returns the connection to the pool after a complete response.

        It is closed if nothing showed which request the response belongs to,
        since a late copy would be taken for the response to the next request.
        """
        connection, self.connection = self.connection, None
        if connection is None or self.head is None:
            return
        if not self.wire.decode(self.head).request_id:
            connection.close()
        elif connection.finish(self.head):
            self.connections.release(connection)


def ignore_discard() -> None:
    """Frees nothing."""
