"""The directory as zone peers pass it to a host that can't read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.zone import directory
from coltsfootarch.zone import records
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.protocol import network

MAX_PEERS_ASKED = 3


def export(
    views: dict[str, directory.ZoneView],
) -> list[messages.ZoneDirectory]:
    """Returns views as a message carries them."""
    return [
        messages.ZoneDirectory(
            zone,
            view.revision,
            [
                messages.DirectorySession(
                    session.host, session.incarnation, session.address
                )
                for session in view.sessions.values()
            ],
            [
                messages.DirectoryShard(number, *row.record)
                for number, row in view.shards.items()
            ],
        )
        for zone, view in views.items()
    ]


def restore(zone: messages.ZoneDirectory) -> directory.ZoneView:
    """Returns a view made from a message.

    Its row versions are 0, which no row in the store has: the host can look
    up holders in it, and changes nothing before it has read the store.
    """
    sessions = {
        entry.host: records.SessionRecord(
            entry.host,
            entry.incarnation,
            zone.availability_zone,
            entry.address,
            config_version=0,
            renewals=0,
            renewed_at="",
        )
        for entry in zone.sessions
    }
    shards = {
        entry.number: directory.ShardRow(records.ShardRecord(*entry[1:]), 0)
        for entry in zone.shards
    }
    return directory.ZoneView(zone.revision, 0, sessions, shards)


def ask(
    network: network.PeerNetwork, peers: Iterable[messages.Sender]
) -> dict[str, directory.ZoneView]:
    """Returns the views of the first peer that answers, or nothing."""
    for peer in list(peers)[:MAX_PEERS_ASKED]:
        try:
            reply = network.request(
                peer.address,
                messages.DirectoryRequest(),
                timing.HEARTBEAT_TIMEOUT,
            )
        except errors.PeerTimeoutError:
            continue
        if reply.zones:
            return {
                zone.availability_zone: restore(zone) for zone in reply.zones
            }
    return {}
