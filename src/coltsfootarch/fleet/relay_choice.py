"""Decides whether a host relays state, and which relay it joins otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import topology

# Silence after which a member joins another relay, and the time that a relay
# has to answer a host that joins.
RELAY_TIMEOUT_S = 0.8
# Interval at which a member asks whether the relay that it prefers is back.
PROBE_INTERVAL_S = 2.0
# Time without a relay after which a host takes part as one.
UNATTACHED_S = 1.0

logger = structlog.get_logger(__name__)


class RelayChoice:
    """Role of one host in the exchange through relays.

    A host relays if it is among the relays of its zone, if another host has
    joined it, or if it has found no relay.

    Args:
        own: Name of this host.
        relays: Relays of each zone.
        clock: Source of time.
        heard_relay: Returns a relay of this zone that answers a relaying host
            and that it may join; None without one.

    Attributes:
        relay: Relay that includes this host in its sums; None without one.
        joining: Relay that this host tries to join; None for none.
        relaying: Whether this host relays.
        previous: Relay that this host leaves once another one includes it;
            None for none.
        probed: Host that was asked whether it answers; None for none.
    """

    def __init__(
        self,
        own: str,
        relays: topology.Topology,
        clock: clocks.Clock,
        heard_relay: Callable[[], str | None],
    ) -> None:
        self.own = own
        self.topology = relays
        self.clock = clock
        self.heard_relay = heard_relay
        self.relay: str | None = None
        self.previous: str | None = None
        self.joining: str | None = None
        self.joining_since = 0.0
        self.relaying = False
        self.unattached_since: float | None = None
        self.probed: str | None = None
        self.probed_at = float("-inf")

    def update(self, has_members: bool, heard_at: float) -> None:
        """Updates the role.

        Args:
            has_members: Whether other hosts have joined this one.
            heard_at: Instant of the last message of `relay`, in seconds.
        """
        now = self.clock.monotonic()
        if self.relay is not None and now - heard_at > RELAY_TIMEOUT_S:
            logger.info("relay does not answer", relay=self.relay)
            self.topology.record_failure(self.relay)
            self.relay = None
        if has_members or self.topology.own_relay() == self.own:
            self.relay = self.joining = self.unattached_since = None
            self.relaying = True
            return
        if self.relay is not None:
            self.unattached_since = None
            self.relaying = False
            return
        if self.unattached_since is None:
            self.unattached_since = now
        if now - self.unattached_since > UNATTACHED_S:
            self.relaying = True
        self.choose_relay_to_join(now)

    def choose_relay_to_join(self, now: float) -> None:
        """Chooses the relay to join; replaces one that didn't answer."""
        if self.joining is not None and (
            now - self.joining_since > RELAY_TIMEOUT_S
        ):
            self.topology.record_failure(self.joining)
            self.joining = None
        if self.joining is None:
            self.joining = self.heard_relay() or self.topology.own_relay()
            self.joining_since = now

    def next_probe(self) -> str | None:
        """Returns the host to ask whether it answers; None if none is due.

        A member asks the relay that it prefers, if it has another one. A
        relaying host asks the relay that it would join, which must not include
        it in its sums before it is known to answer.
        """
        now = self.clock.monotonic()
        if self.relaying:
            if self.joining is not None:
                self.probed = self.joining
            return self.joining
        preferred = self.topology.own_relay()
        if (
            self.relay is None
            or preferred in (self.relay, self.own)
            or now - self.probed_at <= PROBE_INTERVAL_S
        ):
            return None
        self.probed = preferred
        self.probed_at = now
        return preferred

    def record_probe_answer(self, name: str, has_members: bool) -> None:
        """Joins the host that has answered a probe, if it is still wanted."""
        if name != self.probed:
            return
        self.probed = None
        wanted = (self.joining, self.topology.own_relay())
        if has_members or name not in wanted or name == self.own:
            return
        self.previous, self.relay, self.joining = self.relay, None, name
        self.joining_since = self.unattached_since = self.clock.monotonic()
        self.relaying = False

    def record_joined(self, name: str) -> str | None:
        """Records that a relay includes this host now.

        Returns:
            The relay that this host has left, which must no longer include it.
        """
        if name != self.joining:
            return None
        logger.info("relay joined", relay=name)
        self.relay, self.joining = name, None
        previous, self.previous = self.previous, None
        return previous

    def reset(self) -> None:
        """Ends the exchange through relays."""
        self.relay = self.joining = self.probed = self.unattached_since = None
        self.relaying = False
