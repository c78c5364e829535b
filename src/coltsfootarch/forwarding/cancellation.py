"""Cancellation of a request whose caller has disconnected."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


class CallerDisconnectedError(Exception):
    """The caller closed its connection; no response can be sent."""


class Cancellation:
    """Tells the code that runs a request that its caller has disconnected.

    Code that is about to block attaches a callback that wakes it up.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self.callbacks: list[Callable[[], object]] = []

    def cancel(self) -> None:
        """Marks the request as cancelled and calls all callbacks."""
        if self.cancelled:
            return
        self.cancelled = True
        for callback in tuple(self.callbacks):
            callback()

    def check(self) -> None:
        """Raises an error if the caller has disconnected.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        if self.cancelled:
            raise CallerDisconnectedError

    @contextlib.contextmanager
    def attached(self, wake: Callable[[], object]) -> Iterator[None]:
        """Calls `wake` if the caller disconnects within the `with` block.

        Raises:
            CallerDisconnectedError: The caller has already disconnected.
        """
        self.check()
        self.callbacks.append(wake)
        try:
            yield
        finally:
            self.callbacks.remove(wake)
