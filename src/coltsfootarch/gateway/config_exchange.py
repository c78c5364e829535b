"""Configuration between zone peers, for when the table service is away."""

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

ASK_TIMEOUT = datetime.timedelta(milliseconds=300)
MAX_PEERS_ASKED = 3


class ConfigExchange:
    """Answers peers' questions for the register and asks them.

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
        """Registers the handler.

        Args:
            config_tracker: Configuration in force on this host.
        """
        self.tracker = config_tracker
        self.network.register(messages.ConfigRequest, self.on_request)

    def ask(self) -> messages.ConfigReply | None:
        """Returns the most recently confirmed answer of a few peers."""
        if self.tracker is None:
            return None
        request = messages.ConfigRequest(self.tracker.version)
        best: messages.ConfigReply | None = None
        for address in list(self.peers())[:MAX_PEERS_ASKED]:
            try:
                reply = self.network.request(address, request, ASK_TIMEOUT)
            except errors.PeerTimeoutError:
                continue
            if best is None or preference(reply) > preference(best):
                best = reply
        return best

    def on_request(
        self, _sender: messages.Sender, message: messages.ConfigRequest
    ) -> messages.ConfigReply | None:
        """Answers with the register in force if it is newer."""
        if self.tracker is None or self.tracker.version == 0:
            return None
        newer = self.tracker.version > message.known_version
        return messages.ConfigReply(
            self.tracker.version,
            self.tracker.document if newer else "",
            self.tracker.confirmed_age(),
        )


def preference(reply: messages.ConfigReply) -> tuple[int, float]:
    """Orders answers by version, then by recent confirmation."""
    age = reply.confirmed_age if reply.confirmed_age >= 0 else float("inf")
    return reply.version, -age
