"""Interface between an entry host and the platform that it runs on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.fleet import followers
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import stage_orders
    from coltsfootarch.fleet import store_epochs
    from coltsfootarch.fleet import stream_records
    from coltsfootarch.fleet import version_rows
    from coltsfootarch.forwarding import calls


class PlatformInterface(NamedTuple):
    """Services and wire formats that a platform provides to an entry host.

    Attributes:
        policies: Source of policies.
        upstreams: Source of upstream registrations.
        hosts: Durable list of entry hosts.
        claims: Durable claims of the right to send stage orders.
        orders: Sends stage orders to engines.
        callers: Wire format of callers.
        wire: Wire format of upstreams.
        ready_path: Path of the load balancer's readiness checks.
        close: Closes the connections to the platform.
        epochs: Epochs of the store, as its answers state them.
        versions: Durable rows of the services' software versions.
        streams: Durable records of the versions that began streams.
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
    epochs: store_epochs.StoreEpochs
    versions: version_rows.VersionTable
    streams: stream_records.RecordTable
