"""Choice of the hosts that relay state, for fleets too large for full mesh.

The hosts of an availability zone are ordered by a hash of their names and the
first of them relay for the others. Each host computes this from the hosts that
it knows. Views may differ for a time, since a host relays for whoever joins it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import hosts

# Time until a host that didn't answer is tried again, in seconds. It doubles
# with each failure, so that a search passes over hosts that stay silent.
FAILED_S = 3.0
MAX_FAILED_S = 24.0


def score(*names: str) -> int:
    """Returns the hash by which hosts are ordered."""
    return xxhash.xxh64_intdigest("/".join(names).encode())


def group_size(hosts_in_fleet: int) -> int:
    """Returns the number of hosts that share a relay, with the relay.

    Messages of a relay grow with its members and with the number of relays,
    whose product is the size of the fleet.
    """
    return max(math.ceil(math.sqrt(hosts_in_fleet)), 1)


def relay_count(hosts_in_zone: int, hosts_in_fleet: int) -> int:
    """Returns the number of relays of an availability zone."""
    return max(round(hosts_in_zone / group_size(hosts_in_fleet)), 1)


class Topology:
    """Relays of each availability zone, as this host sees them.

    Args:
        directory: The known hosts.
        clock: Source of time.
        is_excluded: Returns whether a host, given by its name, can't relay.

    Attributes:
        failed_until: Instant until which a host isn't chosen, by name.
        failures: Successive failures by name.
        ordered: Names of the hosts of each zone, preferred relays first.
        preferred: Numbers of relays by zone.
        generation: Generation of the directory from which they were computed.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        clock: clocks.Clock,
        is_excluded: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.is_excluded = is_excluded
        self.failed_until: dict[str, float] = {}
        self.failures: dict[str, int] = {}
        self.ordered: dict[str, list[str]] = {}
        self.preferred: dict[str, int] = {}
        self.generation = -1

    def refresh(self) -> None:
        """Computes the order of the hosts again if the known hosts changed."""
        if self.generation == self.directory.generation:
            return
        self.generation = self.directory.generation
        own = self.directory.own
        zones: dict[str, list[str]] = {own.availability_zone: [own.name]}
        for name, peer in self.directory.peers.items():
            # The zone of a host is unknown until its row was read.
            if peer.record.availability_zone:
                zones.setdefault(peer.record.availability_zone, []).append(name)
        fleet = sum(map(len, zones.values()))
        self.ordered = {
            zone: sorted(names, key=score) for zone, names in zones.items()
        }
        self.preferred = {
            zone: relay_count(len(names), fleet)
            for zone, names in zones.items()
        }

    def relays(self, zone: str) -> list[str]:
        """Returns the names of a zone's relays.

        Hosts that failed are replaced by the next ones. If all have failed, the
        first ones are tried.
        """
        self.refresh()
        names = self.ordered.get(zone, [])
        count = self.preferred.get(zone, 0)
        alive = [name for name in names if self.is_candidate(name)]
        return (alive or names)[:count]

    def all_relays(self) -> Iterable[str]:
        """Returns the names of the relays of all zones."""
        self.refresh()
        return [name for zone in self.ordered for name in self.relays(zone)]

    def own_relay(self) -> str:
        """Returns the relay that this host should join; itself if it relays."""
        own = self.directory.own
        relays = self.relays(own.availability_zone)
        if own.name in relays:
            return own.name
        return max(relays, key=lambda relay: score(own.name, relay))

    def is_candidate(self, name: str) -> bool:
        """Returns whether a host may be chosen as a relay at present."""
        if name == self.directory.own.name:
            return True
        until = self.failed_until.get(name)
        if until is not None and self.clock.monotonic() < until:
            return False
        return not self.is_excluded(name)

    def record_failure(self, name: str) -> None:
        """Records that a host didn't answer."""
        failures = self.failures.get(name, 0)
        self.failures[name] = failures + 1
        pause_s = min(FAILED_S * 2 ** min(failures, 10), MAX_FAILED_S)
        self.failed_until[name] = self.clock.monotonic() + pause_s

    def record_answer(self, name: str) -> None:
        """Records that a host answered."""
        self.failed_until.pop(name, None)
        self.failures.pop(name, None)
