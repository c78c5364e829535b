"""HTTP client of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

import msgspec
import urllib3

from coltsfootarch import errors
from coltsfootarch.storage import host_list
from coltsfootarch.storage import http_channel

if TYPE_CHECKING:
    import datetime

OK = 200


class HostListAnswer(TypedDict):
    """JSON answer to `GET /v1/hosts`; addresses are "ip:port"."""

    live: list[str]
    leaving: list[str]


class HttpHostList:
    """Implements `host_list.HostList` over HTTP: `GET /v1/hosts`.

    Args:
        address: Address ("ip:port") of the service.
        timeout: Time limit for the head of an answer and for each silence
            within it; see `http_channel.HttpChannel`.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        self.channel = http_channel.HttpChannel(address, timeout)

    def fetch(self) -> host_list.HostListSnapshot:
        """Returns the current list.

        Raises:
            HostListUnavailableError: The platform did not answer.
        """
        try:
            answer = self.channel.call("GET", "/v1/hosts")
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable_error(type(error).__name__) from error
        if answer.status != OK:
            raise _unavailable_error(f"status {answer.status}")
        try:
            document = msgspec.json.decode(answer.body, type=HostListAnswer)
        except msgspec.DecodeError as error:
            raise _unavailable_error("the answer can't be decoded") from error
        return host_list.HostListSnapshot(
            frozenset(document["live"]), frozenset(document["leaving"])
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self.channel.close()


def _unavailable_error(reason: str) -> errors.HostListUnavailableError:
    return errors.HostListUnavailableError(
        f"the host list can't be read ({reason}); the last one stays in use"
    )
