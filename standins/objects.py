"""Stand-in for the platform's object store."""

from __future__ import annotations

from typing import Any

import bottle
import gevent

from standins import command
from standins import server


class ObjectsStandin(server.Standin):
    """Objects in memory.

    Faults: `down` answers 503, `delay` is in seconds, `lose_answers` is the
    number of coming writes that take effect and lose their connection.

    Attributes:
        objects: Objects by key.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.app.route("/v1/objects/<key:path>", "PUT", self._put)
        self.app.route("/v1/objects/<key:path>", "GET", self._get)

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults named in the class description."""
        super().apply_faults(faults)
        self.down = faults.get("down", self.down)
        self.delay = faults.get("delay", self.delay)
        self.lose_answers = faults.get("lose_answers", self.lose_answers)

    def _put(self, key: str) -> bottle.HTTPResponse:
        self._meet_faults()
        self.objects[key] = bottle.request.body.read()
        if self.lose_answers:
            self.lose_answers -= 1
            server.drop(server.current_connection())
        return bottle.HTTPResponse(status=204)

    def _get(self, key: str) -> bottle.HTTPResponse:
        self._meet_faults()
        if key not in self.objects:
            return bottle.HTTPResponse(status=404)
        return bottle.HTTPResponse(
            self.objects[key],
            headers={"Content-Type": "application/octet-stream"},
        )

    def _meet_faults(self) -> None:
        if self.delay:
            gevent.sleep(self.delay)
        self.wait_if_silent()
        if self.down:
            raise bottle.HTTPResponse(status=503)


if __name__ == "__main__":
    arguments = command.parser(__doc__).parse_args()
    server.serve(lambda: ObjectsStandin(arguments.address))
