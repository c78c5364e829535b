"""One connection of a caller: reads requests, detects a disconnect."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch import results
from coltsfootarch.forwarding import caller_socket
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation as cancellations
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.forwarding import close_reports
from coltsfootarch.forwarding import disconnect_watch
from coltsfootarch.forwarding import limited_reader
from coltsfootarch.forwarding import pipelined_bytes
from coltsfootarch.forwarding import read_refusals
from coltsfootarch.forwarding import responder as responders
from coltsfootarch.http1 import readers
from coltsfootarch.http1 import turns

if TYPE_CHECKING:
    from gevent import socket as gevent_socket

    from coltsfootarch.forwarding import listener as listeners
    from coltsfootarch.http1 import messages

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
# Longest wait for a newer policy before an idle connection is closed, and the
# pause between two looks for one, in seconds. Most hosts have a new version
# within a second.
POLICY_WAIT_S = 1.0
POLICY_POLL_S = 0.1

logger = structlog.get_logger(__name__)


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
        socket_error: The last error of the socket; empty if there was none.
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
        self.pipelined = pipelined_bytes.PipelinedBytes()
        self.holding = listener.memory.open(self.give_up)
        self.turn = turns.ReadTurn(listener.clock)
        self.closed = False
        self.surplus = False
        self.rejected = False
        self.served = 0
        self.socket_error = ""
        self.idle = True
        self.idle_since = listener.clock.monotonic()
        self.cancellation: cancellations.Cancellation | None = None
        # Waits for a newer policy once the idle timeout is over.
        self.policy_waiter: gevent.Greenlet | None = None
        self.responder: responders.ConnectionResponder | None = None

    @property
    def has_next_request(self) -> bool:
        """Whether bytes behind the request in progress have been read."""
        return self.reader.has_requests or len(self.pipelined) > 0

    def close(self, reason: close_reasons.CloseReason) -> None:
        """Closes the connection; only the first reason is reported.

        What was read is dropped: the parser and the reader of requests refer to
        each other, so that only the garbage collector would free it.
        """
        if self.closed:
            return
        self.closed = True
        try:
            close_reports.report_close(self, reason)
        except Exception:
            logger.exception(
                "close of a caller's connection not reported",
                reason=reason.value,
            )
        self.drop_requests()
        if not self.holding.handled:
            self.holding.close()
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def drop_requests(self) -> None:
        """Drops what has been read and isn't handled."""
        self.pipelined.clear()
        self.reader.clear()

    def give_up(self) -> None:
        """Drops what has been read; it is refused when more arrives."""
        memory = self.listener.memory
        logger.warning(
            "request given up: memory for requests is full",
            request_id=self.request_id(self.reader.next_fields()),
            bytes=self.holding.size,
            used_bytes=memory.used,
            limit_bytes=memory.capacity,
        )
        self.drop_requests()

    def record_held(self) -> None:
        """Records the memory of what has been read and isn't handled.

        Others may be given up for it, or it for others.
        """
        self.holding.resize(len(self.pipelined) + self.reader.held_bytes())

    def buffer(self, data: bytes) -> None:
        """Keeps bytes behind the request that is handled."""
        self.pipelined.append(data, self.listener.clock.monotonic())
        self.holding.resize(self.holding.size + len(data))

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

    def request_id(self, fields: messages.Fields) -> str:
        """Returns a request's id; empty if there is none."""
        try:
            return self.listener.request_id(fields)
        except Exception:
            logger.exception("request id not read")
            return ""

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            calls.CallerConnectionError: The caller disconnected or doesn't
                read, or the host has closed the connection or lacks memory.
        """
        if self.closed:
            raise calls.CallerConnectionError("the connection is closed")
        try:
            caller_socket.send(self.sock, data, self.listener.clock)
        except caller_socket.CallerSocketError as error:
            self.socket_error = str(error)
            self.close(error.reason)
            raise calls.CallerConnectionError(str(error)) from error

    def run(self) -> None:
        """Handles requests until the connection ends."""
        reason = close_reasons.CloseReason.ERROR
        try:
            while not self.closed and self.serve_next():
                pass
            reason = close_reasons.CloseReason.ANNOUNCED
            if not self.closed:
                self.linger()
        except calls.CallerConnectionError:
            reason = close_reasons.CloseReason.SOCKET_ERROR
        except Exception:
            logger.exception("caller connection failed")
            if self.responder is not None and not self.responder.started:
                self.reject(results.INTERNAL_ERROR, reason)
        finally:
            self.close(reason)

    def serve_next(self) -> bool:
        """Serves the next request, which isn't kept beyond its response.

        Returns:
            Whether the connection stays open.
        """
        request = self.read_request()
        if request is None:
            return False
        self.holding.handled = True
        try:
            stays_open = self.serve(request)
        finally:
            del request
            self.holding.handled = False
            if self.closed:
                self.holding.close()
        self.record_held()
        return stays_open

    def read_request(self) -> messages.Request | None:
        """Returns the next request; None if the connection ends before it."""
        reader = self.reader
        clock = self.listener.clock
        try:
            self.turn.share()
            since = self.idle_since = clock.monotonic()
            self.policy_waiter = None
            while not reader.complete:
                self.turn.share()
                if self.holding.given_up:
                    self.reject(
                        results.OVERLOADED, close_reasons.CloseReason.NO_MEMORY
                    )
                    return None
                reader.settle()
                if reader.error is not None:
                    self.pipelined.clear()
                    raise reader.error
                if reader.complete:
                    break
                if not self.pipelined:
                    if reader.expects_continue:
                        reader.expects_continue = False
                        self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
                    self.idle = not reader.has_requests
                    if not self.receive_more(since):
                        return None
                    continue
                begun = reader.in_progress
                reader.parse_next(*self.pipelined.take(PARSED_BYTES))
                self.record_held()
                if reader.in_progress and not begun:
                    # Empty lines before a request don't begin it.
                    since = clock.monotonic()
        except readers.MalformedMessageError as error:
            code, reason = read_refusals.refusal_of(error)
            logger.info(
                "malformed request refused",
                request_id=self.request_id(reader.next_fields()),
                reason=str(error),
            )
            self.reject(code, reason)
            return None
        except calls.CallerConnectionError:
            raise
        except Exception:
            logger.exception(
                "request not read",
                request_id=self.request_id(reader.next_fields()),
            )
            self.refuse_unread(
                results.REQUEST_NOT_READ, close_reasons.CloseReason.ERROR
            )
            return None
        self.idle = False
        return reader.complete.popleft()

    def receive_more(self, since: float) -> bool:
        """Receives bytes; returns False once the connection is closed.

        They are kept in `pipelined` only, which is freed with the connection.

        Args:
            since: Instant from which the timeout counts, in seconds.
        """
        data = self.receive(since)
        if data:
            self.idle = False
            self.turn.record(len(data))
            self.pipelined.append(data, self.listener.clock.monotonic())
        return bool(data)

    def receive(self, since: float) -> bytes:
        """Returns bytes from the caller; none once the connection is closed.

        Args:
            since: Instant from which the timeout counts, in seconds.
        """
        awaited = False
        while True:
            limit, reason = self.time_limit()
            remaining = since + limit - self.listener.clock.monotonic()
            is_kept = not (self.reader.in_progress or self.surplus)
            if remaining <= 0 and is_kept:
                waiter = self.policy_waiter
                remaining = self.listener.keep_idle_s()
                if remaining:
                    self.policy_waiter = None
                elif waiter is not None and not waiter.ready():
                    remaining = POLICY_POLL_S
            data = self.read_socket(remaining)
            if data == b"":
                self.close(close_reasons.CloseReason.CALLER_CLOSED)
            if data is not None:
                return data
            if remaining > 0:
                # A newer policy may have raised the timeout meanwhile.
                continue
            # Callers may know a raised limit before this host does.
            if is_kept and self.policy_waiter is None:
                # A request that arrives meanwhile must not wait for it.
                self.policy_waiter = gevent.spawn(self.await_policy)
                continue
            if self.reader.in_progress and not awaited:
                awaited = True
                self.listener.await_policy()
                continue
            if self.reader.in_progress:
                self.reject(results.HEADER_TIMEOUT, reason)
            self.close(reason)
            return b""

    def await_policy(self) -> None:
        """Waits for a newer policy before an idle connection is closed."""
        with gevent.Timeout(POLICY_WAIT_S, False):
            self.listener.await_policy()

    def time_limit(self) -> tuple[float, close_reasons.CloseReason]:
        """Returns the longest wait for bytes, in seconds, and its name."""
        limits = self.listener.limits()
        if self.reader.in_body:
            return limits.idle_timeout_s, close_reasons.CloseReason.BODY_TIMEOUT
        if self.reader.in_progress:
            return (
                limits.header_timeout_s,
                close_reasons.CloseReason.HEADER_TIMEOUT,
            )
        limit = limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
        if self.surplus:
            limit = min(limit, SURPLUS_IDLE_S)
        return limit, close_reasons.CloseReason.IDLE_TIMEOUT

    def read_socket(self, timeout: float) -> bytes | None:
        """Reads from the socket; ends the connection if it failed.

        Args:
            timeout: Longest wait in seconds; without one, only what has
                arrived is read.

        Returns:
            The bytes; none at the end of the connection. None after the
            timeout.
        """
        try:
            return caller_socket.read(self.sock, timeout, self.listener.clock)
        except caller_socket.CallerSocketError as error:
            self.socket_error = str(error)
            if error.reason is close_reasons.CloseReason.NO_MEMORY:
                self.refuse_unread(results.OVERLOADED, error.reason)
            self.close(error.reason)
            return b""

    def refuse_unread(
        self, code: results.ResultCode, reason: close_reasons.CloseReason
    ) -> None:
        """Ends the connection; refuses the request that is read, if any."""
        if self.reader.in_progress or self.reader.error is not None:
            self.reject(code, reason)
        self.close(reason)

    def close_unless_used(self, reason: close_reasons.CloseReason) -> bool:
        """Closes an idle connection unless a request has arrived.

        Returns:
            Whether the connection is closed.
        """
        if caller_socket.has_arrived(self.sock):
            return False
        self.close(reason)
        return True

    def reject(
        self, code: results.ResultCode, reason: close_reasons.CloseReason
    ) -> None:
        """Refuses a request that can't be read; ends the connection."""
        responder = responders.ConnectionResponder(self, keep_alive=False)
        with contextlib.suppress(calls.CallerConnectionError):
            responder.respond(
                code.http_status,
                (("Content-Type", "application/json"),),
                read_refusals.body(code),
            )
            self.rejected = True
            self.linger()
        self.close(reason)

    def linger(self) -> None:
        """Waits until the caller has closed; see `caller_socket.linger`."""
        caller_socket.linger(
            self.sock, self.listener.clock, lambda: self.closed
        )

    def serve(self, request: messages.Request) -> bool:
        """Handles a request; returns whether the connection stays open."""
        cancellation = cancellations.Cancellation()
        self.cancellation = cancellation
        responder = responders.ConnectionResponder(self, request.keep_alive)
        self.responder = responder
        responder.request_id = self.request_id(request.fields)
        if self.surplus and self.listener.has_room():
            self.set_surplus(False)
        responder.surplus = self.surplus
        self.served += 1
        watch = disconnect_watch.DisconnectWatch(self, cancellation)
        watch.start()
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
            watch.close()
        if not responder.finished:
            self.abort()
        self.cancellation = None
        if cancellation.cancelled:
            self.close(close_reasons.CloseReason.CALLER_CLOSED)
        self.responder = None
        return responder.keep_alive and not self.closed
