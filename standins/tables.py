"""Stand-in for the platform's table service."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from standins import command
from standins import server
from standins import store

if TYPE_CHECKING:
    import bottle

UNAVAILABLE = {"error": "unavailable", "applied": False}


class StoredRow(NamedTuple):
    """Value of a row and the version of its last write."""

    value: bytes
    version: int


class TablesStandin(store.StoreStandin):
    """Table service that keeps its rows in memory.

    Attributes:
        rows: Rows by table and key.
        last_version: Version of the last write, deletions included.
        reads: Number of gets and scans.
        transactions: Number of applied transactions.
    """

    def __init__(self, address: str = server.LISTEN_ADDRESS) -> None:
        super().__init__(address)
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.last_version = 0
        self.reads = 0
        self.transactions = 0
        self.app.route("/v1/get", "POST", self.get)
        self.app.route("/v1/scan", "POST", self.scan)
        self.app.route("/v1/transact", "POST", self.transact)

    def unavailable(self) -> bottle.HTTPResponse:
        """Returns the response that nothing was applied."""
        return server.json_response(503, UNAVAILABLE)

    def get(self) -> bottle.HTTPResponse:
        """Handles `POST /v1/get`."""
        self.inject_call_faults()
        self.reads += 1
        body = server.json_body()
        key = (body["table"], body["key"])
        row = self.document(key) if key in self.rows else None
        return server.json_response(200, {"row": row})

    def scan(self) -> bottle.HTTPResponse:
        """Handles `POST /v1/scan`."""
        self.inject_call_faults()
        self.reads += 1
        body = server.json_body()
        rows = [
            self.document(key)
            for key in sorted(self.rows)
            if key[0] == body["table"] and key[1].startswith(body["prefix"])
        ]
        return server.json_response(200, {"rows": rows})

    def transact(self) -> bottle.HTTPResponse:
        """Handles `POST /v1/transact`."""
        self.inject_call_faults()
        body = server.json_body()
        for check in body["checks"]:
            row = self.rows.get((check["table"], check["key"]))
            if (row.version if row else 0) != check["version"]:
                name = f"{check['table']}/{check['key']} has changed"
                return server.json_response(
                    409, {"error": name, "applied": False}
                )
        written = [self.write(write) for write in body["writes"]]
        self.transactions += 1
        self.inject_response_faults()
        rows = [self.document(key) for key in written if key in self.rows]
        return server.json_response(200, {"rows": rows})

    def write(self, write: dict[str, Any]) -> tuple[str, str]:
        """Applies one write; returns the table and key of its row."""
        key = (write["table"], write["key"])
        self.last_version += 1
        if write["value"] is None:
            self.rows.pop(key, None)
            return key
        value = base64.b64decode(write["value"])
        self.rows[key] = StoredRow(value, self.last_version)
        return key

    def document(self, key: tuple[str, str]) -> dict[str, Any]:
        """Returns the JSON document of a row."""
        row = self.rows[key]
        value = base64.b64encode(row.value).decode("ascii")
        return {
            "table": key[0],
            "key": key[1],
            "value": value,
            "version": row.version,
        }


if __name__ == "__main__":
    arguments = command.parser(__doc__).parse_args()
    server.serve(lambda: TablesStandin(arguments.address))
