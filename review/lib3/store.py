"""Metadata store of the third review: some of its tables can be unavailable.

    python3 -m review.lib3.store --listen 127.0.0.1:7000

It is the project's stand-in. `POST /standin/set` with the key "down_tables", a
list of names, makes calls for these tables answer 503, which means that nothing
was done; the other tables are served.
"""

from __future__ import annotations

import urllib.parse
from typing import TYPE_CHECKING
from typing import Any

import click
import gevent
import msgspec

from standins import metadata_store

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages
    from standins import http


def tables_of(request: messages.Request) -> set[str]:
    """Returns the names of the tables that a call reads or writes."""
    _, _, query = request.target.partition("?")
    arguments = dict(urllib.parse.parse_qsl(query))
    if "table" in arguments:
        return {arguments["table"]}
    if not request.target.endswith("/rows-tx"):
        return set()
    document: dict[str, Any] = msgspec.json.decode(request.body)
    return {
        row["table"]
        for key in ("expected", "writes", "remove")
        for row in document.get(key, ())
    }


class PartialStore(metadata_store.MetadataStore):
    """Store of which some tables can be unavailable.

    Attributes:
        down_tables: Names of the tables that are unavailable.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.down_tables: list[str] = []

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Handles a call, unless one of its tables is unavailable."""
        if tables_of(request) & set(self.down_tables):
            connection.respond(503, self.era_fields())
            return
        super().handle(request, connection)


@click.command()
@click.option("--listen", required=True)
def main(listen: str) -> None:
    """Run the store until it is killed."""
    store = PartialStore(listen)
    store.start()
    gevent.wait()


if __name__ == "__main__":
    main()
