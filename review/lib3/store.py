"""Metadata store of the third review, which can carry out writes late.

    python3 -m review.lib3.store --listen 127.0.0.1:7000

It is the project's stand-in. `POST /standin/set` with the key "late_share"
makes that share of the transactions get no answer: their connection is reset,
and they are carried out "late_s" seconds later if their conditions hold then.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import click
import gevent
import msgspec

from standins import metadata_store

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages
    from standins import http


class LateStore(metadata_store.MetadataStore):
    """Store that can lose the answers of writes and carry these out late.

    Attributes:
        late_share: Share of the transactions that are late, from 0 to 1.
        late_s: Seconds after which they are carried out.
        late: Number of transactions that were late.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.late_share = 0.0
        self.late_s = 3.0
        self.generator = random.Random(53)
        self.late = 0

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Handles a call, or resets its connection if it is to be late."""
        if (
            request.target.endswith("/rows-tx")
            and self.generator.random() < self.late_share
        ):
            self.late += 1
            document: dict[str, Any] = msgspec.json.decode(request.body)
            gevent.spawn_later(self.late_s, self.transact, document)
            connection.reset()
            return
        super().handle(request, connection)


@click.command()
@click.option("--listen", required=True)
def main(listen: str) -> None:
    """Run the store until it is killed."""
    store = LateStore(listen)
    store.start()
    gevent.wait()


if __name__ == "__main__":
    main()
