"""Processor time and bytes of the control protocol, by size of a zone.

The hosts run in memory on an injected clock; their heartbeats are not encoded.
The cost of the transport is measured apart, over loopback.
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
    """Measured cost for one size of a zone; times are processor time.

    Attributes:
        hosts: Hosts in the zone.
        heartbeat_round: Microseconds of one host's heartbeats to its peers and
            of the handling by these, without transport.
        renewal: Microseconds of one renewal, with an in-memory store.
        host_second: Microseconds that one host takes per second for all its
            ticks, without transport.
        request: Microseconds of a request and its answer over both ends of the
            transport.
        heartbeat_bytes: Bytes of a heartbeat on the wire.
        ack_bytes: Bytes of its answer.
        probe_bytes: Bytes of a probe.
        grant_bytes: Bytes of a grant request with two reports.
        heartbeats_second: Bytes that one host sends and receives per second
            for heartbeats and their answers.
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
    """Returns processor time of a call, divided by `count`."""
    start = time.process_time()
    function()
    return (time.process_time() - start) / count * 1e6


def make_fleet(size: int) -> Any:
    """Returns a settled zone; the other zones have a revision only."""
    fakes = "tests.fakes"
    fleet: Any = importlib.import_module(f"{fakes}.fleet")
    network: Any = importlib.import_module(f"{fakes}.network")
    tables: Any = importlib.import_module(f"{fakes}.tables")
    made = fleet.Fleet(
        clock.ManualClock(),
        tables.FakeTables(),
        network.FakeNetwork(),
        {"zone-00": size},
        shards=2 * size,
    )
    # Checking the leases after every tick is not part of the cost.
    made.check = lambda: None
    made.run(SETTLE_SECONDS)
    for host in made.hosts.values():
        for number in range(1, ZONES):
            views = host.agent.directory.views
            views[f"zone-{number:02}"] = views["zone-00"]
    return made


def free_address() -> str:
    """Returns a free loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def measure_transport(peers: int) -> float:
    """Returns microseconds per request and answer with this many peers."""
    networks = []
    for number in range(peers + 1):
        sender = messages.Sender(f"host-{number}", 1, "zone", free_address())
        opened = transport.ZmqPeerNetwork(sender, clock.SystemClock())
        opened.register(messages.Probe, lambda sender, message: messages.Ack())
        opened.start()
        networks.append(opened)
    asking = networks[0]
    addresses = [opened.sender.address for opened in networks[1:]]

    def ask(count: int) -> None:
        for number in range(count):
            address = addresses[number % peers]
            asking.request(address, messages.Probe(), TIMEOUT)

    try:
        ask(peers)
        return microseconds(lambda: ask(REQUESTS), REQUESTS)
    finally:
        for opened in networks:
            opened.close()


def wire_size(agent: Any, message: Any) -> int:
    """Returns the bytes of a message with its envelope."""
    return len(codec.encode(agent.sender, 1_000_000, message))


def measure(size: int) -> ControlCost:
    """Measures a zone of `size` hosts."""
    made = make_fleet(size)
    agents = [host.agent for host in made.hosts.values()]
    calls = ROUNDS * size
    beat = microseconds(
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
    second = microseconds(
        lambda: made.run(MEASURED_SECONDS), MEASURED_SECONDS * size
    )
    request = measure_transport(size)
    agent = agents[0]
    usage = [messages.GrantUsage("0123456789abcdef", 5000, 200)] * 2
    grant = messages.GrantRequest("tenant-0001", 3, 4000, 9000, usage)
    heartbeat = wire_size(agent, agent.make_heartbeat())
    ack = wire_size(
        agent, messages.HeartbeatAck(1, agent.directory.heads(), 1.0)
    )
    sent = min(HEARTBEATS_PER_SECOND, size - 1)
    # A host sends and receives as many; each costs one end of the transport.
    return ControlCost(
        size,
        beat,
        renewal,
        second,
        request,
        heartbeat,
        ack,
        wire_size(agent, messages.Probe()),
        wire_size(agent, grant),
        2 * sent * (heartbeat + ack),
        (second + sent * request) / 1e4,
    )


def run() -> list[ControlCost]:
    """Measures all sizes.

    Returns:
        One entry per size in `ZONE_SIZES`.
    """
    return [measure(size) for size in ZONE_SIZES]


def main() -> None:
    """Prints the measurements as a table."""
    costs = run()
    for name in ControlCost._fields:
        cells = [f"{getattr(cost, name):>10.4g}" for cost in costs]
        print(f"{name:<20}{''.join(cells)}")


if __name__ == "__main__":
    main()
