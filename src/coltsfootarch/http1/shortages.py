"""Calls on open sockets that fail because this host lacks memory.

Such a failure tells nothing about the peer and leaves the connection as it is,
so that the call is tried again.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent import socket as gevent_socket

    from coltsfootarch import clock as clocks

ERRNOS = frozenset({errno.ENOMEM, errno.ENOBUFS})
# Time until a call is tried again, in seconds.
RETRY_S = 0.01


class ShortageError(Exception):
    """A call failed for lack of memory until its timeout.

    Args:
        error: The last failure.
        sent: Number of bytes that were sent.
    """

    def __init__(self, error: OSError, sent: int = 0) -> None:
        super().__init__(str(error))
        self.sent = sent


def is_shortage(error: OSError) -> bool:
    """Returns whether a call on an open socket failed for lack of memory."""
    return error.errno in ERRNOS


def ignore_shortage() -> None:
    """Doesn't record a shortage."""


def receive(
    sock: gevent_socket.socket,
    size: int,
    timeout: float,
    clock: clocks.Clock,
    record: Callable[[], object] = ignore_shortage,
) -> bytes:
    """Returns up to `size` bytes; none at the end of the connection.

    Args:
        sock: The socket.
        size: Largest number of bytes to read.
        timeout: Timeout in seconds, above 0.
        clock: Source of time.
        record: Records a failure that is tried again.

    Raises:
        ShortageError: This host lacked memory until the timeout.
        TimeoutError: Nothing arrived within the timeout.
        OSError: The connection failed.
    """
    deadline = clock.monotonic() + timeout
    while True:
        sock.settimeout(timeout)
        try:
            data: bytes = sock.recv(size)
        except OSError as error:
            if not is_shortage(error):
                raise
            record()
            timeout = deadline - clock.monotonic() - RETRY_S
            if timeout <= 0:
                raise ShortageError(error) from error
            gevent.sleep(RETRY_S)
        else:
            return data


def send(
    sock: gevent_socket.socket,
    data: bytes,
    timeout: float,
    clock: clocks.Clock,
    unsent_timeout: float | None = None,
    record: Callable[[], object] = ignore_shortage,
) -> None:
    """Sends all bytes.

    Args:
        sock: The socket.
        data: The bytes.
        timeout: Timeout in seconds, above 0.
        clock: Source of time.
        unsent_timeout: Longest wait in seconds for memory while nothing was
            sent; None for `timeout`.
        record: Records a failure that is tried again.

    Raises:
        ShortageError: This host lacked memory until the timeout.
        TimeoutError: The peer didn't read within the timeout.
        OSError: The connection failed.
    """
    started = clock.monotonic()
    left = timeout
    rest = memoryview(data)
    while rest:
        if left <= 0:
            raise TimeoutError("timed out")
        sock.settimeout(left)
        try:
            rest = rest[sock.send(rest) :]
        except OSError as error:
            if not is_shortage(error):
                raise
            record()
            sent = len(data) - len(rest)
            limit = timeout
            if not sent and unsent_timeout is not None:
                limit = min(timeout, unsent_timeout)
            left = started + limit - clock.monotonic() - RETRY_S
            if left <= 0:
                raise ShortageError(error, sent) from error
            gevent.sleep(RETRY_S)
        else:
            if rest:
                left = started + timeout - clock.monotonic()
