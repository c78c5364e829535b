"""Connections to upstreams, each for a single request."""

from __future__ import annotations

import contextlib
import errno
import http.client
import socket
from typing import TYPE_CHECKING

import gevent
import urllib3

from coltsfootarch import errors
from coltsfootarch.http1 import fair_streams

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterator
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks

READ_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Smallest socket timeout; 0 would make the socket non-blocking.
SHORTEST_TIMEOUT_SECONDS = 0.001
# Errors of `connect` for which this host is the cause.
LOCAL_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOMEM,
        errno.ENOBUFS,
        errno.EADDRNOTAVAIL,
    }
)
# Errors of `connect` to a machine that doesn't reply; it may go on.
SILENT_ERRNOS = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH}
)


class Deadline:
    """Time limit for the progress of an upstream.

    Args:
        clock: Source of time.
        timeout: Time from now until the deadline passes.

    Attributes:
        expires_at: Monotonic time in seconds at which the deadline passes.
    """

    def __init__(
        self, clock: clocks.Clock, timeout: datetime.timedelta
    ) -> None:
        self.clock = clock
        self.timeout = timeout
        self.expires_at = 0.0
        self.restart()

    def restart(self) -> None:
        """Sets the deadline to `timeout` from now."""
        self.expires_at = self.clock.monotonic() + self.timeout.total_seconds()

    def remaining(self) -> float:
        """Returns the seconds until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        seconds = self.expires_at - self.clock.monotonic()
        if seconds <= 0:
            raise TimeoutError
        return max(seconds, SHORTEST_TIMEOUT_SECONDS)


class UpstreamConnection:
    """A TCP connection for one request; it is never reused.

    Args:
        address: Address ("ip:port") of the upstream.
        timeout: Limit for establishing the connection.

    Raises:
        UpstreamConnectError: The connection failed and nothing was sent; see
            its subclasses for the cause.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.connection = fair_streams.FairConnection(
            host, int(port), timeout=timeout.total_seconds()
        )
        self.response: urllib3.BaseHTTPResponse | None = None
        try:
            self.connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self.connection.close()
            raise connect_error_type(error)(
                f"no connection to upstream {address} ({type(error).__name__})"
            ) from error
        # http.client drops its own reference to the socket when the response
        # closes the connection.
        self.socket: socket.socket = self.connection.sock

    def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        deadline: Deadline,
    ) -> urllib3.BaseHTTPResponse:
        """Sends the request and returns the response once its headers are read.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke or the response is not HTTP.
        """
        # A socket timeout alone would restart with each received piece of the
        # headers.
        with self.translate_errors(), limit_time(deadline):
            self.socket.settimeout(deadline.remaining())
            self.connection.request(
                method,
                path,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            self.response = self.connection.getresponse()
        return self.response

    def read(self, deadline: Deadline) -> bytes:
        """Returns the next bytes of the response body; b"" at its end.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke before the end of the response.
        """
        assert self.response is not None
        with self.translate_errors():
            self.socket.settimeout(deadline.remaining())
            return self.response.read1(READ_BYTES, decode_content=False)

    def read_all(self, deadline: Deadline) -> bytes:
        """Returns the rest of the response body.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke before the end of the response,
                or the body is longer than `MAX_RESPONSE_BYTES`.
        """
        data = bytearray()
        while part := self.read(deadline):
            data += part
            if len(data) > MAX_RESPONSE_BYTES:
                raise errors.UpstreamError(
                    f"upstream {self.address} sent a body of more than "
                    f"{MAX_RESPONSE_BYTES} bytes"
                )
        return bytes(data)

    def close(self) -> None:
        """Closes the connection, even in the middle of a response."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        if self.response is not None:
            self.response.close()
        self.connection.close()

    @contextlib.contextmanager
    def translate_errors(self) -> Iterator[None]:
        """Translates connection errors raised in the block.

        Raises:
            UpstreamTimeoutError: The upstream made no progress in time.
            UpstreamError: The connection failed.
        """
        try:
            yield
        except (TimeoutError, urllib3.exceptions.TimeoutError) as error:
            raise errors.UpstreamTimeoutError(
                f"upstream {self.address} made no progress in time"
            ) from error
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            raise errors.UpstreamError(
                f"the connection to upstream {self.address} failed "
                f"({type(error).__name__})"
            ) from error


def limit_time(deadline: Deadline) -> contextlib.AbstractContextManager[object]:
    """Returns a context that raises TimeoutError when the deadline passes.

    The error is raised in the calling greenlet, also while it waits.
    """
    timeout: contextlib.AbstractContextManager[object] = gevent.Timeout(
        deadline.remaining(), TimeoutError
    )
    return timeout


def connect_error_type(
    error: Exception,
) -> type[errors.UpstreamConnectError]:
    """Returns the type of error that a failed connection attempt raises."""
    cause = error if isinstance(error, OSError) else error.__cause__
    code = cause.errno if isinstance(cause, OSError) else None
    if code in LOCAL_ERRNOS:
        return errors.LocalConnectError
    if isinstance(cause, TimeoutError) or code in SILENT_ERRNOS:
        return errors.UpstreamSilentError
    return errors.UpstreamConnectError
