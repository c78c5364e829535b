"""Determines which host is responsible for an upstream or a request."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.zone import homes

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import register
    from coltsfootarch.gateway import inflight
    from coltsfootarch.protocol import network
    from coltsfootarch.upstreams import orphans
    from coltsfootarch.zone import interfaces

QUERY_TIMEOUT = datetime.timedelta(seconds=1)


class Ownership:
    """Finds the homes of upstreams and queries the owners of requests.

    Args:
        network: Network between hosts.
        requests: Requests in progress on this host.
        leases: Shard leases of this host.
        current_register: Returns the register in force.
        availability_zone: Zone of this host.
        address_of: Returns the peer address of a host's incarnation, or None.
        has_hosts: Returns whether a zone has a host with a session.
    """

    def __init__(
        self,
        network: network.PeerNetwork,
        requests: inflight.InflightRequests,
        leases: interfaces.Leases,
        current_register: Callable[[], register.Register],
        availability_zone: str,
        address_of: Callable[[str, int], str | None],
        has_hosts: Callable[[str], bool],
    ) -> None:
        self.has_hosts = has_hosts
        self.network = network
        self.requests = requests
        self.leases = leases
        self.current_register = current_register
        self.availability_zone = availability_zone
        self.address_of = address_of

    def start(self) -> None:
        """Registers the handler for queries of other hosts."""
        self.network.register(messages.RequestQuery, self.on_query)

    def is_home(self, name: str) -> bool:
        """Returns whether this host holds an upstream's home shard.

        The home shard is in the upstream's own zone, or in another zone while
        no host of its own zone has a session.
        """
        upstream = self.current_register().upstreams.get(name)
        if upstream is None:
            return False
        home = self.home_of(upstream)
        if home.availability_zone != self.availability_zone:
            return False
        return self.leases.epoch(home.shard) is not None

    def home_of(self, upstream: register.Upstream) -> homes.Home:
        """Returns the zone and shard that are responsible for an upstream."""
        zones = self.current_register().availability_zones
        candidates = [zones[upstream.availability_zone]]
        if not self.has_hosts(upstream.availability_zone):
            candidates = [
                zone for zone in zones.values() if self.has_hosts(zone.name)
            ] or candidates
        return homes.scope_home("upstream", upstream.name, candidates)

    def is_running(self, owner: orphans.Owner, request_id: str) -> bool | None:
        """Asks a request's owner whether the request is still in progress.

        Returns:
            Whether it is in progress, or None if the owner did not answer.
        """
        if (owner.host, owner.incarnation) == (
            self.requests.host,
            self.requests.incarnation,
        ):
            return self.requests.is_in_progress(request_id)
        address = self.address_of(owner.host, owner.incarnation)
        if address is None:
            return None
        query = messages.RequestQuery(request_id)
        try:
            answer = self.network.request(address, query, QUERY_TIMEOUT)
        except errors.PeerTimeoutError:
            return None
        return bool(answer.accepted)

    def on_query(
        self, _sender: messages.Sender, message: messages.RequestQuery
    ) -> messages.Ack:
        """Answers whether a request is in progress on this host."""
        return messages.Ack(
            accepted=self.requests.is_in_progress(message.request_id)
        )
