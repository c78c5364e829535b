"""Cancels requests on whichever host runs them."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.gateway import inflight
    from coltsfootarch.protocol import network

FORWARD_TIMEOUT = datetime.timedelta(seconds=1)


class RemoteCanceller:
    """Ends a request on this host, or asks the host that its id names.

    Args:
        requests: Requests in progress on this host.
        network: Network between hosts.
        address_of: Returns the peer address of a host's incarnation, or None.
        refresh: Updates the addresses that `address_of` returns.
    """

    def __init__(
        self,
        requests: inflight.InflightRequests,
        network: network.PeerNetwork,
        address_of: Callable[[str, int], str | None],
        refresh: Callable[[], None],
    ) -> None:
        self.requests = requests
        self.network = network
        self.address_of = address_of
        self.refresh = refresh

    def start(self) -> None:
        """Registers the handler for other hosts' cancellations."""
        self.network.register(messages.CancelRequest, self.on_cancel)

    def cancel(self, request_id: str, account: str) -> None:
        """Cancels a request of a client account.

        Raises:
            RefusedError: No such request of this account is in progress.
            PeerTimeoutError: The host that runs it did not answer.
        """
        code = results.CLIENT_CANCELLED
        if self.requests.end(request_id, account, code):
            return
        address = self.owner_address(request_id)
        if address is None:
            raise errors.RefusedError(results.UNKNOWN_REQUEST)
        message = messages.CancelRequest(request_id, account)
        answer = self.network.request(address, message, FORWARD_TIMEOUT)
        if not answer.accepted:
            raise errors.RefusedError(results.UNKNOWN_REQUEST)

    def owner_address(self, request_id: str) -> str | None:
        """Returns the peer address of the host that a request id names.

        The addresses are refreshed once if the host is missing, because it may
        have started after the last update.

        Returns:
            The address, or None if the id is invalid, names this process or
            names a host that is not known.
        """
        host, _, incarnation = request_id.rpartition(".")[0].rpartition(".")
        if not host or not incarnation.isdecimal():
            return None
        is_own_host = host == self.requests.host
        if is_own_host and int(incarnation) == self.requests.incarnation:
            return None
        address = self.address_of(host, int(incarnation))
        if address is None:
            self.refresh()
            address = self.address_of(host, int(incarnation))
        return address

    def on_cancel(
        self, _sender: messages.Sender, message: messages.CancelRequest
    ) -> messages.Ack:
        """Ends a request at the request of another host."""
        found = self.requests.end(
            message.request_id, message.account, results.CLIENT_CANCELLED
        )
        return messages.Ack(accepted=found)
