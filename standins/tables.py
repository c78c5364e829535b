"""Stand-in for the platform's table service."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent

from standins import command
from standins import server

if TYPE_CHECKING:
    import bottle

UNAVAILABLE = {"error": "unavailable", "applied": False}


class StoredRow(NamedTuple):
    """Value and version of a row."""

    value: bytes
    version: int


class TablesStandin(server.Standin):
    """Transactional tables in memory.

    Faults: `down` answers that nothing was applied, `delay` is the number of
    seconds before each call takes effect, `lose_answers` the number of coming
    transactions that take effect and lose their connection.

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
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.app.route("/v1/get", "POST", self._get)
        self.app.route("/v1/scan", "POST", self._scan)
        self.app.route("/v1/transact", "POST", self._transact)

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults named in the class description."""
        super().apply_faults(faults)
        self.down = faults.get("down", self.down)
        self.delay = faults.get("delay", self.delay)
        self.lose_answers = faults.get("lose_answers", self.lose_answers)

    def _get(self) -> bottle.HTTPResponse:
        self._meet_faults()
        self.reads += 1
        body = server.json_body()
        key = (body["table"], body["key"])
        row = self._document(key) if key in self.rows else None
        return server.json_answer(200, {"row": row})

    def _scan(self) -> bottle.HTTPResponse:
        self._meet_faults()
        self.reads += 1
        body = server.json_body()
        rows = [
            self._document(key)
            for key in sorted(self.rows)
            if key[0] == body["table"] and key[1].startswith(body["prefix"])
        ]
        return server.json_answer(200, {"rows": rows})

    def _transact(self) -> bottle.HTTPResponse:
        self._meet_faults()
        body = server.json_body()
        for check in body["checks"]:
            row = self.rows.get((check["table"], check["key"]))
            if (row.version if row else 0) != check["version"]:
                name = f"{check['table']}/{check['key']} has changed"
                return server.json_answer(
                    409, {"error": name, "applied": False}
                )
        written = [self._write(write) for write in body["writes"]]
        self.transactions += 1
        if self.lose_answers:
            self.lose_answers -= 1
            server.drop(server.current_connection())
        rows = [self._document(key) for key in written if key in self.rows]
        return server.json_answer(200, {"rows": rows})

    def _write(self, write: dict[str, Any]) -> tuple[str, str]:
        key = (write["table"], write["key"])
        self.last_version += 1
        if write["value"] is None:
            self.rows.pop(key, None)
            return key
        value = base64.b64decode(write["value"])
        self.rows[key] = StoredRow(value, self.last_version)
        return key

    def _document(self, key: tuple[str, str]) -> dict[str, Any]:
        row = self.rows[key]
        value = base64.b64encode(row.value).decode("ascii")
        return {
            "table": key[0],
            "key": key[1],
            "value": value,
            "version": row.version,
        }

    def _meet_faults(self) -> None:
        if self.delay:
            gevent.sleep(self.delay)
        self.wait_if_silent()
        if self.down:
            raise server.json_answer(503, UNAVAILABLE)


if __name__ == "__main__":
    arguments = command.parser(__doc__).parse_args()
    server.serve(lambda: TablesStandin(arguments.address))
