"""What an entry host needs from the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.fleet import followers
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import stage_orders
    from coltsfootarch.forwarding import calls


class Attachment(NamedTuple):
    """Connection of an entry host to its platform.

    Attributes:
        policies: Where policies come from.
        upstreams: Where registrations come from.
        hosts: Durable list of hosts.
        claims: Durable claims for orders.
        orders: Gives orders to engines.
        callers: Wire format of callers.
        wire: Wire format of upstreams.
        ready_path: Path of the load balancer's checks.
        close: Closes the connections to the platform.
    """

    policies: followers.PolicySource
    upstreams: followers.UpstreamSource
    hosts: hosts.HostRegistry
    claims: stage_orders.ClaimTable
    orders: stage_orders.StageOrders
    callers: calls.CallerProtocol
    wire: calls.UpstreamProtocol
    ready_path: str
    close: Callable[[], object]
