"""Pooled HTTP connections to one service of the platform."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
import msgspec
import urllib3

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import fair_streams
from coltsfootarch.http1 import transfers

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterator

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
# More connections can be open while calls run concurrently; those are closed
# after use.
MAX_IDLE_CONNECTIONS = 4
READ_BYTES = 64 * 1024
# Answers grow with the register and its history, and links differ in speed. An
# answer that arrives at a lower rate counts as stalled.
MIN_BYTES_PER_S = 32 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class HttpAnswer(NamedTuple):
    """A completely read answer of any status."""

    status: int
    body: bytes


class HttpChannel:
    """Pooled connections to one address.

    urllib3 closes a connection whose call failed or timed out, so only
    connections with a completely read answer are reused. No call is repeated.

    Args:
        address: Address ("ip:port") of the service.
        timeout: Time limit from sending a call to the head of its answer, and
            for each silence within the answer.
        clock: Source of time; the system clock by default.
    """

    def __init__(
        self,
        address: str,
        timeout: datetime.timedelta,
        clock: clocks.Clock | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.timeout_seconds = timeout.total_seconds()
        self.address = address
        self.clock = clock or clocks.SystemClock()
        self.limits = transfers.TransferLimits(
            self.timeout_seconds,
            self.timeout_seconds,
            MIN_BYTES_PER_S,
            MAX_ANSWER_BYTES,
        )
        self.pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            timeout=urllib3.Timeout(total=self.timeout_seconds),
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
        )
        self.pool.ConnectionCls = fair_streams.FairConnection

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/json",
    ) -> HttpAnswer:
        """Sends a request once and reads the whole answer.

        Raises:
            urllib3.exceptions.HTTPError: One of `CONNECT_ERRORS` if nothing
                was sent; another if the request may have been handled.
        """
        progress = transfers.Progress(self.clock, self.limits)
        # The timeout of urllib3 restarts with every part of an answer, so it
        # doesn't limit the head.
        with limit_time(progress):
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers={"Content-Type": content_type},
                retries=False,
                redirect=False,
                preload_content=False,
            )
        try:
            data = self.read_body(response, progress)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return HttpAnswer(response.status, data)

    def read_body(
        self,
        response: urllib3.BaseHTTPResponse,
        progress: transfers.Progress,
    ) -> bytes:
        """Reads a body of any size as long as it keeps arriving.

        Raises:
            urllib3.exceptions.HTTPError: The body stopped arriving, is
                incomplete or too long.
        """
        data = bytearray()
        progress.record(0)
        while True:
            with limit_time(progress):
                part = response.read1(READ_BYTES)
            if not part:
                return bytes(data)
            data += part
            try:
                progress.record(len(part))
            except transfers.ResponseTooLargeError as error:
                raise urllib3.exceptions.ResponseError(str(error)) from error

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()


@contextlib.contextmanager
def limit_time(progress: transfers.Progress) -> Iterator[None]:
    """Limits the block to the time in which more bytes must arrive.

    Raises:
        TimeoutError: The time has passed. It is raised where urllib3 waits on
            the socket, which makes it a `ReadTimeoutError`.
    """
    with gevent.Timeout(max(progress.time_left(), 0.0), TimeoutError):
        yield


def encode_json(document: object) -> bytes:
    """Returns `document` as JSON; bytes become base64 strings."""
    return msgspec.json.encode(document)
