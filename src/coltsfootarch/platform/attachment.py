"""Connects an entry host to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.fleet import store_epochs
from coltsfootarch.forwarding import platform_interface
from coltsfootarch.platform import feeds
from coltsfootarch.platform import host_rows
from coltsfootarch.platform import orders
from coltsfootarch.platform import store
from coltsfootarch.platform import stream_records
from coltsfootarch.platform import wire

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

READY_PATH = "/api/readyz"


def attach(
    address: str, clock: clocks.Clock
) -> platform_interface.PlatformInterface:
    """Returns all adapters that connect an entry host to the platform.

    A call that waits for changes occupies the only connection of its client.
    Therefore the policy, the upstreams, the hosts, the claims, and reads and
    writes about the versions of streams each have a client of their own.

    Args:
        address: Address ("ip:port") of the platform's store.
        clock: Source of time.
    """
    epochs = store_epochs.StoreEpochs(clock)
    clients = [store.StoreClient(address, clock, epochs) for _ in range(7)]

    def close() -> None:
        for client in clients:
            client.close()

    return platform_interface.PlatformInterface(
        feeds.PolicyFeed(clients[0]),
        feeds.UpstreamFeed(clients[1]),
        host_rows.HostTable(clients[2]),
        orders.ClaimTable(clients[3], clock),
        orders.RunnerOrders(clock),
        wire.CallerWire(),
        wire.RunnerWire(),
        READY_PATH,
        close,
        epochs,
        stream_records.VersionTable(clients[4]),
        stream_records.StreamTable(clients[5], clients[6]),
    )
