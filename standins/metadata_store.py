"""Stand-in of the users' metadata store: rows, transactions and a feed.

    python -m standins.metadata_store --listen 127.0.0.1:7000

It can be down, slow, lose answers, and forget its history; a test sets the
attributes, another process calls `POST /standin/set` with them as JSON.
"""

from __future__ import annotations

import base64
import time
import urllib.parse
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import click
import gevent
import gevent.event
import msgspec

from standins import http

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages

MAX_WAIT_S = 30.0


class Stored(NamedTuple):
    """A row; a value of None marks a removed one in the history."""

    table: str
    part: str
    key: str
    value: bytes | None
    revision: int

    def document(self) -> dict[str, Any]:
        found: dict[str, Any] = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "ver": self.revision,
        }
        if self.value is None:
            found["deleted"] = True
        else:
            found["value"] = base64.b64encode(self.value).decode()
        return found


class MetadataStore:
    """Rows in memory, served over HTTP."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.server = http.Server(self, address)
        self.rows: dict[tuple[str, str, str], Stored] = {}
        self.history: list[Stored] = []
        self.oldest = 0
        self.revision = 0
        self.changed = gevent.event.Event()
        self.calls: list[str] = []
        self.started = time.monotonic()
        # Faults.
        self.mode = "serve"  # or "silent", "busy", "reset"
        self.delay_s = 0.0
        self.lose_answers = False

    @property
    def address(self) -> str:
        return self.server.address

    def start(self) -> None:
        self.server.start()

    def close(self) -> None:
        self.server.close()

    def put(
        self, table: str, key: str, value: bytes | None, part: str = ""
    ) -> int:
        """Writes or removes a row as its owner; returns the revision."""
        self.revision += 1
        row = Stored(table, part, key, value, self.revision)
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = row
        self.history.append(row)
        self.changed.set()
        self.changed.clear()
        return self.revision

    def forget_history(self) -> None:
        self.oldest = self.revision
        self.history.clear()

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        path, _, query = request.target.partition("?")
        if path == "/standin/set":
            for name, value in msgspec.json.decode(request.body).items():
                if name == "forget":
                    self.forget_history()
                else:
                    setattr(self, name, value)
            connection.answer(200)
            return
        if path == "/standin/put":
            document = msgspec.json.decode(request.body)
            value = document.get("value")
            self.put(
                document["table"],
                document["key"],
                None if value is None else value.encode(),
            )
            connection.answer(200)
            return
        self.calls.append(path.rpartition("/")[2])
        if self.mode == "silent":
            return
        if self.mode == "reset":
            connection.reset()
            return
        if self.mode == "busy":
            connection.answer(503)
            return
        if self.delay_s:
            gevent.sleep(self.delay_s)
        arguments = dict(urllib.parse.parse_qsl(query))
        status, document = self.call(path, arguments, request.body)
        if self.lose_answers and path.endswith("rows-tx"):
            connection.reset()
            return
        if self.mode != "serve":
            return
        document["now_ms"] = int((time.monotonic() - self.started) * 1000)
        connection.answer(
            status,
            (("Content-Type", "application/json"),),
            msgspec.json.encode(document),
        )

    def call(
        self, path: str, arguments: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        name = path.rpartition("/")[2]
        if name == "rows-get":
            return 200, self.read(arguments)
        if name == "rows-feed":
            return self.feed(arguments)
        if name == "rows-tx":
            return self.transact(msgspec.json.decode(body))
        return 404, {}

    def read(self, arguments: dict[str, str]) -> dict[str, Any]:
        low = arguments.get("from", "")
        high = arguments.get("to")
        limit = int(arguments.get("limit", "500"))
        found = sorted(
            (row.key, row)
            for row in self.rows.values()
            if row.table == arguments["table"]
            and row.part == arguments.get("part", "")
            and row.key >= low
            and (high is None or row.key < high)
        )
        return {
            "rows": [row.document() for _, row in found[:limit]],
            "truncated": len(found) > limit,
            "ver": self.revision,
        }

    def feed(self, arguments: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(arguments["after"])
        if after < self.oldest:
            return 410, {}
        wait = min(float(arguments.get("wait_ms", "0")) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait
        while True:
            rows = [
                row
                for row in self.history
                if row.table == arguments["table"] and row.revision > after
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                break
            self.changed.wait(left)
        documents = [row.document() for row in rows]
        return 200, {"rows": documents, "ver": self.revision}

    def transact(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        current = []
        failed = False
        for wanted in document.get("expected", ()):
            row = self.rows.get(place(wanted))
            if row is not None:
                current.append(row.document())
            failed |= (row.revision if row else 0) != wanted["ver"]
        if failed:
            return 412, {"rows": current, "ver": self.revision}
        for row in document.get("writes", ()):
            table, part, key = place(row)
            self.put(table, key, base64.b64decode(row["value"]), part)
        for row in document.get("remove", ()):
            table, part, key = place(row)
            self.put(table, key, None, part)
        return 200, {"ver": self.revision}


def place(row: dict[str, Any]) -> tuple[str, str, str]:
    """Returns table, part and key of a row."""
    return row["table"], row["part"], row["key"]


@click.command()
@click.option("--listen", default="127.0.0.1:7000")
def main(listen: str) -> None:
    """Run the metadata store until it is killed."""
    store = MetadataStore(listen)
    store.start()
    gevent.wait()


if __name__ == "__main__":
    main()
