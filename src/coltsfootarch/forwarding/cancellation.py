"""Early end of a request: its caller has left, or the host stops."""

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

    Code that is about to block attaches a callback that wakes it up. It is also
    woken to respond at once when the host is about to exit.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self.callbacks: list[Callable[[], object]] = []
        self.exit_callbacks: list[Callable[[], object]] = []

    def cancel(self) -> None:
        """Marks the request as cancelled and calls all callbacks."""
        if self.cancelled:
            return
        self.cancelled = True
        for callback in tuple(self.callbacks):
            callback()

    def interrupt(self) -> None:
        """Wakes up all code that blocks, because the host is about to exit."""
        for callback in tuple(self.exit_callbacks):
            callback()

    def check(self) -> None:
        """Raises an error if the caller has disconnected.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        if self.cancelled:
            raise CallerDisconnectedError

    @contextlib.contextmanager
    def attached(
        self,
        wake: Callable[[], object],
        on_exit: Callable[[], object] | None = None,
    ) -> Iterator[None]:
        """Attaches a callback within the `with` block.

        Args:
            wake: Called if the caller disconnects.
            on_exit: Called if the host is about to exit; `wake` if not given.

        Raises:
            CallerDisconnectedError: The caller has already disconnected.
        """
        self.check()
        on_exit = on_exit or wake
        self.callbacks.append(wake)
        self.exit_callbacks.append(on_exit)
        try:
            yield
        finally:
            self.callbacks.remove(wake)
            self.exit_callbacks.remove(on_exit)
