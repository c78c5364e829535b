"""One connection of a caller: reads requests, detects a disconnect."""

from __future__ import annotations

import contextlib
import select
import socket
from typing import TYPE_CHECKING
from typing import Any

import gevent
import msgspec
import structlog

from coltsfootarch import results
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation as cancellations
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.forwarding import limited_reader
from coltsfootarch.forwarding import responder as responders
from coltsfootarch.http1 import client
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from gevent import socket as gevent_socket

    from coltsfootarch.forwarding import listener as listeners
    from coltsfootarch.http1 import messages

# Timeout of writing to a caller that doesn't read, in seconds. Its connection
# is then closed.
SEND_TIMEOUT_S = 10.0
# Bytes of pipelined requests that are buffered while one is handled. The rest
# stays in the socket, so that the caller has to wait. A disconnect behind it
# is noticed with the next request.
MAX_PIPELINED_BYTES = 65536
# Bytes that are parsed at a time. A request of a few bytes takes many times its
# size once it is parsed.
PARSED_BYTES = 4096
# Callers reuse idle connections for up to four fifths of the idle timeout. The
# host keeps them longer than the timeout, so that it doesn't close one to which
# a caller is sending a request.
IDLE_TIMEOUT_FACTOR = 1.25
# Time for which a connection that there is no room for is kept to refuse a
# request on it, in seconds.
SURPLUS_IDLE_S = 1.0
# Longest time for which a caller may go on to send after its last response, in
# seconds.
LINGER_S = 1.0

logger = structlog.get_logger(__name__)


def refusal_of(
    error: readers.MalformedMessageError,
) -> tuple[results.ResultCode, close_reasons.CloseReason]:
    """Returns how a request that can't be read is refused."""
    reasons = close_reasons.CloseReason
    if isinstance(error, readers.BodyTooLargeError):
        return results.BODY_TOO_LARGE, reasons.BODY_TOO_LARGE
    if isinstance(error, readers.HeaderTooLargeError):
        return results.HEADER_TOO_LARGE, reasons.HEADER_TOO_LARGE
    return results.MALFORMED_REQUEST, reasons.MALFORMED


class CallerConnection:
    """One connection of a caller.

    Args:
        sock: The connected socket.
        listener: Listener that accepted it.

    Attributes:
        surplus: Whether the listener has no room for the connection.
        rejected: Whether the request that is read in part was refused.
        served: Number of requests that were passed to the handler.
        idle: Whether no byte of a next request has been read.
        idle_since: Instant since which it waits for bytes, in seconds.
    """

    def __init__(
        self, sock: gevent_socket.socket, listener: listeners.CallerListener
    ) -> None:
        self.sock = sock
        self.listener = listener
        self.reader = limited_reader.LimitedReader(
            listener.limits, listener.await_policy, listener.clock
        )
        # Received and not parsed yet.
        self.pipelined = bytearray()
        self.closed = False
        self.surplus = False
        self.rejected = False
        self.served = 0
        self.idle = True
        self.idle_since = listener.clock.monotonic()
        self.cancellation: cancellations.Cancellation | None = None
        self.responder: responders.ConnectionResponder | None = None

    def close(self, reason: close_reasons.CloseReason) -> None:
        """Closes the connection; only the first reason is reported.

        What was read is dropped: the parser and the reader of requests refer to
        each other, so that only the garbage collector would free it.
        """
        if self.closed:
            return
        self.closed = True
        try:
            self.report_close(reason)
        finally:
            self.pipelined.clear()
            self.reader.clear()
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.sock.close()

    def set_surplus(self, surplus: bool) -> None:
        """Sets whether the listener has no room for the connection."""
        self.listener.surplus += surplus - self.surplus
        self.surplus = surplus

    def abort(self) -> None:
        """Closes the connection before the response is complete."""
        cancellation = self.cancellation
        if cancellation is not None and cancellation.cancelled:
            self.close(close_reasons.CloseReason.CALLER_CLOSED)
        else:
            self.close(close_reasons.CloseReason.ABORTED)

    def report_close(self, reason: close_reasons.CloseReason) -> None:
        """Counts a close; logs it if it isn't regular or loses a request."""
        self.listener.count_close(reason.value)
        regular = reason in close_reasons.REGULAR_REASONS
        unread = 0 if regular else self.read_rest()
        reader = self.reader
        responder = self.responder
        request_ids = [
            self.listener.request_id(request.fields)
            for request in reader.complete
        ]
        if reader.in_progress and not self.rejected:
            request_ids.append(self.listener.request_id(tuple(reader.fields)))
        # The end of a request whose caller has left is logged anyway.
        if not (
            responder is None or responder.finished or self.rejected or regular
        ):
            request_ids.append(responder.request_id)
        # A caller can tell that a request was not read after a response with
        # `Connection: close`.
        pipelined = len(self.pipelined)
        lost = bool(request_ids or unread or pipelined)
        if regular and not lost:
            return
        idle_s = self.listener.clock.monotonic() - self.idle_since
        log = logger.warning if lost else logger.info
        log(
            "connection of caller closed with a request unanswered"
            if lost
            else "connection of caller closed",
            reason=reason.value,
            served=self.served,
            idle_ms=round(idle_s * 1000) if self.idle else None,
            unanswered=request_ids,
            in_body=reader.in_body,
            unread_bytes=unread,
            pipelined_bytes=pipelined,
        )

    def read_rest(self) -> int:
        """Returns the number of bytes that arrived, up to `READ_SIZE`."""
        try:
            return len(client.read_arrived(self.sock) or b"")
        except OSError:
            # The caller has closed the connection.
            return 0

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            calls.CallerConnectionError: The caller disconnected or doesn't
                read, or the host has closed the connection.
        """
        if self.closed:
            raise calls.CallerConnectionError("the connection is closed")
        try:
            self.sock.settimeout(SEND_TIMEOUT_S)
            self.sock.sendall(data)
        except OSError as error:
            timed_out = isinstance(error, TimeoutError) and error.errno is None
            self.close(
                close_reasons.CloseReason.SEND_TIMEOUT
                if timed_out
                else close_reasons.CloseReason.SOCKET_ERROR
            )
            raise calls.CallerConnectionError(str(error)) from error

    def run(self) -> None:
        """Handles requests until the connection ends."""
        reason = close_reasons.CloseReason.ERROR
        try:
            while not self.closed:
                request = self.read_request()
                if request is None or not self.serve(request):
                    break
            reason = close_reasons.CloseReason.ANNOUNCED
            if not self.closed:
                self.linger()
        except calls.CallerConnectionError:
            reason = close_reasons.CloseReason.SOCKET_ERROR
        except Exception:
            logger.exception("caller connection failed")
        finally:
            self.close(reason)

    def read_request(self) -> messages.Request | None:
        """Returns the next request; None if the connection ends before it."""
        reader = self.reader
        clock = self.listener.clock
        try:
            since = self.idle_since = clock.monotonic()
            while not reader.complete:
                if reader.error is not None:
                    self.pipelined.clear()
                    raise reader.error
                if not self.pipelined:
                    self.idle = not reader.in_progress
                    data = self.receive(since)
                    if not data:
                        return None
                    if not reader.in_progress:
                        since = clock.monotonic()
                    self.pipelined += data
                self.idle = False
                data = bytes(self.pipelined[:PARSED_BYTES])
                del self.pipelined[:PARSED_BYTES]
                reader.read(data)
                if reader.expects_continue and not self.pipelined:
                    reader.expects_continue = False
                    self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        except readers.MalformedMessageError as error:
            code, reason = refusal_of(error)
            logger.info(
                "malformed request refused",
                request_id=self.listener.request_id(tuple(self.reader.fields)),
                reason=str(error),
            )
            self.reject(code, reason)
            return None
        self.idle = False
        return reader.complete.popleft()

    def receive(self, since: float) -> bytes:
        """Returns bytes from the caller; none once the connection is closed.

        Args:
            since: Instant from which the timeout counts, in seconds.
        """
        awaited = False
        while True:
            limits = self.listener.limits()
            limit = limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
            if self.surplus:
                limit = min(limit, SURPLUS_IDLE_S)
            reason = close_reasons.CloseReason.IDLE_TIMEOUT
            if self.reader.in_body:
                limit = limits.idle_timeout_s
                reason = close_reasons.CloseReason.BODY_TIMEOUT
            elif self.reader.in_progress:
                limit = limits.header_timeout_s
                reason = close_reasons.CloseReason.HEADER_TIMEOUT
            remaining = since + limit - self.listener.clock.monotonic()
            try:
                if remaining > 0:
                    self.sock.settimeout(remaining)
                    data: bytes | None = self.sock.recv(readers.READ_SIZE)
                else:
                    data = client.read_arrived(self.sock)
            except TimeoutError as error:
                if error.errno is None:
                    # A newer policy may have raised the timeout meanwhile.
                    continue
                self.close(close_reasons.CloseReason.SOCKET_ERROR)
                return b""
            except OSError:
                self.close(close_reasons.CloseReason.SOCKET_ERROR)
                return b""
            if data is None:
                if self.reader.in_progress and not awaited:
                    # Callers may know a raised limit before this host does.
                    awaited = True
                    self.listener.await_policy()
                    continue
                if self.reader.in_progress:
                    self.reject(results.HEADER_TIMEOUT, reason)
                self.close(reason)
                return b""
            if not data:
                self.close(close_reasons.CloseReason.CALLER_CLOSED)
            return data

    def close_unless_used(self, reason: close_reasons.CloseReason) -> bool:
        """Closes an idle connection unless a request has arrived.

        Returns:
            Whether the connection is closed.
        """
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        if poller.poll(0):
            return False
        self.close(reason)
        return True

    def reject(
        self, code: results.ResultCode, reason: close_reasons.CloseReason
    ) -> None:
        """Refuses a request that can't be read; ends the connection."""
        document = {
            "code": code.number,
            "name": code.name,
            "message": code.summary,
            "execution": code.execution.value,
        }
        responder = responders.ConnectionResponder(self, keep_alive=False)
        with contextlib.suppress(calls.CallerConnectionError):
            responder.respond(
                code.http_status,
                (("Content-Type", "application/json"),),
                msgspec.json.encode(document),
            )
            self.rejected = True
            self.linger()
        self.close(reason)

    def linger(self) -> None:
        """Waits until the caller has closed; drops what it still sends.

        A close with bytes unread resets the connection, and the caller, which
        may still be sending, then doesn't get the response.
        """
        deadline = self.listener.clock.monotonic() + LINGER_S
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while (
                left := deadline - self.listener.clock.monotonic()
            ) > 0 and not self.closed:
                self.sock.settimeout(left)
                if not self.sock.recv(readers.READ_SIZE):
                    return
        except OSError:
            # The caller has gone, or sends longer than the host waits.
            return

    def serve(self, request: messages.Request) -> bool:
        """Handles a request; returns whether the connection stays open."""
        cancellation = cancellations.Cancellation()
        self.cancellation = cancellation
        responder = responders.ConnectionResponder(self, request.keep_alive)
        responder.request_id = self.listener.request_id(request.fields)
        self.responder = responder
        if self.surplus and self.listener.has_room():
            self.set_surplus(False)
        responder.surplus = self.surplus
        self.served += 1
        watcher = self.watch()
        try:
            self.listener.handler.handle(request, responder, cancellation)
        except (Exception, gevent.Timeout):
            logger.exception(
                "handling of a request failed", request_id=responder.request_id
            )
            if not responder.started:
                self.reject(
                    results.INTERNAL_ERROR, close_reasons.CloseReason.ERROR
                )
        finally:
            if watcher is not None:
                watcher.stop()
                watcher.close()
        if not responder.finished:
            self.abort()
        self.cancellation = None
        if cancellation.cancelled:
            self.close(close_reasons.CloseReason.CALLER_CLOSED)
        self.responder = None
        return responder.keep_alive and not self.closed

    def watch(self) -> Any:
        """Watches for a disconnect; returns None if that isn't possible."""
        if len(self.pipelined) >= MAX_PIPELINED_BYTES:
            return None
        try:
            watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
            watcher.start(self.on_readable, watcher)
        except Exception:
            # The request is handled anyway.
            logger.exception("caller connection failed")
            return None
        return watcher

    def on_readable(self, watcher: object) -> None:
        """Detects a disconnected caller; buffers pipelined requests."""
        if self.closed:
            return
        room = MAX_PIPELINED_BYTES - len(self.pipelined)
        try:
            data = client.read_arrived(self.sock, room)
        except OSError:
            data = b""
        if data is None:
            return
        if data:
            self.pipelined += data
            if len(self.pipelined) < MAX_PIPELINED_BYTES:
                return
        watcher.stop()  # type: ignore[attr-defined]
        if not data and self.cancellation is not None:
            self.cancellation.cancel()
