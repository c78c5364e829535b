"""Exchanges the configuration between zone peers.

A host gets it from a peer while the table service is unreachable.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch.config import tracker
    from coltsfootarch.protocol import network

QUERY_TIMEOUT = datetime.timedelta(milliseconds=300)
MAX_PEERS_QUERIED = 3


class ConfigExchange:
    """Queries zone peers for the configuration and answers their queries.

    Args:
        network: Network between hosts.
        peers: Returns the peer addresses of live zone peers.
    """

    def __init__(
        self,
        network: network.PeerNetwork,
        peers: Callable[[], Iterable[str]],
    ) -> None:
        self.network = network
        self.peers = peers
        self.tracker: tracker.ConfigTracker | None = None

    def start(self, config_tracker: tracker.ConfigTracker) -> None:
        """Registers the handler for queries of peers.

        Args:
            config_tracker: Configuration in force on this host.
        """
        self.tracker = config_tracker
        self.network.register(messages.ConfigRequest, self.on_request)

    def query_peers(self) -> messages.ConfigReply | None:
        """Returns the newest reply of `MAX_PEERS_QUERIED` peers, or None."""
        if self.tracker is None:
            return None
        request = messages.ConfigRequest(self.tracker.version)
        newest: messages.ConfigReply | None = None
        for address in list(self.peers())[:MAX_PEERS_QUERIED]:
            try:
                reply = self.network.request(address, request, QUERY_TIMEOUT)
            except errors.PeerTimeoutError:
                continue
            if newest is None or recency(reply) > recency(newest):
                newest = reply
        return newest

    def on_request(
        self, _sender: messages.Sender, message: messages.ConfigRequest
    ) -> messages.ConfigReply | None:
        """Replies with the version in force, and its document if newer.

        Returns:
            The reply, or None while this host has no configuration.
        """
        if self.tracker is None or self.tracker.version == 0:
            return None
        is_newer = self.tracker.version > message.known_version
        return messages.ConfigReply(
            self.tracker.version,
            self.tracker.document if is_newer else "",
            self.tracker.confirmed_age(),
        )


def recency(reply: messages.ConfigReply) -> tuple[int, float]:
    """Returns the sort key of a reply: version, then time of confirmation."""
    age = reply.confirmed_age if reply.confirmed_age >= 0 else float("inf")
    return reply.version, -age
