"""Hosts with zone agents that share a clock, a store and a network."""

from __future__ import annotations

import datetime

from coltsfootarch.zone import agent

STEP = 0.25


class FleetHost:
    """A host with a zone agent, which ticks unless it is paused or dead."""

    def __init__(self, name, zone, address, client):
        self.name = name
        self.zone = zone
        self.address = address
        self.client = client
        self.agent = None
        self.paused_at = None
        self.dead = False
        self.config_version = 1

    @property
    def running(self):
        return not self.dead and self.paused_at is None


class Fleet:
    """Hosts named `<zone>-<number>`.

    After each tick of a host it checks that no shard has two holders and that
    epochs increase.

    Attributes:
        zones: Number of shards by zone.
        last_holders: Last (host, epoch) seen by (zone, shard).
        acquired: (host, shard, epoch) of each acquisition of a lease.
        lost: (host, shard, epoch) of each loss of a lease.
    """

    def __init__(self, clock, tables, network, zones, shards=4):
        self.clock = clock
        self.tables = tables
        self.network = network
        self.zones = dict.fromkeys(zones, shards)
        self.hosts = {}
        self.incarnations = 0
        self.last_holders = {}
        self.acquired = []
        self.lost = []
        for zone, count in zones.items():
            for number in range(count):
                self.add(f"{zone}-{number}", zone)

    def add(self, name, zone):
        address = f"10.0.0.{len(self.hosts) + 1}:9000"
        host = FleetHost(name, zone, address, self.tables.client())
        self.hosts[name] = host
        self.start_agent(host)
        return host

    def start_agent(self, host):
        self.incarnations += 1
        endpoint = self.network.endpoint(
            host.name, self.incarnations, host.zone, host.address
        )
        host.agent = agent.ZoneAgent(
            endpoint.sender,
            host.client,
            endpoint,
            self.clock,
            shard_count=lambda: self.zones[host.zone],
            config_version=lambda: host.config_version,
            seeds=lambda: [peer.address for peer in self.hosts.values()],
            spawn=lambda function: function(),
        )
        leases = host.agent.leases
        leases.acquired_listeners.append(
            lambda shard, epoch: self.acquired.append((host.name, shard, epoch))
        )
        leases.lost_listeners.append(
            lambda shard, epoch: self.lost.append((host.name, shard, epoch))
        )
        host.agent.start()

    def pause(self, name):
        host = self.hosts[name]
        host.paused_at = self.clock.monotonic()
        self.network.paused.add(host.address)

    def resume(self, name):
        self.hosts[name].paused_at = None
        self.network.paused.discard(self.hosts[name].address)

    def kill(self, name):
        self.hosts[name].dead = True
        self.resume(name)
        self.network.dead.add(self.hosts[name].address)

    def restart(self, name):
        host = self.hosts[name]
        host.dead = False
        self.network.dead.discard(host.address)
        self.start_agent(host)

    def run(self, seconds, reverse_order=False, step=STEP):
        """Advances the clock in steps; in each one, every running host ticks.

        Args:
            seconds: Time to advance.
            reverse_order: Whether hosts tick in reverse order of their names.
            step: Seconds per step.
        """
        for _ in range(round(seconds / step)):
            self.clock.advance(datetime.timedelta(seconds=step))
            for host in sorted(
                self.hosts.values(),
                key=lambda host: host.name,
                reverse=reverse_order,
            ):
                if host.running:
                    host.agent.tick()
                self.check()

    def holders_of(self, zone, shard):
        """Returns (host, epoch) of all hosts that may use a shard now."""
        found = []
        for host in self.hosts.values():
            if host.zone == zone and not host.dead:
                epoch = host.agent.leases.epoch(shard)
                if epoch is not None:
                    found.append((host.name, epoch))
        return found

    def held(self, name):
        """Returns the epochs by shard of the shards that a host may use now."""
        leases = self.hosts[name].agent.leases
        return {
            shard: leases.epoch(shard)
            for shard in leases.held
            if leases.epoch(shard) is not None
        }

    def check(self):
        for zone, shards in self.zones.items():
            for shard in range(shards):
                holders = self.holders_of(zone, shard)
                assert len(holders) <= 1, (zone, shard, holders)
                for holder in holders:
                    last_holder = self.last_holders.get((zone, shard), ("", 0))
                    unchanged = holder == last_holder
                    assert unchanged or holder[1] > last_holder[1], (
                        shard,
                        last_holder,
                        holder,
                    )
                    self.last_holders[(zone, shard)] = holder

    def free_shards(self, zone):
        return [
            shard
            for shard in range(self.zones[zone])
            if not self.holders_of(zone, shard)
        ]
