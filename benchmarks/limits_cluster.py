"""Hosts with real limiters and ledgers in a simulated fleet."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Any

from benchmarks import stepped_clock
from coltsfootarch import errors
from coltsfootarch.config import register as registers
from coltsfootarch.limits import ledger_server
from coltsfootarch.limits import limiter
from coltsfootarch.protocol import messages
from coltsfootarch.zone import interfaces

if TYPE_CHECKING:
    from collections.abc import Callable

ONE_WAY = datetime.timedelta(milliseconds=1)
TICK = datetime.timedelta(milliseconds=100)
SESSION = 6.0  # seconds that a lease is valid after a renewal in the store
EXTENSION = 2.0  # seconds that a holder extends it while the store is down
SHARDS = 8

ZONES = ("regina", "saskatoon", "winnipeg", "brandon")
PLACES = (0, 0, 1, 1, 2, 2, 3)  # zone of each host


def home_shard(kind: str, name: str, shards: int) -> int:
    """Returns a shard; any fixed mapping serves here."""
    return sum(name.encode()) % shards


class Fleet:
    """Hosts, their network and the directory of shard holders."""

    def __init__(self, accounts: dict[str, registers.ClientAccount]) -> None:
        self.clock = stepped_clock.SteppedClock()
        rules = registers.Rules()
        zones = {
            name: registers.AvailabilityZone(name, "west", SHARDS)
            for name in ZONES
        }
        self.register = registers.Register(zones, {}, {}, {}, accounts, rules)
        self.holders: dict[tuple[str, int], interfaces.Holder] = {}
        self.cut_zone = ""
        self.session = SESSION
        self.hosts = [
            SimulatedHost(self, f"host-{index}", ZONES[place])
            for index, place in enumerate(PLACES)
        ]
        self.by_name = {host.name: host for host in self.hosts}
        for zone in ZONES:
            for shard in range(SHARDS):
                members = self.members(zone)
                self.give(zone, shard, members[shard % len(members)], False)
        for host in self.hosts:
            self.clock.spawn(0.0, host.run)

    def members(self, zone: str) -> list[SimulatedHost]:
        """Returns the live hosts of a zone."""
        return [
            host
            for host in self.hosts
            if host.alive and host.availability_zone == zone
        ]

    def give(
        self,
        zone: str,
        shard: int,
        host: SimulatedHost,
        acquired_by_takeover: bool,
    ) -> None:
        """Makes a host the holder of a shard under the next epoch."""
        earlier = self.holders.get((zone, shard))
        epoch = 1 if earlier is None else earlier.epoch + 1
        self.holders[zone, shard] = interfaces.Holder(
            host.name, 1, host.name, epoch
        )
        host.acquired[shard] = self.clock.monotonic()
        host.taken_over[shard] = acquired_by_takeover

    def reaches(self, source: SimulatedHost, target: SimulatedHost) -> bool:
        """Returns whether a message can arrive."""
        apart = source.availability_zone != target.availability_zone
        zones = (source.availability_zone, target.availability_zone)
        return target.alive and not (apart and self.cut_zone in zones)

    def hand_over(self, host: SimulatedHost, shards: list[int]) -> None:
        """Moves shards to a zone peer, with their ledgers."""
        zone = host.availability_zone
        peers = [peer for peer in self.members(zone) if peer is not host]
        for shard in shards:
            if not peers:
                continue
            message = host.ledger_server.export(shard)
            self.give(zone, shard, peers[0], False)
            host.ledger_server.drop(shard)
            if message is not None:
                host.send(peers[0].name, message)

    def take_over(self, zone: str, failed: SimulatedHost) -> None:
        """Gives the shards of a failed host to a zone peer, if there is one."""
        peers = self.members(zone)
        for shard in failed.held():
            if peers:
                self.give(zone, shard, peers[shard % len(peers)], True)


class SimulatedHost:
    """One host: network, leases, ledger server and limiter in one."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.availability_zone = zone
        self.alive = True
        self.renewed_at = 0.0
        self.sent = 0
        self.acquired: dict[int, float] = {}
        self.taken_over: dict[int, bool] = {}
        self.sender = messages.Sender(name, 1, zone, name)
        self.start()

    def start(self) -> None:
        """Makes empty components, as a new process has them."""
        clock = self.fleet.clock
        self.handlers: dict[type, Callable[[messages.Sender, Any], Any]] = {}
        self.ledger_server = ledger_server.LedgerServer(
            clock,
            self,
            self,
            self.availability_zone,
            self,
            lambda: self.fleet.register,
        )
        self.limiter = limiter.Limiter(
            clock,
            self,
            self,
            self.availability_zone,
            lambda: self.fleet.register,
            home_shard,
        )
        self.ledger_server.start()

    def run(self) -> None:
        """Renews the session and ticks the components."""
        while True:
            if self.alive:
                self.renewed_at = self.fleet.clock.monotonic()
                self.limiter.tick()
                self.ledger_server.tick()
            self.fleet.clock.sleep(TICK)

    def held(self) -> list[int]:
        """Returns the shards that the directory gives to this host."""
        return [
            shard
            for (zone, shard), holder in self.fleet.holders.items()
            if zone == self.availability_zone and holder.host == self.name
        ]

    def epoch(self, shard: int) -> int | None:
        holder = self.fleet.holders.get((self.availability_zone, shard))
        if holder is None or holder.host != self.name:
            return None
        return holder.epoch if self.remaining(shard) > 0 else None

    def remaining(self, shard: int) -> float:
        valid_until = self.renewed_at + self.fleet.session
        return max(0.0, valid_until - self.fleet.clock.monotonic())

    def acquired_at(self, shard: int) -> float | None:
        return self.acquired.get(shard)

    def acquired_by_takeover(self, shard: int) -> bool:
        return self.taken_over.get(shard, False)

    def holder(
        self, availability_zone: str, shard: int
    ) -> interfaces.Holder | None:
        return self.fleet.holders.get((availability_zone, shard))

    def live_hosts(self, availability_zone: str) -> int:
        return max(1, len(self.fleet.members(availability_zone)))

    def is_live(self, host: str, incarnation: int) -> bool:
        return self.fleet.by_name[host].alive

    def register(
        self,
        message_type: type,
        handler: Callable[[messages.Sender, Any], Any],
        blocking: bool = False,
    ) -> None:
        self.handlers[message_type] = handler

    def send(self, address: str, message: Any) -> None:
        target = self.fleet.by_name[address]
        self.sent += 1
        if self.fleet.reaches(self, target):
            target.handlers[type(message)](self.sender, message)

    def request(
        self, address: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        target = self.fleet.by_name[address]
        self.sent += 1
        self.fleet.clock.sleep(ONE_WAY)
        if not self.fleet.reaches(self, target):
            self.fleet.clock.sleep(timeout)
            raise errors.PeerTimeoutError(f"no answer from {address}")
        answer = target.handlers[type(message)](self.sender, message)
        self.fleet.clock.sleep(ONE_WAY)
        return answer

    probe = request
