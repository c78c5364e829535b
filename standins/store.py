"""Faults that the stand-ins of the platform's stores share."""

from __future__ import annotations

from typing import Any

import bottle
import gevent

from standins import server


class StoreStandin(server.Standin):
    """A store that can be down, slow or lose answers.

    Faults: `down` answers that nothing was applied, `delay` is the number of
    seconds before each call takes effect, `lose_answers` the number of coming
    writes that take effect and lose their connection.

    Args:
        address: "ip:port" to listen on.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults named in the class description."""
        super().apply_faults(faults)
        self.down = faults.get("down", self.down)
        self.delay = faults.get("delay", self.delay)
        self.lose_answers = faults.get("lose_answers", self.lose_answers)

    def unavailable(self) -> bottle.HTTPResponse:
        """Returns the answer of a store that is down."""
        return bottle.HTTPResponse(status=503)

    def inject_call_faults(self) -> None:
        """Applies the faults that come before a call takes effect.

        Raises:
            bottle.HTTPResponse: The store is down.
        """
        if self.delay:
            gevent.sleep(self.delay)
        self.wait_if_silent()
        if self.down:
            raise self.unavailable()

    def inject_answer_faults(self) -> None:
        """Ends the connection of a write whose answer is to be lost."""
        if self.lose_answers:
            self.lose_answers -= 1
            server.drop(server.current_connection())
