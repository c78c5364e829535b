"""Last check before work is sent to an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.config import tracker
    from coltsfootarch.storage import host_list_watcher


class DispatchGuard:
    """Keeps new work from upstreams that are leaving.

    A host that was paused between admission and dispatch confirms its
    configuration and the host list here before it sends anything.

    Args:
        config_tracker: Configuration in force on this host.
        watcher: The platform's list of leaving machines.
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

        One confirmation holds for all of them, so that none leaves between
        the checks of two.
        """
        self.config_tracker.ensure_fresh()
        self.watcher.ensure_fresh()
        # A request whose key the confirmed configuration no longer has is
        # ended here, and not at its next wait, which may follow the sending.
        gevent.sleep(0)
        return [name for name in names if not self.is_active(name)]

    def is_active(self, name: str) -> bool:
        """Returns whether an upstream may get work as far as is known."""
        upstream = self.config_tracker.register.upstreams.get(name)
        if upstream is None:
            return False
        leaving = upstream.address in self.watcher.leaving()
        return upstream.state is register.UpstreamState.ACTIVE and not leaving
