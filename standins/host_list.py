"""Stand-in for the platform's list of hosts, which lags behind changes."""

from __future__ import annotations

import time
from typing import Any
from typing import NamedTuple

import bottle

from standins import command
from standins import server

DEFAULT_LAG = 2.0


class Listing(NamedTuple):
    """A host list and the monotonic instant from which it is visible."""

    live: tuple[str, ...]
    leaving: tuple[str, ...]
    visible_at: float


class HostListStandin(server.Standin):
    """Serves a host list that becomes visible some time after it was set.

    `PUT /-/list` with `live` and `leaving` sets the list. Fault: with `down`,
    reads get status 503.

    Args:
        address: "ip:port" to listen on.
        lag: Seconds from setting a list until it is visible.
    """

    def __init__(
        self,
        address: str = server.LISTEN_ADDRESS,
        lag: float = DEFAULT_LAG,
    ) -> None:
        super().__init__(address)
        self.lag = lag
        self.down = False
        self.listings = [Listing((), (), 0.0)]
        self.app.route("/v1/hosts", "GET", self.get_hosts)
        self.app.route("/-/list", "PUT", self.put_list)

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        super().apply_faults(faults)
        self.down = faults.get("down", self.down)

    def set_list(self, live: list[str], leaving: list[str]) -> None:
        """Sets the list that is visible after the lag.

        Args:
            live: Addresses ("ip:port") of running machines.
            leaving: Addresses of machines that are about to be removed.
        """
        visible_at = time.monotonic() + self.lag
        self.listings.append(Listing(tuple(live), tuple(leaving), visible_at))

    def visible(self) -> Listing:
        """Returns the newest list whose lag has passed."""
        now = time.monotonic()
        past = [entry for entry in self.listings if entry.visible_at <= now]
        return max(past, key=lambda entry: entry.visible_at)

    def get_hosts(self) -> bottle.HTTPResponse:
        """Handles `GET /v1/hosts`."""
        self.wait_if_silent()
        if self.down:
            return bottle.HTTPResponse(status=503)
        listing = self.visible()
        return server.json_response(
            200, {"live": listing.live, "leaving": listing.leaving}
        )

    def put_list(self) -> dict[str, Any]:
        """Handles `PUT /-/list`."""
        body = server.json_body()
        self.set_list(body.get("live", []), body.get("leaving", []))
        return {}


if __name__ == "__main__":
    parser = command.parser(__doc__)
    parser.add_argument("--lag", type=float, default=DEFAULT_LAG)
    arguments = parser.parse_args()
    server.serve(lambda: HostListStandin(arguments.address, arguments.lag))
