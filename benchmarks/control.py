"""Measures processor time and bytes of the control protocol by zone size.

The hosts run in memory on a simulated clock, and their heartbeats are not
encoded. The cost of the transport is measured separately, over loopback.
"""

from __future__ import annotations

import datetime
import importlib
import socket
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from coltsfootarch import clock
from coltsfootarch.protocol import codec
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import transport

if TYPE_CHECKING:
    from collections.abc import Callable

ZONE_SIZES = (4, 16, 32)
ZONES = 12
SETTLE_SECONDS = 80
MEASURED_SECONDS = 20
ROUNDS = 20
REQUESTS = 3000
TIMEOUT = datetime.timedelta(seconds=10)
HEARTBEATS_PER_SECOND = 4


class ControlCost(NamedTuple):
    """Measured cost for one zone size; times are processor time.

    Attributes:
        hosts: Hosts in the zone.
        heartbeat_round: Microseconds for one host to send its heartbeats to
            its peers and for the peers to handle them, without transport.
        renewal: Microseconds of one session renewal, with an in-memory store.
        host_second: Microseconds per second for all ticks of one host, without
            transport.
        request: Microseconds of a request and its response, at both ends of
            the transport together.
        heartbeat_bytes: Bytes of a heartbeat on the wire.
        ack_bytes: Bytes of its response.
        probe_bytes: Bytes of a probe.
        grant_bytes: Bytes of a grant request with two usage reports.
        heartbeats_second: Bytes that one host sends and receives per second
            for heartbeats and their responses.
        core_share: Per cent of a core for ticks and the transport of
            heartbeats.
    """

    hosts: int
    heartbeat_round: float
    renewal: float
    host_second: float
    request: float
    heartbeat_bytes: int
    ack_bytes: int
    probe_bytes: int
    grant_bytes: int
    heartbeats_second: int
    core_share: float


def microseconds(function: Callable[[], object], count: int) -> float:
    """Returns the processor time of a call in microseconds, over `count`."""
    start = time.process_time()
    function()
    return (time.process_time() - start) / count * 1e6


def make_fleet(size: int) -> Any:
    """Returns a simulated zone in a steady state.

    The other zones have no hosts, only a revision in the directory.

    Args:
        size: Number of hosts in the zone.
    """
    fakes = "tests.fakes"
    fleet: Any = importlib.import_module(f"{fakes}.fleet")
    network: Any = importlib.import_module(f"{fakes}.network")
    tables: Any = importlib.import_module(f"{fakes}.tables")
    simulated = fleet.Fleet(
        clock.ManualClock(),
        tables.FakeTables(),
        network.FakeNetwork(),
        {"zone-00": size},
        shards=2 * size,
    )
    # The fleet checks the leases after each tick, which is no cost of a host.
    simulated.check = lambda: None
    simulated.run(SETTLE_SECONDS)
    for host in simulated.hosts.values():
        for number in range(1, ZONES):
            views = host.agent.directory.views
            views[f"zone-{number:02}"] = views["zone-00"]
    return simulated


def free_address() -> str:
    """Returns an unused loopback address ("ip:port")."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def measure_transport(peers: int) -> float:
    """Returns microseconds per request and response with so many peers."""
    networks = []
    for number in range(peers + 1):
        sender = messages.Sender(f"host-{number}", 1, "zone", free_address())
        network = transport.ZmqPeerNetwork(sender, clock.SystemClock())
        network.register(messages.Probe, lambda sender, message: messages.Ack())
        network.start()
        networks.append(network)
    client = networks[0]
    addresses = [network.sender.address for network in networks[1:]]

    def send_requests(count: int) -> None:
        for number in range(count):
            address = addresses[number % peers]
            client.request(address, messages.Probe(), TIMEOUT)

    try:
        send_requests(peers)
        return microseconds(lambda: send_requests(REQUESTS), REQUESTS)
    finally:
        for network in networks:
            network.close()


def wire_size(agent: Any, message: Any) -> int:
    """Returns the size in bytes of a message with its envelope."""
    return len(codec.encode(agent.sender, 1_000_000, message))


def measure(size: int) -> ControlCost:
    """Measures a zone of `size` hosts."""
    simulated = make_fleet(size)
    agents = [host.agent for host in simulated.hosts.values()]
    calls = ROUNDS * size
    heartbeat_round = microseconds(
        lambda: [
            agent.send_heartbeats() for _ in range(ROUNDS) for agent in agents
        ],
        calls,
    )
    renewal = microseconds(
        lambda: [
            agent.session.renew() for _ in range(ROUNDS) for agent in agents
        ],
        calls,
    )
    host_second = microseconds(
        lambda: simulated.run(MEASURED_SECONDS), MEASURED_SECONDS * size
    )
    request = measure_transport(size)
    agent = agents[0]
    usage = [messages.GrantUsage("0123456789abcdef", 5000, 200)] * 2
    grant = messages.GrantRequest("tenant-0001", 3, 4000, 9000, usage)
    heartbeat = wire_size(agent, agent.make_heartbeat())
    ack = wire_size(
        agent, messages.HeartbeatAck(1, agent.directory.heads(), 1.0)
    )
    heartbeats = min(HEARTBEATS_PER_SECOND, size - 1)
    # A host sends and receives the same number of heartbeats; each costs one
    # end of the transport.
    return ControlCost(
        size,
        heartbeat_round,
        renewal,
        host_second,
        request,
        heartbeat,
        ack,
        wire_size(agent, messages.Probe()),
        wire_size(agent, grant),
        2 * heartbeats * (heartbeat + ack),
        (host_second + heartbeats * request) / 1e4,
    )


def run() -> list[ControlCost]:
    """Returns the cost at each zone size in `ZONE_SIZES`."""
    return [measure(size) for size in ZONE_SIZES]


def main() -> None:
    """Prints the measurements as a table."""
    costs = run()
    for name in ControlCost._fields:
        cells = [f"{getattr(cost, name):>10.4g}" for cost in costs]
        print(f"{name:<20}{''.join(cells)}")


if __name__ == "__main__":
    main()
