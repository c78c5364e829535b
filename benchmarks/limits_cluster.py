"""Simulated fleet of hosts with the product's limiters and ledgers."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Any

from benchmarks import simulated_clock
from coltsfootarch import errors
from coltsfootarch.config import register as registers
from coltsfootarch.limits import ledger_server
from coltsfootarch.limits import limiter
from coltsfootarch.protocol import messages
from coltsfootarch.zone import interfaces

if TYPE_CHECKING:
    from collections.abc import Callable

ONE_WAY_LATENCY = datetime.timedelta(milliseconds=1)
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# Validity of a lease after its renewal in the store.
SESSION_SECONDS = 6.0
# Validity of a lease while its holder extends it because the store is down.
EXTENSION_SECONDS = 2.0
SHARDS = 8

ZONES = ("regina", "saskatoon", "winnipeg", "brandon")
HOST_ZONES = (0, 0, 1, 1, 2, 2, 3)  # index of each host's zone in `ZONES`


def home_shard(kind: str, name: str, shards: int) -> int:
    """Returns the shard of a name; the simulation needs any fixed mapping."""
    return sum(name.encode()) % shards


class Fleet:
    """Hosts, their network and the directory of shard holders.

    Args:
        accounts: Client accounts by name.

    Attributes:
        holders: Holder by zone and shard.
        isolated_zone: Zone that can't reach the others, "" for none.
        session: Seconds for which a lease is valid after its last renewal.
    """

    def __init__(self, accounts: dict[str, registers.ClientAccount]) -> None:
        self.clock = simulated_clock.SimulatedClock()
        rules = registers.Rules()
        zones = {
            name: registers.AvailabilityZone(name, "west", SHARDS)
            for name in ZONES
        }
        self.register = registers.Register(zones, {}, {}, {}, accounts, rules)
        self.holders: dict[tuple[str, int], interfaces.Holder] = {}
        self.isolated_zone = ""
        self.session = SESSION_SECONDS
        self.hosts = [
            SimulatedHost(self, f"host-{index}", ZONES[zone_index])
            for index, zone_index in enumerate(HOST_ZONES)
        ]
        self.by_name = {host.name: host for host in self.hosts}
        for zone in ZONES:
            for shard in range(SHARDS):
                members = self.members(zone)
                self.assign(zone, shard, members[shard % len(members)], False)
        for host in self.hosts:
            self.clock.spawn(0.0, host.run)

    def members(self, zone: str) -> list[SimulatedHost]:
        """Returns the live hosts of a zone."""
        return [
            host
            for host in self.hosts
            if host.alive and host.availability_zone == zone
        ]

    def assign(
        self,
        zone: str,
        shard: int,
        host: SimulatedHost,
        acquired_by_takeover: bool,
    ) -> None:
        """Makes a host the holder of a shard, with the next epoch.

        Args:
            zone: Availability zone of the shard.
            shard: Number of the shard.
            host: New holder.
            acquired_by_takeover: Whether no hand-over preceded the change.
        """
        previous = self.holders.get((zone, shard))
        epoch = 1 if previous is None else previous.epoch + 1
        self.holders[zone, shard] = interfaces.Holder(
            host.name, 1, host.name, epoch
        )
        host.acquired[shard] = self.clock.monotonic()
        host.taken_over[shard] = acquired_by_takeover

    def can_reach(self, source: SimulatedHost, target: SimulatedHost) -> bool:
        """Returns whether a message from `source` arrives at `target`."""
        crosses_zones = source.availability_zone != target.availability_zone
        zones = (source.availability_zone, target.availability_zone)
        return target.alive and not (
            crosses_zones and self.isolated_zone in zones
        )

    def hand_over(self, host: SimulatedHost, shards: list[int]) -> None:
        """Moves shards with their ledgers to another host of the zone."""
        zone = host.availability_zone
        peers = [peer for peer in self.members(zone) if peer is not host]
        for shard in shards:
            if not peers:
                continue
            message = host.ledger_server.export(shard)
            self.assign(zone, shard, peers[0], False)
            host.ledger_server.drop(shard)
            if message is not None:
                host.send(peers[0].name, message)

    def take_over(self, zone: str, failed: SimulatedHost) -> None:
        """Assigns a failed host's shards to live hosts of the zone, if any."""
        peers = self.members(zone)
        for shard in failed.held():
            if peers:
                self.assign(zone, shard, peers[shard % len(peers)], True)


class SimulatedHost:
    """Host with a ledger server and a limiter.

    It also implements the interfaces that these need: network, leases and the
    directory.

    Attributes:
        renewed_at: Instant of the last renewal of the session, in seconds.
        sent: Messages sent.
        acquired: Instant of the acquisition by shard, in seconds.
        taken_over: Whether a shard came by takeover, by shard.
    """

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
        """Creates empty components, as a restart of the process does."""
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
        """Renews the session and ticks the components until the run ends."""
        while True:
            if self.alive:
                self.renewed_at = self.fleet.clock.monotonic()
                self.limiter.tick()
                self.ledger_server.tick()
            self.fleet.clock.sleep(TICK_INTERVAL)

    def held(self) -> list[int]:
        """Returns the shards that this host holds by the directory."""
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
        if self.fleet.can_reach(self, target):
            target.handlers[type(message)](self.sender, message)

    def request(
        self, address: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        target = self.fleet.by_name[address]
        self.sent += 1
        self.fleet.clock.sleep(ONE_WAY_LATENCY)
        if not self.fleet.can_reach(self, target):
            self.fleet.clock.sleep(timeout)
            raise errors.PeerTimeoutError(f"no response from {address}")
        response = target.handlers[type(message)](self.sender, message)
        self.fleet.clock.sleep(ONE_WAY_LATENCY)
        return response

    probe = request
