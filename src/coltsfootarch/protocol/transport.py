"""Transport of messages between hosts over ZeroMQ and gevent.

A host binds one ROUTER socket and opens one DEALER socket per peer.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent
import gevent.event
import gevent.pool
import structlog
import zmq

from coltsfootarch import errors
from coltsfootarch.protocol import codec
from coltsfootarch.protocol import network
from coltsfootarch.protocol import sockets

if TYPE_CHECKING:
    import datetime

    from coltsfootarch import clock
    from coltsfootarch.protocol import messages

SEND_QUEUE_MESSAGES = 1000
MAX_BLOCKING_HANDLERS = 256
IDLE_SECONDS = 300.0

log = structlog.get_logger(__name__)


class Connection:
    """A DEALER socket to one peer.

    Attributes:
        address: Address ("ip:port") of the peer.
        last_used_at: Instant at which the last message was sent.
        waiting_requests: Number of requests that wait for an answer on it.
        retired: Whether new messages use another connection; the socket is
            closed once no request waits on it.
        socket: The socket.
    """

    def __init__(self, address: str, opened_at: float) -> None:
        self.address = address
        self.last_used_at = opened_at
        self.waiting_requests = 0
        self.retired = False
        self.socket: sockets.WatchedSocket | None = None

    def close_if_unused(self) -> None:
        """Closes the socket if it is retired and no request waits on it."""
        if (
            self.retired
            and not self.waiting_requests
            and self.socket is not None
        ):
            self.socket.close()


class Pending(NamedTuple):
    """A request that waits for its answer in `result`."""

    connection: Connection
    result: Any


class ZmqPeerNetwork:
    """Implements `network.PeerNetwork` over ZeroMQ.

    Handlers that are registered as not blocking run in the event loop and must
    not wait. No answer is sent if a handler raises.

    Args:
        sender: This host; the transport binds its address.
        clock: Source of time.
        send_queue: Messages queued per peer before further ones are dropped.
        max_blocking: Blocking handlers that run concurrently; messages for
            further ones are dropped.

    Attributes:
        received: Number of messages received and decoded.
        undecodable: Number of messages dropped because they did not decode.
        dropped: Number of messages dropped because they could not be queued.
        late: Number of answers dropped because their request no longer waits.
        mismatched: Number of answers dropped because they came from another
            host or connection than the request was sent to.
        timeouts: Number of requests without an answer in time.
        replaced: Number of connections retired after a timeout.
        refused: Number of messages or answers dropped because a handler raised
            or was missing, too many handlers were running, or the answer could
            not be encoded.
    """

    def __init__(
        self,
        sender: messages.Sender,
        clock: clock.Clock,
        send_queue: int = SEND_QUEUE_MESSAGES,
        max_blocking: int = MAX_BLOCKING_HANDLERS,
    ) -> None:
        self.sender = sender
        self.clock = clock
        self.send_queue = send_queue
        self.registrations: dict[type, network.Registration] = {}
        self.connections: dict[str, Connection] = {}
        self.pending: dict[int, Pending] = {}
        self.correlations = itertools.count(1)
        self.blocking = gevent.pool.Pool(max_blocking)
        self.context: Any = None
        self.router: sockets.WatchedSocket | None = None
        self.received = 0
        self.undecodable = 0
        self.dropped = 0
        self.late = 0
        self.mismatched = 0
        self.timeouts = 0
        self.replaced = 0
        self.refused = 0

    def start(self) -> None:
        """Binds the address of this host.

        Raises:
            PeerError: The address can't be bound.
        """
        self.context = zmq.Context(1)
        socket = self.open_socket(zmq.ROUTER)
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        try:
            socket.bind(f"tcp://{self.sender.address}")
        except zmq.ZMQError as error:
            socket.close(linger=0)
            raise errors.PeerError(
                f"{self.sender.address} can't be bound: {error.strerror}"
            ) from error
        self.router = sockets.WatchedSocket(socket, self.receive_request)

    def close(self) -> None:
        """Closes all sockets and kills running handlers."""
        self.blocking.kill()
        for connection in list(self.connections.values()):
            self.retire(connection)
        for pending in list(self.pending.values()):
            if pending.connection.socket is not None:
                pending.connection.socket.close()
        if self.router is not None:
            self.router.close()
        if self.context is not None:
            self.context.term()
        self.context = None

    def open_socket(self, kind: int) -> Any:
        """Returns a new socket with the options that all sockets share."""
        if self.context is None:
            raise errors.PeerError("the transport is not started")
        socket = self.context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, self.send_queue)
        socket.setsockopt(zmq.RCVHWM, self.send_queue)
        socket.setsockopt(zmq.MAXMSGSIZE, codec.MAX_MESSAGE_BYTES)
        return socket

    def register(
        self,
        message_type: type,
        handler: network.Handler,
        blocking: bool = False,
    ) -> None:
        """Sets the handler for a message type."""
        self.registrations[message_type] = network.Registration(
            handler, blocking
        )

    def send(self, address: str, message: network.Message) -> None:
        """Sends a message without waiting for an answer; it may be lost."""
        data = codec.encode(self.sender, 0, message)
        self.enqueue(self.connection_to(address), data)

    def request(
        self,
        address: str,
        message: network.Message,
        timeout: datetime.timedelta,
    ) -> network.Message:
        """Sends a message and waits for the answer.

        A connection on which a request timed out is not used for new messages,
        since it may be broken without an error.

        Raises:
            PeerTimeoutError: No answer within `timeout`; the peer may still
                have handled the message.
        """
        connection = self.connection_to(address)
        try:
            return self.send_request(connection, message, timeout)
        except errors.PeerTimeoutError:
            if not connection.retired:
                self.replaced += 1
                self.retire(connection)
            raise

    def probe(
        self,
        address: str,
        message: network.Message,
        timeout: datetime.timedelta,
    ) -> network.Message:
        """Like `request`, on a new connection that is closed afterwards.

        Raises:
            PeerTimeoutError: No answer within `timeout`.
        """
        connection = self.open_connection(address)
        try:
            return self.send_request(connection, message, timeout)
        finally:
            self.retire(connection)

    def close_idle_connections(self) -> None:
        """Retires connections that were not used for `IDLE_SECONDS`."""
        oldest = self.clock.monotonic() - IDLE_SECONDS
        for connection in list(self.connections.values()):
            if connection.last_used_at < oldest:
                self.retire(connection)

    def send_request(
        self,
        connection: Connection,
        message: network.Message,
        timeout: datetime.timedelta,
    ) -> network.Message:
        """Sends a request on a connection and waits for the answer.

        Raises:
            PeerTimeoutError: No answer within `timeout`.
        """
        correlation = next(self.correlations)
        data = codec.encode(self.sender, correlation, message)
        result = gevent.event.AsyncResult()
        self.pending[correlation] = Pending(connection, result)
        connection.waiting_requests += 1
        try:
            self.enqueue(connection, data)
            return result.get(timeout=timeout.total_seconds())
        except gevent.Timeout:
            self.timeouts += 1
            raise errors.PeerTimeoutError(
                f"{connection.address} did not answer in time"
            ) from None
        finally:
            del self.pending[correlation]
            connection.waiting_requests -= 1
            connection.close_if_unused()

    def enqueue(self, connection: Connection, data: bytes) -> None:
        """Queues an encoded message, or counts it as dropped."""
        connection.last_used_at = self.clock.monotonic()
        if connection.socket is None or not connection.socket.send([data]):
            self.dropped += 1

    def connection_to(self, address: str) -> Connection:
        """Returns the current connection to a peer; opens one if needed."""
        connection = self.connections.get(address)
        if connection is None:
            connection = self.open_connection(address)
            self.connections[address] = connection
        return connection

    def open_connection(self, address: str) -> Connection:
        """Opens a connection; ZeroMQ connects in the background."""
        connection = Connection(address, self.clock.monotonic())
        socket = self.open_socket(zmq.DEALER)
        socket.connect(f"tcp://{address}")
        connection.socket = sockets.WatchedSocket(
            socket, lambda frames: self.receive_answer(connection, frames)
        )
        return connection

    def retire(self, connection: Connection) -> None:
        """Stops using a connection for new messages."""
        if self.connections.get(connection.address) is connection:
            del self.connections[connection.address]
        connection.retired = True
        connection.close_if_unused()

    def decode(self, data: bytes) -> codec.Envelope | None:
        """Decodes a message.

        Returns:
            The envelope, or None if it does not decode, which is counted and
            logged.
        """
        try:
            envelope = codec.decode(data)
        except errors.CodecError as error:
            self.undecodable += 1
            log.warning("message dropped", code=error.code.name)
            return None
        self.received += 1
        return envelope

    def receive_answer(
        self, connection: Connection, frames: list[bytes]
    ) -> None:
        """Passes an answer to the request that waits for it."""
        envelope = self.decode(frames[-1])
        if envelope is None:
            return
        pending = self.pending.get(-envelope.correlation)
        if pending is None:
            self.late += 1
            return
        expected = pending.connection
        if (
            expected is not connection
            or envelope.sender.address != expected.address
        ):
            self.mismatched += 1
            log.warning("answer from another host", host=envelope.sender.host)
            return
        if not pending.result.ready():
            pending.result.set(envelope.body)

    def receive_request(self, frames: list[bytes]) -> None:
        """Runs the handler of a received message."""
        if len(frames) != 2:
            self.undecodable += 1
            return
        identity, data = frames
        envelope = self.decode(data)
        if envelope is None:
            return
        registration = self.registrations.get(type(envelope.body))
        if registration is None or envelope.correlation < 0:
            self.refused += 1
            return
        if not registration.blocking:
            self.handle(registration.handler, identity, envelope)
            return
        if self.blocking.full():
            self.refused += 1
            return
        self.blocking.spawn(
            self.handle, registration.handler, identity, envelope
        )

    def handle(
        self,
        handler: network.Handler,
        identity: bytes,
        envelope: codec.Envelope,
    ) -> None:
        """Calls a handler and sends its answer."""
        kind = type(envelope.body).__name__
        try:
            answer = handler(envelope.sender, envelope.body)
        except errors.ColtsfootarchError as error:
            self.refused += 1
            log.info("message refused", kind=kind, code=error.code.name)
            return
        except Exception:
            # An unexpected error of one handler must not end the loop callback.
            self.refused += 1
            log.exception("handler failed", kind=kind)
            return
        if answer is None or not envelope.correlation:
            return
        self.answer(identity, envelope.correlation, answer)

    def answer(
        self, identity: bytes, correlation: int, message: network.Message
    ) -> None:
        """Sends an answer on the connection on which its request arrived."""
        try:
            data = codec.encode(self.sender, -correlation, message)
        except errors.CodecError as error:
            self.refused += 1
            log.error("answer not sent", reason=error.message)
            return
        if self.router is None or not self.router.send([identity, data]):
            self.dropped += 1
