"""Model of sessions, shard leases and takeovers by the rules of the design."""

from __future__ import annotations

from coltsfootarch.zone import interfaces

SESSION = 6.0
EXTENSION = 2.0
MARGIN = 1.0


class FakeDirectory:
    """Shard holders of all zones, and the sessions of their hosts."""

    def __init__(self, clock):
        self.clock = clock
        self.holders = {}
        self.members = {}
        self.store_down = False
        self.stale = {}

    def join(self, host, availability_zone):
        leases = FakeLeases(self, host, availability_zone)
        self.members[host] = leases
        return leases

    def give(self, availability_zone, shard, host, acquired_by_takeover=False):
        """Writes a claim or a takeover, which raises the epoch."""
        earlier = self.holders.get((availability_zone, shard))
        epoch = 1 if earlier is None else earlier.epoch + 1
        self.holders[availability_zone, shard] = interfaces.Holder(
            host, 1, host, epoch
        )
        leases = self.members[host]
        leases.acquired[shard] = self.clock.monotonic()
        leases.taken_over[shard] = acquired_by_takeover

    def take_over(self, claimants):
        """Lets claimants take over what they may; returns the shards."""
        now = self.clock.monotonic()
        taken = []
        for (zone, shard), holder in list(self.holders.items()):
            old = self.members[holder.host]
            if self.store_down or now < old.valid_until + MARGIN:
                continue
            peers = [
                host
                for host in claimants
                if self.members[host].zone == zone and host != holder.host
            ]
            if peers:
                self.give(zone, shard, peers[0], acquired_by_takeover=True)
                taken.append((zone, shard))
        return taken

    def holder(self, availability_zone, shard):
        """Returns the holder as hosts last read it; may be out of date."""
        place = (availability_zone, shard)
        return self.stale.get(place) or self.holders.get(place)

    def live_hosts(self, availability_zone):
        return max(
            1,
            sum(
                member.zone == availability_zone
                for member in self.members.values()
            ),
        )

    def is_live(self, host, incarnation):
        return self.clock.monotonic() < self.members[host].valid_until


class FakeLeases:
    """One host's `Leases`."""

    def __init__(self, directory, host, zone):
        self.directory = directory
        self.host = host
        self.zone = zone
        self.acquired = {}
        self.taken_over = {}
        self.valid_until = directory.clock.monotonic() + SESSION

    def renew(self):
        """Renews in the store, or extends without it while still valid."""
        now = self.directory.clock.monotonic()
        if not self.directory.store_down:
            self.valid_until = now + SESSION
        elif now < self.valid_until:
            self.valid_until = max(self.valid_until, now + EXTENSION)

    def epoch(self, shard):
        holder = self.directory.holders.get((self.zone, shard))
        held = holder is not None and holder.host == self.host
        return holder.epoch if held and self.remaining(shard) > 0 else None

    def remaining(self, shard):
        now = self.directory.clock.monotonic()
        return max(0.0, self.valid_until - now)

    def acquired_at(self, shard):
        return self.acquired.get(shard)

    def acquired_by_takeover(self, shard):
        return self.taken_over.get(shard, False)
