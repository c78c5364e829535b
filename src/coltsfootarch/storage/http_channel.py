"""Pooled HTTP connections to one service of the platform."""

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
# More connections can be open while calls run concurrently; those are closed
# after use.
MAX_IDLE_CONNECTIONS = 4


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
        timeout: Time limit for a whole call.
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
            urllib3.exceptions.HTTPError: One of `CONNECT_ERRORS` if nothing
                was sent; another if the request may have been handled.
        """
        # The read timeout of urllib3 restarts with every part of an answer, so
        # it doesn't limit the whole call.
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
    """Returns `document` as JSON; bytes become base64 strings."""
    return msgspec.json.encode(document)
