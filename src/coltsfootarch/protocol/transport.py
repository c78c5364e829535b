"""Transport between hosts over pyzmq and gevent.

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
    """A DEALER socket to one peer; closed when retired and not awaited."""

    def __init__(self, address: str, opened_at: float) -> None:
        self.address = address
        self.used_at = opened_at
        self.awaited = 0
        self.retired = False
        self.watched: sockets.WatchedSocket | None = None

    def close_if_unused(self) -> None:
        """Closes a retired connection on which no request waits."""
        if self.retired and not self.awaited and self.watched is not None:
            self.watched.close()


class Pending(NamedTuple):
    """A request that waits for its answer."""

    connection: Connection
    result: Any


class ZmqPeerNetwork:
    """`PeerNetwork` over ZeroMQ.

    Handlers that are registered as not blocking run in the loop and must not
    wait. A handler that raises an error of this package gives no answer.

    Args:
        sender: This host; its address is bound.
        clock: Source of time.
        send_queue: Messages queued per peer before further ones are dropped.
        max_blocking: Blocking handlers that run at a time; more are dropped.

    Attributes:
        received: Messages that arrived and decoded.
        undecodable: Messages dropped because they did not decode.
        dropped: Messages dropped because a queue was full.
        late: Answers dropped because nobody waits for them any more.
        crossed: Answers dropped because another host than the asked one sent
            them.
        timeouts: Requests without an answer.
        replaced: Connections replaced after a timeout.
        refused: Messages dropped because a handler raised, was missing, or too
            many were running.
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
        self.crossed = 0
        self.timeouts = 0
        self.replaced = 0
        self.refused = 0

    def start(self) -> None:
        """Binds the host's address.

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
        """Closes all sockets and ends running handlers."""
        self.blocking.kill()
        for connection in list(self.connections.values()):
            self.retire(connection)
        for pending in list(self.pending.values()):
            if pending.connection.watched is not None:
                pending.connection.watched.close()
        if self.router is not None:
            self.router.close()
        if self.context is not None:
            self.context.term()
        self.context = None

    def open_socket(self, kind: int) -> Any:
        """Returns a new socket with the limits that all sockets share."""
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
        """Sends without an answer; the message may be lost."""
        data = codec.encode(self.sender, 0, message)
        self.queue(self.connection_to(address), data)

    def request(
        self,
        address: str,
        message: network.Message,
        timeout: datetime.timedelta,
    ) -> network.Message:
        """Sends and waits for the answer.

        A connection on which a request timed out is not used again, since it
        may have gone silent.

        Raises:
            PeerTimeoutError: No answer within `timeout`; the peer may have
                handled the message.
        """
        connection = self.connection_to(address)
        try:
            return self.ask(connection, message, timeout)
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
            return self.ask(connection, message, timeout)
        finally:
            self.retire(connection)

    def close_idle(self) -> None:
        """Closes connections that were not used for `IDLE_SECONDS`."""
        oldest = self.clock.monotonic() - IDLE_SECONDS
        for connection in list(self.connections.values()):
            if connection.used_at < oldest:
                self.retire(connection)

    def ask(
        self,
        connection: Connection,
        message: network.Message,
        timeout: datetime.timedelta,
    ) -> network.Message:
        """Sends a request on a connection and waits for the answer."""
        correlation = next(self.correlations)
        data = codec.encode(self.sender, correlation, message)
        result = gevent.event.AsyncResult()
        self.pending[correlation] = Pending(connection, result)
        connection.awaited += 1
        try:
            self.queue(connection, data)
            return result.get(timeout=timeout.total_seconds())
        except gevent.Timeout:
            self.timeouts += 1
            raise errors.PeerTimeoutError(
                f"{connection.address} did not answer in time"
            ) from None
        finally:
            del self.pending[correlation]
            connection.awaited -= 1
            connection.close_if_unused()

    def queue(self, connection: Connection, data: bytes) -> None:
        """Queues a message, or counts it as dropped."""
        connection.used_at = self.clock.monotonic()
        if connection.watched is None or not connection.watched.send([data]):
            self.dropped += 1

    def connection_to(self, address: str) -> Connection:
        """Returns the connection in use, a new one if there is none."""
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
        connection.watched = sockets.WatchedSocket(
            socket, lambda frames: self.receive_answer(connection, frames)
        )
        return connection

    def retire(self, connection: Connection) -> None:
        """Takes a connection out of use."""
        if self.connections.get(connection.address) is connection:
            del self.connections[connection.address]
        connection.retired = True
        connection.close_if_unused()

    def decode(self, data: bytes) -> codec.Envelope | None:
        """Decodes a message, or counts and logs why it is dropped."""
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
        """Hands an answer to the request that waits for it."""
        envelope = self.decode(frames[-1])
        if envelope is None:
            return
        pending = self.pending.get(-envelope.correlation)
        if pending is None:
            self.late += 1
            return
        asked = pending.connection
        if asked is not connection or envelope.sender.address != asked.address:
            self.crossed += 1
            log.warning("answer from another host", host=envelope.sender.host)
            return
        if not pending.result.ready():
            pending.result.set(envelope.body)

    def receive_request(self, frames: list[bytes]) -> None:
        """Runs the handler of a message."""
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
            # A fault in one handler must not end the loop's callback.
            self.refused += 1
            log.exception("handler failed", kind=kind)
            return
        if answer is None or not envelope.correlation:
            return
        self.answer(identity, envelope.correlation, answer)

    def answer(
        self, identity: bytes, correlation: int, message: network.Message
    ) -> None:
        """Sends an answer on the connection that the request came on."""
        try:
            data = codec.encode(self.sender, -correlation, message)
        except errors.CodecError as error:
            self.refused += 1
            log.error("answer not sent", reason=error.message)
            return
        if self.router is None or not self.router.send([identity, data]):
            self.dropped += 1
