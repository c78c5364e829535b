"""Base class for stand-ins of the platform's stores, with their faults."""

from __future__ import annotations

from typing import Any

import bottle
import gevent

from standins import server


class StoreStandin(server.Standin):
    """Store that can be unavailable or slow or lose responses.

    Faults of `POST /-/faults`:

    - `down`: calls get a response that nothing was applied;
    - `delay`: seconds before each call takes effect;
    - `lose_answers`: number of upcoming writes that take effect and whose
      connection ends without a response.

    Args:
        address: "ip:port" to listen on.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        super().apply_faults(faults)
        self.down = faults.get("down", self.down)
        self.delay = faults.get("delay", self.delay)
        self.lose_answers = faults.get("lose_answers", self.lose_answers)

    def unavailable(self) -> bottle.HTTPResponse:
        """Returns the response of a store that is down."""
        return bottle.HTTPResponse(status=503)

    def inject_call_faults(self) -> None:
        """Applies the faults that precede the effect of a call.

        Raises:
            bottle.HTTPResponse: The store is down.
        """
        if self.delay:
            gevent.sleep(self.delay)
        self.wait_if_silent()
        if self.down:
            raise self.unavailable()

    def inject_response_faults(self) -> None:
        """Shuts down the connection of a write whose response is lost."""
        if self.lose_answers:
            self.lose_answers -= 1
            server.drop_connection(server.current_connection())
