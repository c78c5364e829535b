"""Reports which hosts have a configuration version in force.

A version is accepted when every host that may still serve has it in force.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch.zone import records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.config import register as registers
    from coltsfootarch.storage import tables


class HostStatus(NamedTuple):
    """The version in force on one host.

    Attributes:
        host: Name of the host.
        version: Version in force on it; 0 if unknown.
        age: Seconds since it renewed its session; negative if unknown.
        has_session: Whether a session row of it exists. Such a host may still
            serve requests. A host without one doesn't, so acceptance does not
            wait for it.
    """

    host: str
    version: int
    age: float
    has_session: bool


class ZoneStatus(NamedTuple):
    """The status of one zone's hosts.

    Attributes:
        availability_zone: Name of the zone.
        hosts: Its hosts, from the register and from sessions, ordered by name.
        waiting_for: Hosts with a session and an older version.
    """

    availability_zone: str
    hosts: tuple[HostStatus, ...]
    waiting_for: tuple[str, ...]


class ConfigStatus(NamedTuple):
    """State of one version over all hosts.

    Attributes:
        version: Number of the version.
        accepted: Whether every host that may still serve has it in force.
        zones: All zones of the register and of sessions, ordered by name.
    """

    version: int
    accepted: bool
    zones: tuple[ZoneStatus, ...]

    def describe_waiting(self) -> str:
        """Returns, as text, the zones and hosts that lack the version."""
        return ", ".join(
            f"zone {zone.availability_zone} "
            f"(hosts {', '.join(zone.waiting_for)})"
            for zone in self.zones
            if zone.waiting_for
        )


def build_status(
    register: registers.Register,
    version: int,
    rows: Iterable[tables.Row],
    now: datetime.datetime,
) -> ConfigStatus:
    """Returns the state of a version over all hosts.

    Args:
        register: Register whose hosts are expected.
        version: Number of the version.
        rows: All session rows, hosts outside the register included.
        now: Current time, for ages.
    """
    hosts_by_zone: dict[str, dict[str, HostStatus]] = {
        name: {} for name in register.availability_zones
    }
    for host in register.hosts.values():
        missing = HostStatus(host.name, 0, -1.0, False)
        hosts_by_zone[host.availability_zone][host.name] = missing
    for row in rows:
        zone, _, name = row.key.partition("/")
        hosts_by_zone.setdefault(zone, {})[name] = session_status(
            name, row.value, now
        )
    zones = tuple(
        zone_status(zone, hosts, version)
        for zone, hosts in sorted(hosts_by_zone.items())
    )
    accepted = not any(zone.waiting_for for zone in zones)
    return ConfigStatus(version, accepted, zones)


def session_status(
    host: str, value: bytes, now: datetime.datetime
) -> HostStatus:
    """Returns a host's status from its session row.

    The version is 0 if the row is unreadable: such a host may still serve, so
    acceptance waits for it.
    """
    try:
        session = records.decode_session(value)
        renewed_at = datetime.datetime.fromisoformat(session.renewed_at)
        age = (now - renewed_at).total_seconds()
    except (errors.CodecError, ValueError, TypeError):
        return HostStatus(host, 0, -1.0, True)
    return HostStatus(host, session.config_version, max(age, 0.0), True)


def zone_status(
    zone: str, hosts: dict[str, HostStatus], version: int
) -> ZoneStatus:
    """Returns the status of a zone's hosts, ordered by name."""
    ordered = tuple(hosts[name] for name in sorted(hosts))
    waiting_for = tuple(
        entry.host
        for entry in ordered
        if entry.has_session and entry.version < version
    )
    return ZoneStatus(zone, ordered, waiting_for)
