"""Checks right before dispatch that an upstream may get new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.config import tracker
    from coltsfootarch.storage import host_list_watcher


class DispatchGuard:
    """Denies new work to upstreams that are inactive or being removed.

    The state of an upstream can change while a request waits between admission
    and dispatch, for example on a host whose process was paused. The
    configuration and the host list are therefore confirmed here again before
    anything is sent.

    Args:
        config_tracker: Configuration in force on this host.
        watcher: Platform's list of machines that are about to be removed.
    """

    def __init__(
        self,
        config_tracker: tracker.ConfigTracker,
        watcher: host_list_watcher.HostListWatcher,
    ) -> None:
        self.config_tracker = config_tracker
        self.watcher = watcher

    def allows(self, name: str) -> bool:
        """Returns whether an upstream may get new work now."""
        return not self.denied([name])

    def denied(self, names: Iterable[str]) -> list[str]:
        """Returns those upstreams that may not get new work now.

        All of them are checked against the same confirmed state, so that none
        changes between the checks of two.
        """
        self.config_tracker.ensure_fresh()
        self.watcher.ensure_fresh()
        # A request is ended while its greenlet waits. This yield ends a request
        # whose key the confirmed configuration no longer has before it is sent.
        gevent.sleep(0)
        return [name for name in names if not self.is_active(name)]

    def is_active(self, name: str) -> bool:
        """Returns whether the last known state allows an upstream new work."""
        upstream = self.config_tracker.register.upstreams.get(name)
        if upstream is None:
            return False
        being_removed = upstream.address in self.watcher.leaving_hosts()
        return (
            upstream.state is register.UpstreamState.ACTIVE
            and not being_removed
        )
