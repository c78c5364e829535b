"""HTTP connection to one service of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
import msgspec
import urllib3

if TYPE_CHECKING:
    import datetime

CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
# Idle connections kept; more can be open while calls run concurrently.
MAX_IDLE_CONNECTIONS = 4


class HttpAnswer(NamedTuple):
    """A complete answer of any status."""

    status: int
    body: bytes


class HttpChannel:
    """Pooled connections to one address.

    urllib3 closes a connection whose call failed or timed out, so only
    connections with a completely read answer are used again. No call is
    repeated.

    Args:
        address: "ip:port".
        timeout: Limit for a whole call.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        host, _, port = address.rpartition(":")
        self.timeout_seconds = timeout.total_seconds()
        self.address = address
        self.pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            timeout=urllib3.Timeout(total=self.timeout_seconds),
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/json",
    ) -> HttpAnswer:
        """Sends a request once and reads the whole answer.

        Raises:
            urllib3.exceptions.HTTPError: One of `CONNECT_ERRORS` when nothing
                was sent, any other when the request may have been handled.
        """
        # The timeouts of urllib3 start anew with each piece of an answer.
        with gevent.Timeout(self.timeout_seconds, TimeoutError):
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers={"Content-Type": content_type},
                retries=False,
                redirect=False,
            )
        return HttpAnswer(response.status, response.data)

    def close(self) -> None:
        """Closes the idle connections."""
        self.pool.close()


def encode_json(document: object) -> bytes:
    """Returns `document` as JSON; bytes become base64 text."""
    return msgspec.json.encode(document)
