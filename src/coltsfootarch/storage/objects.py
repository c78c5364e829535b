"""Interface of the platform's object store."""

from __future__ import annotations

from typing import Protocol


class ObjectStore(Protocol):
    """Stores byte strings by key."""

    def put(self, key: str, data: bytes) -> None:
        """Stores an object and replaces an earlier one with the same key.

        Raises:
            ObjectStoreUnavailableError: The object may or may not have been
                stored.
        """

    def get(self, key: str) -> bytes | None:
        """Returns the object with a key, or None if there is none.

        Raises:
            ObjectStoreUnavailableError: The store did not answer.
        """
