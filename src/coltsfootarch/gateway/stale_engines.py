"""Tracks engines that may hold memory of a request's ended attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    import gevent

    from coltsfootarch.config import register


class StaleEngines:
    """Engines at which one request is still to be cancelled.

    Addresses are kept, because an edit may remove engines from the register.

    Args:
        cancel: Cancels the request at an address in the background and
            returns the greenlet that runs the cancellation.

    Attributes:
        addresses: Addresses of engines to cancel at, by engine name.
        cancelling: Names of engines at which a cancellation is in progress.
    """

    def __init__(self, cancel: Callable[[str], gevent.Greenlet]) -> None:
        self.cancel = cancel
        self.addresses: dict[str, str] = {}
        self.cancelling: set[str] = set()

    def add(self, upstreams: Iterable[register.Upstream]) -> None:
        """Adds engines that an ended attempt was placed on."""
        for upstream in upstreams:
            self.addresses[upstream.name] = upstream.address

    def discard(self, names: Iterable[str]) -> None:
        """Removes engines on which the request must continue."""
        for name in names:
            self.addresses.pop(name, None)

    def clear(self) -> None:
        """Removes all engines, because a finished answer holds no memory."""
        self.addresses.clear()

    def cancel_unused(self, used: Collection[str] = ()) -> None:
        """Starts to cancel the request at all engines but those in `used`.

        An engine in use replaces the old attempt by the new one by itself,
        because the new attempt has a higher number.
        """
        for name in self.addresses.keys() - set(used):
            self.cancelling.add(name)
            task = self.cancel(self.addresses.pop(name))
            task.rawlink(lambda _task, name=name: self.cancelling.discard(name))
