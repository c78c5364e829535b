"""Model of sessions, shard leases and takeovers as the design specifies."""

from __future__ import annotations

from coltsfootarch.zone import interfaces

SESSION_VALIDITY_S = 6.0
OUTAGE_EXTENSION_S = 2.0
TAKEOVER_MARGIN_S = 1.0


class FakeDirectory:
    """Shard holders of all zones and the leases of their hosts.

    Attributes:
        holders: Holder by (availability zone, shard).
        members: Leases by host.
        store_down: Whether the metadata store is unreachable.
        outdated: Former holder by (availability zone, shard), for hosts that
            have an outdated view of the directory.
    """

    def __init__(self, clock):
        self.clock = clock
        self.holders = {}
        self.members = {}
        self.store_down = False
        self.outdated = {}

    def join(self, host, availability_zone):
        leases = FakeLeases(self, host, availability_zone)
        self.members[host] = leases
        return leases

    def assign(
        self, availability_zone, shard, host, acquired_by_takeover=False
    ):
        """Assigns a shard to a host with a new epoch, by claim or takeover."""
        previous = self.holders.get((availability_zone, shard))
        epoch = 1 if previous is None else previous.epoch + 1
        self.holders[availability_zone, shard] = interfaces.Holder(
            host, 1, host, epoch
        )
        leases = self.members[host]
        leases.acquisition_times[shard] = self.clock.monotonic()
        leases.inherited_shards[shard] = acquired_by_takeover

    def take_over(self, claimants):
        """Assigns shards with expired leases to claimants of the same zone.

        Returns:
            The shards taken over, as (availability zone, shard).
        """
        now = self.clock.monotonic()
        taken = []
        for (zone, shard), holder in list(self.holders.items()):
            old = self.members[holder.host]
            if self.store_down or now < old.valid_until + TAKEOVER_MARGIN_S:
                continue
            successors = [
                host
                for host in claimants
                if self.members[host].zone == zone and host != holder.host
            ]
            if successors:
                self.assign(
                    zone, shard, successors[0], acquired_by_takeover=True
                )
                taken.append((zone, shard))
        return taken

    def holder(self, availability_zone, shard):
        """Returns the holder that hosts see, which may be outdated."""
        key = (availability_zone, shard)
        return self.outdated.get(key) or self.holders.get(key)

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
        self.acquisition_times = {}
        self.inherited_shards = {}
        self.valid_until = directory.clock.monotonic() + SESSION_VALIDITY_S

    def renew(self):
        """Renews the session; without the store, extends it while valid."""
        now = self.directory.clock.monotonic()
        if not self.directory.store_down:
            self.valid_until = now + SESSION_VALIDITY_S
        elif now < self.valid_until:
            self.valid_until = max(self.valid_until, now + OUTAGE_EXTENSION_S)

    def epoch(self, shard):
        holder = self.directory.holders.get((self.zone, shard))
        held = holder is not None and holder.host == self.host
        return holder.epoch if held and self.remaining(shard) > 0 else None

    def remaining(self, shard):
        now = self.directory.clock.monotonic()
        return max(0.0, self.valid_until - now)

    def acquired_at(self, shard):
        return self.acquisition_times.get(shard)

    def acquired_by_takeover(self, shard):
        return self.inherited_shards.get(shard, False)
