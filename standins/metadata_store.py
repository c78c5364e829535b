"""Stand-in for the users' metadata store: rows, transactions and a feed.

    python -m standins.metadata_store --listen 127.0.0.1:7000

It can simulate being unavailable or slow, losing responses, losing its history
and being restored from a copy. A test sets the attributes for this; another
process sends them as a JSON object to `POST /standin/set`, where the key
"forget" drops the history and "restore" restores the copy that is so many
seconds old.
"""

from __future__ import annotations

import base64
import time
import urllib.parse
from typing import Any
from typing import NamedTuple

import click
import gevent
import gevent.event
import msgspec

from coltsfootarch.http1 import messages
from standins import http

MAX_FEED_WAIT_S = 30.0
# Time between two pieces of a response that is sent at a limited rate.
SLOW_PIECE_S = 0.01


class StoredRow(NamedTuple):
    """Row or, with a value of None, the removal of a row in the history."""

    table: str
    part: str
    key: str
    value: bytes | None
    revision: int

    def document(self) -> dict[str, Any]:
        """Returns the JSON document of the row."""
        document: dict[str, Any] = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "ver": self.revision,
        }
        if self.value is None:
            document["deleted"] = True
        else:
            document["value"] = base64.b64encode(self.value).decode()
        return document


class MetadataStore:
    """Rows in memory, served over HTTP.

    Attributes:
        rows: Rows by table, part and key.
        history: All writes that the feed can still deliver, oldest first.
        oldest: Revision up to which the history was dropped.
        revision: Revision of the last write.
        changed: Set briefly at each write, which wakes waiting feeds.
        calls: Names of the calls received.
        mode: "serve", "silent" (no response), "busy" (status 503) or "reset"
            (the connection is reset).
        delay_s: Seconds before each call takes effect.
        lose_answers: Whether transactions take effect and get no response.
        bytes_per_s: Rate at which responses are sent; 0 for no limit.
        stall_after_bytes: Bytes of a body after which a response at a limited
            rate stops for good; 0 for none.
        era: Number that rises with each restoration, sent in `Store-Era`; None
            to send none.
        writes: All writes of this history with their instants, in seconds.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.server = http.Server(self, address)
        self.rows: dict[tuple[str, str, str], StoredRow] = {}
        self.history: list[StoredRow] = []
        self.oldest = 0
        self.revision = 0
        self.changed = gevent.event.Event()
        self.calls: list[str] = []
        self.started = time.monotonic()
        self.mode = "serve"
        self.delay_s = 0.0
        self.lose_answers = False
        self.bytes_per_s = 0.0
        self.stall_after_bytes = 0
        self.era: int | None = 1
        self.writes: list[tuple[float, StoredRow]] = []

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
        """Writes a row, or removes it if `value` is None.

        Returns:
            The new revision.
        """
        self.revision += 1
        row = StoredRow(table, part, key, value, self.revision)
        self.apply(row)
        self.writes.append((time.monotonic(), row))
        self.changed.set()
        self.changed.clear()
        return self.revision

    def apply(self, row: StoredRow) -> None:
        """Applies a write to the rows and the history."""
        if row.value is None:
            self.rows.pop((row.table, row.part, row.key), None)
        else:
            self.rows[row.table, row.part, row.key] = row
        self.history.append(row)
        self.revision = row.revision

    def restore(self, revision: int) -> None:
        """Comes back from a copy that was made at a revision.

        What was written since is lost, and its revisions are given out again.
        """
        self.writes = [
            (at, row) for at, row in self.writes if row.revision <= revision
        ]
        self.rows = {}
        self.history = []
        self.revision = 0
        for _, row in self.writes:
            self.apply(row)
        self.oldest = min(self.oldest, self.revision)
        self.era = (self.era or 0) + 1
        self.changed.set()
        self.changed.clear()

    def restore_copy(self, age_s: float) -> None:
        """Comes back from a copy that is so many seconds old."""
        made_at = time.monotonic() - age_s
        self.restore(
            max(
                (row.revision for at, row in self.writes if at <= made_at),
                default=0,
            )
        )

    def drop_history(self) -> None:
        """Drops the history; feeds from earlier revisions get status 410."""
        self.oldest = self.revision
        self.history.clear()

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Handles a request of a client or of the test's control path."""
        path, _, query = request.target.partition("?")
        if path == "/standin/set":
            for name, value in msgspec.json.decode(request.body).items():
                if name == "forget":
                    self.drop_history()
                elif name == "restore":
                    self.restore_copy(float(value))
                else:
                    setattr(self, name, value)
            connection.respond(200)
            return
        if path == "/standin/put":
            document = msgspec.json.decode(request.body)
            value = document.get("value")
            self.put(
                document["table"],
                document["key"],
                None if value is None else value.encode(),
            )
            connection.respond(200)
            return
        self.calls.append(path.rpartition("/")[2])
        if self.mode == "silent":
            return
        if self.mode == "reset":
            connection.reset()
            return
        if self.mode == "busy":
            connection.respond(503, self.era_fields())
            return
        if self.delay_s:
            gevent.sleep(self.delay_s)
        arguments = dict(urllib.parse.parse_qsl(query))
        status, document = self.dispatch(path, arguments, request.body)
        if self.lose_answers and path.endswith("rows-tx"):
            connection.reset()
            return
        if self.mode != "serve":
            return
        document["now_ms"] = int((time.monotonic() - self.started) * 1000)
        body = msgspec.json.encode(document)
        fields = (("Content-Type", "application/json"), *self.era_fields())
        if not self.bytes_per_s:
            connection.respond(status, fields, body)
            return
        length = ("Content-Length", str(len(body)))
        connection.send(
            messages.render_head(
                messages.status_line(status), [*fields, length]
            )
        )
        self.send_slowly(connection, body)

    def era_fields(self) -> messages.Fields:
        """Returns the header field that states the era, if one is stated."""
        if self.era is None:
            return ()
        return (("Store-Era", str(self.era)),)

    def send_slowly(self, connection: http.Connection, body: bytes) -> None:
        """Sends a body at `bytes_per_s`, as over a slow link."""
        piece = max(int(self.bytes_per_s * SLOW_PIECE_S), 1)
        end = self.stall_after_bytes or len(body)
        for start in range(0, end, piece):
            gevent.sleep(SLOW_PIECE_S)
            connection.send(body[start : start + piece])

    def dispatch(
        self, path: str, arguments: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and document of a call."""
        name = path.rpartition("/")[2]
        if name == "rows-get":
            return 200, self.read(arguments)
        if name == "rows-feed":
            return self.feed(arguments)
        if name == "rows-tx":
            return self.transact(msgspec.json.decode(body))
        return 404, {}

    def read(self, arguments: dict[str, str]) -> dict[str, Any]:
        """Returns the response document of `rows-get`."""
        low = arguments.get("from", "")
        high = arguments.get("to")
        limit = int(arguments.get("limit", "500"))
        rows = sorted(
            (row.key, row)
            for row in self.rows.values()
            if row.table == arguments["table"]
            and row.part == arguments.get("part", "")
            and row.key >= low
            and (high is None or row.key < high)
        )
        return {
            "rows": [row.document() for _, row in rows[:limit]],
            "truncated": len(rows) > limit,
            "ver": self.revision,
        }

    def feed(self, arguments: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Returns status and document of `rows-feed`, waiting for a write."""
        after = int(arguments["after"])
        if after < self.oldest or after > self.revision:
            return 410, {}
        wait = min(float(arguments.get("wait_ms", "0")) / 1000, MAX_FEED_WAIT_S)
        deadline = time.monotonic() + wait
        era = self.era
        while True:
            rows = [
                row
                for row in self.history
                if row.table == arguments["table"] and row.revision > after
            ]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0 or self.era != era:
                break
            self.changed.wait(remaining_s)
        documents = [row.document() for row in rows]
        return 200, {"rows": documents, "ver": self.revision}

    def transact(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies `rows-tx` if all expected revisions match.

        Returns:
            Status 200 with the new revision, or 412 with the current rows.
        """
        current = []
        conflict = False
        for expectation in document.get("expected", ()):
            row = self.rows.get(row_key(expectation))
            if row is not None:
                current.append(row.document())
            conflict |= (row.revision if row else 0) != expectation["ver"]
        if conflict:
            return 412, {"rows": current, "ver": self.revision}
        for row in document.get("writes", ()):
            table, part, key = row_key(row)
            self.put(table, key, base64.b64decode(row["value"]), part)
        for row in document.get("remove", ()):
            table, part, key = row_key(row)
            self.put(table, key, None, part)
        return 200, {"ver": self.revision}


def row_key(row: dict[str, Any]) -> tuple[str, str, str]:
    """Returns the table, part and key of a row document."""
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
