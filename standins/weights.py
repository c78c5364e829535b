"""Stand-in for the rate-limited store of model weights."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

import bottle
import gevent

from standins import command
from standins import server

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNK_BYTES = 64 * 1024
DEFAULT_RATE = 100.0 * 1024 * 1024


class WeightsStandin(server.Standin):
    """Serves objects of zero bytes at a rate shared by all readers.

    `GET /v1/weights/NAME` returns an object. Fault: `rate` sets the rate in
    bytes per second.

    Args:
        address: "ip:port" to listen on.
        rate: Bytes per second for all readers together.

    Attributes:
        sizes: Size of each object in bytes, by name.
        link_free_at: Monotonic instant at which all chunks scheduled so far
            have been sent.
    """

    def __init__(
        self,
        address: str = server.LISTEN_ADDRESS,
        rate: float = DEFAULT_RATE,
    ) -> None:
        super().__init__(address)
        self.rate = rate
        self.sizes: dict[str, int] = {}
        self.link_free_at = 0.0
        self.app.route("/v1/weights/<name>", "GET", self.get_weights)

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        super().apply_faults(faults)
        self.rate = faults.get("rate", self.rate)

    def get_weights(self, name: str) -> Iterator[bytes]:
        """Handles `GET /v1/weights/NAME`."""
        if name not in self.sizes:
            raise bottle.HTTPResponse(status=404)
        bottle.response.content_length = self.sizes[name]
        bottle.response.content_type = "application/octet-stream"
        return self.chunks(self.sizes[name])

    def chunks(self, size: int) -> Iterator[bytes]:
        """Yields zero bytes at the shared rate.

        It waits after a chunk, not before: bottle sends the head with the first
        chunk, and until then a handler of another greenlet would replace it.
        """
        for start in range(0, size, CHUNK_BYTES):
            length = min(CHUNK_BYTES, size - start)
            now = time.monotonic()
            self.link_free_at = max(self.link_free_at, now) + length / self.rate
            yield bytes(length)
            gevent.sleep(self.link_free_at - now)


if __name__ == "__main__":
    parser = command.parser(__doc__)
    parser.add_argument("--rate", type=float, default=DEFAULT_RATE)
    arguments = parser.parse_args()
    server.serve(lambda: WeightsStandin(arguments.address, arguments.rate))
