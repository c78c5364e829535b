"""A fresh connection that carries one request to an upstream."""

from __future__ import annotations

import contextlib
import http.client
import socket
from typing import TYPE_CHECKING

import gevent
import urllib3
import urllib3.connection

from coltsfootarch import errors

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterator
    from collections.abc import Mapping

    from coltsfootarch import clock as clock_module

READ_BYTES = 64 * 1024
# A socket timeout of 0 would switch the socket to non-blocking.
SHORTEST_TIMEOUT_SECONDS = 0.001


class Deadline:
    """Instant until which an upstream must have made progress.

    Args:
        clock: Source of time.
        timeout: Time from now.
    """

    def __init__(
        self, clock: clock_module.Clock, timeout: datetime.timedelta
    ) -> None:
        self.clock = clock
        self.timeout = timeout
        self.expires_at = 0.0
        self.restart()

    def restart(self) -> None:
        """Counts the time from now again."""
        self.expires_at = self.clock.monotonic() + self.timeout.total_seconds()

    def remaining(self) -> float:
        """Returns the seconds left.

        Raises:
            TimeoutError: None are left.
        """
        seconds = self.expires_at - self.clock.monotonic()
        if seconds <= 0:
            raise TimeoutError
        return max(seconds, SHORTEST_TIMEOUT_SECONDS)


class UpstreamConnection:
    """One TCP connection for one request; it is never used again.

    Args:
        address: Address ("ip:port") of the upstream.
        timeout: Limit for the connect.

    Raises:
        UpstreamConnectError: No connection could be made; nothing was sent.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.connection = urllib3.connection.HTTPConnection(
            host, int(port), timeout=timeout.total_seconds()
        )
        self.response: urllib3.BaseHTTPResponse | None = None
        try:
            self.connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self.connection.close()
            raise errors.UpstreamConnectError(
                f"no connection to upstream {address} ({type(error).__name__})"
            ) from error
        # http.client drops its reference when the answer closes the connection.
        self.socket: socket.socket = self.connection.sock

    def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        deadline: Deadline,
    ) -> urllib3.BaseHTTPResponse:
        """Sends the request and waits for the headers of the answer.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke or the answer is not HTTP.
        """
        # A socket timeout alone starts anew with each piece of the headers.
        with self.translated(), bounded(deadline):
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
        """Returns the next bytes of the answer, none at its end.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke before the end of the answer.
        """
        assert self.response is not None
        with self.translated():
            self.socket.settimeout(deadline.remaining())
            return self.response.read1(READ_BYTES, decode_content=False)

    def read_all(self, deadline: Deadline) -> bytes:
        """Returns the rest of the answer.

        Raises:
            UpstreamTimeoutError: The deadline passed.
            UpstreamError: The connection broke before the end of the answer.
        """
        parts = []
        while part := self.read(deadline):
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Closes the connection, also in the middle of an answer."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        if self.response is not None:
            self.response.close()
        self.connection.close()

    @contextlib.contextmanager
    def translated(self) -> Iterator[None]:
        """Translates errors of the connection.

        Raises:
            UpstreamTimeoutError: No progress was made in time.
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


def bounded(deadline: Deadline) -> contextlib.AbstractContextManager[object]:
    """Raises TimeoutError in the calling greenlet when the deadline passes."""
    timeout: contextlib.AbstractContextManager[object] = gevent.Timeout(
        deadline.remaining(), TimeoutError
    )
    return timeout
