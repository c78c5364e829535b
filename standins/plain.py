"""Stand-in for a plain service, with bookings and a stock query."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Any

import gevent

from standins import command
from standins import server

if TYPE_CHECKING:
    import bottle


class PlainStandin(server.Standin):
    """Accepts bookings and counts how often each one was executed.

    Faults of `POST /-/faults`:

    - `die_before_answer`: number of upcoming requests that are executed and
      whose connection ends without a response;
    - `delay`: seconds between the execution of a request and its response;
    - `refuse`: seconds for which new connections are refused.

    Attributes:
        runs: Number of executions by booking id.
        stock_reads: Number of executed stock queries.
        relisten_greenlet: Greenlet that listens again after `refuse`.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.runs: collections.Counter[str] = collections.Counter()
        self.stock_reads = 0
        self.die_before_answer = 0
        self.delay = 0.0
        self.relisten_greenlet: gevent.Greenlet | None = None
        self.app.route("/bookings", "POST", self.post_booking)
        self.app.route("/stock", "GET", self.get_stock)
        self.app.route("/-/runs", "GET", self.get_runs)

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        super().apply_faults(faults)
        self.die_before_answer = faults.get(
            "die_before_answer", self.die_before_answer
        )
        self.delay = faults.get("delay", self.delay)
        if "refuse" in faults:
            self.stop_listening()
            self.relisten_greenlet = gevent.spawn_later(
                faults["refuse"], self.listen
            )

    def close(self) -> None:
        """Stops listening and drops all connections."""
        if self.relisten_greenlet is not None:
            self.relisten_greenlet.kill()
        super().close()

    def post_booking(self) -> bottle.HTTPResponse:
        """Handles `POST /bookings`."""
        self.wait_if_silent()
        body = server.json_body()
        self.runs[body["booking_id"]] += 1
        self.inject_faults()
        return server.json_response(201, {"booking_id": body["booking_id"]})

    def get_stock(self) -> bottle.HTTPResponse:
        """Handles `GET /stock`."""
        self.wait_if_silent()
        self.stock_reads += 1
        self.inject_faults()
        return server.json_response(200, {"items": {"walker": 4, "bed": 2}})

    def get_runs(self) -> dict[str, Any]:
        """Handles `GET /-/runs`."""
        return {"runs": dict(self.runs), "stock_reads": self.stock_reads}

    def inject_faults(self) -> None:
        """Applies the faults between an execution and its response."""
        if self.delay:
            gevent.sleep(self.delay)
        self.wait_if_silent()
        if self.die_before_answer:
            self.die_before_answer -= 1
            server.drop_connection(server.current_connection())


if __name__ == "__main__":
    arguments = command.parser(__doc__).parse_args()
    server.serve(lambda: PlainStandin(arguments.address))
