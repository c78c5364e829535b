"""Sends the shard directory to zone peers that can't read the store."""

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


def views_to_message(
    views: dict[str, directory.ZoneView],
) -> list[messages.ZoneDirectory]:
    """Converts views by zone to their form in a message."""
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


def view_from_message(zone: messages.ZoneDirectory) -> directory.ZoneView:
    """Converts the message form of a zone back to a view.

    Its row versions are 0, which no row in the store has. The host can look up
    holders in the view, but can't change anything before it has read the store.
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


def fetch_views(
    network: network.PeerNetwork, peers: Iterable[messages.Sender]
) -> dict[str, directory.ZoneView]:
    """Returns the views, by zone, of the first peer that has any.

    Args:
        network: Network between hosts.
        peers: Zone peers; at most `MAX_PEERS_ASKED` are asked.

    Returns:
        The views; empty if no peer answered with any.
    """
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
                zone.availability_zone: view_from_message(zone)
                for zone in reply.zones
            }
    return {}
