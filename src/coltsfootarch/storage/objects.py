"""Interface of the platform's object store."""

from __future__ import annotations

from typing import Protocol


class ObjectStore(Protocol):
    """Objects of bytes by key."""

    def put(self, key: str, data: bytes) -> None:
        """Stores an object, replacing an earlier one.

        Raises:
            ObjectStoreUnavailableError: The object may or may not have been
                stored.
        """

    def get(self, key: str) -> bytes | None:
        """Returns the object, or None where there is none.

        Raises:
            ObjectStoreUnavailableError: The store did not answer.
        """
