"""Engines that may still hold memory of a request's ended attempts."""

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

    Addresses are kept, because the register may lose the engines.

    Args:
        cancel: Cancels the request at an address in the background and
            returns the greenlet that does it.
    """

    def __init__(self, cancel: Callable[[str], gevent.Greenlet]) -> None:
        self.cancel = cancel
        self.addresses: dict[str, str] = {}
        self.cancelling: set[str] = set()

    def mark(self, upstreams: Iterable[register.Upstream]) -> None:
        """Notes engines that an ended attempt was placed on."""
        for upstream in upstreams:
            self.addresses[upstream.name] = upstream.address

    def forget(self, names: Iterable[str]) -> None:
        """Drops engines on which the request must go on."""
        for name in names:
            self.addresses.pop(name, None)

    def forget_all(self) -> None:
        """Drops all engines; a finished answer holds no memory."""
        self.addresses.clear()

    def release(self, used: Collection[str] = ()) -> None:
        """Starts to cancel the request at all engines but the ones in use.

        At an engine in use the higher attempt replaces the lower.
        """
        for name in self.addresses.keys() - set(used):
            self.cancelling.add(name)
            task = self.cancel(self.addresses.pop(name))
            task.rawlink(lambda _task, name=name: self.cancelling.discard(name))
