"""HTTP client of plain services; each request has its own connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import urllib3

from coltsfootarch import clock as clock_module
from coltsfootarch.http1 import messages
from coltsfootarch.upstreams import connection

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterable

Headers = tuple[tuple[str, str], ...]

# Fields that each connection sets anew.
SET_BY_CONNECTION = frozenset({"host", "content-length"})


class PlainRequest(NamedTuple):
    """A request to a plain service.

    Attributes:
        method: HTTP method.
        path: Path with its query, as the service sees it.
        headers: Header fields in order; a name can occur more than once.
        body: Complete body.
    """

    method: str
    path: str
    headers: Headers
    body: bytes


class PlainResponse(NamedTuple):
    """A complete answer of any status, without hop-by-hop fields.

    Attributes:
        status: HTTP status.
        headers: Header fields in order; a name can occur more than once.
        body: Complete body with its content coding.
    """

    status: int
    headers: Headers
    body: bytes


class PlainConnection:
    """A fresh connection on which nothing has been sent yet.

    Args:
        upstream: Open connection.
        clock: Source of time.
    """

    def __init__(
        self,
        upstream: connection.UpstreamConnection,
        clock: clock_module.Clock,
    ) -> None:
        self.upstream = upstream
        self.clock = clock

    def send(
        self, request: PlainRequest, timeout: datetime.timedelta
    ) -> PlainResponse:
        """Sends the request once and reads the whole answer.

        Every error means that the service may have run the request.

        Args:
            request: What to send; its hop-by-hop fields are left out.
            timeout: Limit for the whole answer.

        Raises:
            UpstreamTimeoutError: The answer was not complete in time.
            UpstreamError: The connection broke or the answer is not HTTP.
        """
        deadline = connection.Deadline(self.clock, timeout)
        fields = urllib3.HTTPHeaderDict()
        for name, value in end_to_end(request.headers):
            if name.lower() not in SET_BY_CONNECTION:
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
        clock: Source of time; that of the operating system when not given.
    """

    def __init__(self, clock: clock_module.Clock | None = None) -> None:
        self.clock = clock or clock_module.SystemClock()

    def connect(
        self, address: str, timeout: datetime.timedelta
    ) -> PlainConnection:
        """Opens a fresh connection and sends nothing.

        Args:
            address: Address ("ip:port") of the instance.
            timeout: Limit for the connect.

        Raises:
            UpstreamConnectError: The connection can't be made.
        """
        upstream = connection.UpstreamConnection(address, timeout)
        return PlainConnection(upstream, self.clock)


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns `headers` without the hop-by-hop fields."""
    fields = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = messages.HOP_BY_HOP | named
    return tuple(field for field in fields if field[0].lower() not in dropped)
