"""Calls on the socket of a caller, with the reasons of their failures."""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING

from gevent import monkey

from coltsfootarch.forwarding import close_reasons
from coltsfootarch.http1 import client
from coltsfootarch.http1 import shortages
from coltsfootarch.http1 import turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket as gevent_socket

    from coltsfootarch import clock as clocks

# Largest number of bytes read from a caller at once. A host has many callers.
READ_BYTES = 16 * 1024
# Timeout of writing to a caller that doesn't read, in seconds. Its connection
# is then closed.
SEND_TIMEOUT_S = 10.0
# Longest time for which a caller may go on to send after its last response, in
# seconds.
LINGER_S = 1.0


class CallerSocketError(Exception):
    """A call on the socket failed.

    Args:
        error: The failure.

    Attributes:
        reason: Reason for which the connection ends.
    """

    def __init__(self, error: Exception) -> None:
        super().__init__(str(error))
        self.reason = close_reasons.CloseReason.SOCKET_ERROR
        if isinstance(error, shortages.ShortageError) or (
            isinstance(error, OSError) and shortages.is_shortage(error)
        ):
            self.reason = close_reasons.CloseReason.NO_MEMORY
        elif is_timeout(error):
            self.reason = close_reasons.CloseReason.SEND_TIMEOUT


def has_hung_up(sock: gevent_socket.socket) -> bool:
    """Returns whether the caller has closed, also behind unread bytes."""
    # That of gevent doesn't know POLLRDHUP.
    poller = monkey.get_original("select", "poll")()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def is_timeout(error: Exception) -> bool:
    """Returns whether an error is the timeout of a call, not the system's."""
    return isinstance(error, TimeoutError) and error.errno is None


def send(sock: gevent_socket.socket, data: bytes, clock: clocks.Clock) -> None:
    """Sends bytes to the caller.

    Raises:
        CallerSocketError: They can't be sent.
    """
    try:
        shortages.send(sock, data, SEND_TIMEOUT_S, clock)
    except (OSError, shortages.ShortageError) as error:
        raise CallerSocketError(error) from error


def read(
    sock: gevent_socket.socket, timeout: float, clock: clocks.Clock
) -> bytes | None:
    """Reads bytes from the caller.

    Args:
        sock: The socket.
        timeout: Longest wait in seconds; without one, only what has arrived is
            read.
        clock: Source of time.

    Returns:
        The bytes; none at the end of the connection. None after the timeout.

    Raises:
        CallerSocketError: Nothing can be read.
    """
    try:
        if timeout <= 0:
            return client.read_arrived(sock, READ_BYTES)
        return shortages.receive(sock, READ_BYTES, timeout, clock)
    except (OSError, shortages.ShortageError) as error:
        if is_timeout(error):
            return None
        raise CallerSocketError(error) from error


def has_arrived(sock: gevent_socket.socket) -> bool:
    """Returns whether bytes, or the end, of the connection can be read.

    It doesn't switch to another greenlet, which might read a request just then;
    `select.poll` does where gevent has replaced it.
    """
    try:
        sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        # The greenlet that reads finds the error.
        return True
    return True


def linger(
    sock: gevent_socket.socket,
    clock: clocks.Clock,
    is_closed: Callable[[], bool],
) -> None:
    """Waits until the caller has closed; drops what it still sends.

    A close with bytes unread resets the connection, and the caller, which may
    still be sending, then doesn't get the response.

    Args:
        sock: The socket.
        clock: Source of time.
        is_closed: Returns whether this host has closed it meanwhile.
    """
    deadline = clock.monotonic() + LINGER_S
    turn = turns.ReadTurn(clock)
    try:
        sock.shutdown(socket.SHUT_WR)
        while (left := deadline - clock.monotonic()) > 0 and not is_closed():
            # Only the number is kept while the next bytes are awaited.
            size = len(shortages.receive(sock, READ_BYTES, left, clock))
            if not size:
                return
            turn.record(size)
            turn.share()
    except (OSError, shortages.ShortageError):
        # The caller has gone, or sends longer than the host waits.
        return
