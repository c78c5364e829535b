"""Stand-in for the platform's object store."""

from __future__ import annotations

import bottle

from standins import command
from standins import server
from standins import store


class ObjectsStandin(store.StoreStandin):
    """Object store that keeps its objects in memory.

    Attributes:
        objects: Contents of the objects by key.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.objects: dict[str, bytes] = {}
        self.app.route("/v1/objects/<key:path>", "PUT", self.put_object)
        self.app.route("/v1/objects/<key:path>", "GET", self.get_object)

    def put_object(self, key: str) -> bottle.HTTPResponse:
        """Handles `PUT /v1/objects/KEY`."""
        self.inject_call_faults()
        self.objects[key] = bottle.request.body.read()
        self.inject_response_faults()
        return bottle.HTTPResponse(status=204)

    def get_object(self, key: str) -> bottle.HTTPResponse:
        """Handles `GET /v1/objects/KEY`."""
        self.inject_call_faults()
        if key not in self.objects:
            return bottle.HTTPResponse(status=404)
        return bottle.HTTPResponse(
            self.objects[key],
            headers={"Content-Type": "application/octet-stream"},
        )


if __name__ == "__main__":
    arguments = command.parser(__doc__).parse_args()
    server.serve(lambda: ObjectsStandin(arguments.address))
