"""HTTP client of plain services; each request uses a new connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import urllib3

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import messages
from coltsfootarch.upstreams import connection

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

# Header fields that the connection sets itself for each request.
FIELDS_SET_BY_CONNECTION = frozenset({"host", "content-length"})


class PlainRequest(NamedTuple):
    """A request to a plain service.

    Attributes:
        method: HTTP method.
        path: Path and query as sent to the service.
        headers: Header fields in order; a name can occur more than once.
        body: Complete body.
    """

    method: str
    path: str
    headers: Headers
    body: bytes


class PlainResponse(NamedTuple):
    """A complete response of any status, without hop-by-hop fields.

    Attributes:
        status: HTTP status code.
        headers: Header fields in order; a name can occur more than once.
        body: Complete body, still with its content coding.
    """

    status: int
    headers: Headers
    body: bytes


class PlainConnection:
    """A new connection on which nothing has been sent yet.

    Args:
        upstream: Open connection.
        clock: Source of time.
    """

    def __init__(
        self,
        upstream: connection.UpstreamConnection,
        clock: clocks.Clock,
    ) -> None:
        self.upstream = upstream
        self.clock = clock

    def send(
        self, request: PlainRequest, timeout: datetime.timedelta
    ) -> PlainResponse:
        """Sends the request once and returns the complete response.

        After any error the service may have run the request.

        Args:
            request: Request to send, without its hop-by-hop fields.
            timeout: Limit for the complete response.

        Raises:
            UpstreamTimeoutError: The response was not complete in time.
            UpstreamError: The connection broke or the response is not HTTP.
        """
        deadline = connection.Deadline(self.clock, timeout)
        fields = urllib3.HTTPHeaderDict()
        for name, value in end_to_end(request.headers):
            if name.lower() not in FIELDS_SET_BY_CONNECTION:
                fields.add(name, value)
        response = self.upstream.send(
            request.method,
            request.path,
            fields,
            request.body or None,
            deadline,
        )
        body = self.upstream.read_all(deadline)
        headers = end_to_end(response.headers.iteritems())
        return PlainResponse(response.status, headers, body)

    def close(self) -> None:
        """Closes the connection."""
        self.upstream.close()


class PlainConnector:
    """Connects to instances of plain services.

    Args:
        clock: Source of time; the system clock by default.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self.clock = clock or clocks.SystemClock()

    def connect(
        self, address: str, timeout: datetime.timedelta
    ) -> PlainConnection:
        """Returns a new connection without sending a request.

        Args:
            address: Address ("ip:port") of the instance.
            timeout: Limit for establishing the connection.

        Raises:
            UpstreamConnectError: The connection can't be established.
        """
        upstream = connection.UpstreamConnection(address, timeout)
        return PlainConnection(upstream, self.clock)


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns `headers` without the hop-by-hop fields.

    These are the standard ones and those named by `Connection` fields.
    """
    fields = tuple(headers)
    connection_fields = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = messages.HOP_BY_HOP | connection_fields
    return tuple(field for field in fields if field[0].lower() not in dropped)
