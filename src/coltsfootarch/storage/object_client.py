"""HTTP client of the object store."""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING

import urllib3

from coltsfootarch import errors
from coltsfootarch.storage import http_channel

if TYPE_CHECKING:
    import datetime

SUCCESS = (200, 201, 204)
NOT_FOUND = 404


class HttpObjectStore:
    """Implements `objects.ObjectStore`: PUT and GET of `/v1/objects/KEY`.

    Args:
        address: Address ("ip:port") of the store.
        timeout: Time limit for the head of an answer and for each silence
            within it; see `http_channel.HttpChannel`.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        self.channel = http_channel.HttpChannel(address, timeout)

    def put(self, key: str, data: bytes) -> None:
        """Stores an object and replaces an earlier one with the same key.

        Raises:
            ObjectStoreUnavailableError: The object may or may not have been
                stored.
        """
        answer = self.call("PUT", key, data)
        if answer.status not in SUCCESS:
            raise _unavailable_error(f"status {answer.status}")

    def get(self, key: str) -> bytes | None:
        """Returns the object with a key, or None if there is none.

        Raises:
            ObjectStoreUnavailableError: The store did not answer.
        """
        answer = self.call("GET", key)
        if answer.status == NOT_FOUND:
            return None
        if answer.status not in SUCCESS:
            raise _unavailable_error(f"status {answer.status}")
        return answer.body

    def close(self) -> None:
        """Closes the idle connections."""
        self.channel.close()

    def call(
        self, method: str, key: str, data: bytes | None = None
    ) -> http_channel.HttpAnswer:
        """Sends a request and returns the answer.

        Raises:
            ObjectStoreUnavailableError: The store did not answer.
        """
        path = f"/v1/objects/{urllib.parse.quote(key, safe='/')}"
        try:
            return self.channel.call(
                method, path, data, "application/octet-stream"
            )
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable_error(type(error).__name__) from error


def _unavailable_error(reason: str) -> errors.ObjectStoreUnavailableError:
    return errors.ObjectStoreUnavailableError(
        f"the object store did not answer ({reason}); try again later"
    )
