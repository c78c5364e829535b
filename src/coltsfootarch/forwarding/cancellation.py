"""Signal that a caller has left."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


class CallerLeftError(Exception):
    """The caller closed its connection; nothing more is sent for it."""


class Cancellation:
    """Tells a request's work that its caller has left.

    Work that blocks attaches a function that wakes it.
    """

    def __init__(self) -> None:
        self.cancelled = False
        self.callbacks: list[Callable[[], object]] = []

    def cancel(self) -> None:
        """Marks the caller as gone and wakes whatever blocks."""
        if self.cancelled:
            return
        self.cancelled = True
        for callback in tuple(self.callbacks):
            callback()

    def check(self) -> None:
        """Raises if the caller has left.

        Raises:
            CallerLeftError: The caller has left.
        """
        if self.cancelled:
            raise CallerLeftError

    @contextlib.contextmanager
    def attached(self, wake: Callable[[], object]) -> Iterator[None]:
        """Calls `wake` when the caller leaves during the block.

        Raises:
            CallerLeftError: The caller has left already.
        """
        self.check()
        self.callbacks.append(wake)
        try:
            yield
        finally:
            self.callbacks.remove(wake)
