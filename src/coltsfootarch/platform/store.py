"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from coltsfootarch import errors
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# A new connection is opened and a short call answered within this time.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# Slack for the answer of a call that waits for changes, in seconds.
FEED_TIMEOUT_MARGIN_S = 0.5
ROWS_PER_CALL = 500


class Row(NamedTuple):
    """A stored row.

    Attributes:
        key: Key within its table.
        value: Stored bytes; None if the row was removed.
        revision: Revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int = 0


class Rows(NamedTuple):
    """Rows as of one moment.

    Attributes:
        rows: The rows, by key or in order of change.
        revision: Newest revision of the store at that moment.
        sent_at: Instant at which the call was sent, in seconds.
    """

    rows: tuple[Row, ...]
    revision: int
    sent_at: float


class StoreClient:
    """Calls the store over one connection at a time.

    Args:
        address: "ip:port" of the store.
        clock: Source of time.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self.clock = clock
        self.connection: client.Connection | None = None
        self.calls = 0

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def read_table(self, table: str) -> Rows:
        """Returns all rows of a table.

        Raises:
            errors.TableUnavailableError: Not read.
        """
        rows: list[Row] = []
        start = ""
        sent_at = None
        while True:
            query = {"table": table, "part": "", "limit": ROWS_PER_CALL}
            if start:
                query["from"] = start
            page, document = self.fetch("rows-get", query, CALL_TIMEOUT_S)
            sent_at = page.sent_at if sent_at is None else sent_at
            rows += page.rows
            if not document.get("truncated") or not page.rows:
                return Rows(tuple(rows), page.revision, sent_at)
            start = page.rows[-1].key + "\0"

    def read_changes(self, table: str, revision: int, wait_s: float) -> Rows:
        """Returns the rows that changed after a revision.

        Args:
            table: Name of the table.
            revision: Revision after which changes are wanted.
            wait_s: Time that the store waits for a change, in seconds.

        Raises:
            errors.HistoryLostError: Read the whole table instead.
            errors.TableUnavailableError: Not read.
        """
        query = {
            "table": table,
            "after": revision,
            "wait_ms": int(wait_s * 1000),
        }
        timeout = wait_s + max(FEED_TIMEOUT_MARGIN_S, CALL_TIMEOUT_S)
        return self.fetch("rows-feed", query, timeout)[0]

    def read_row(self, table: str, key: str) -> tuple[Row | None, int]:
        """Returns a row and the store's clock in milliseconds.

        Raises:
            errors.TableUnavailableError: Not read.
        """
        query = {
            "table": table,
            "part": "",
            "from": key,
            "to": key + "\0",
            "limit": 1,
        }
        page, document = self.fetch("rows-get", query, CALL_TIMEOUT_S)
        now_ms = document.get("now_ms")
        if not isinstance(now_ms, int):
            raise errors.TableUnavailableError("the store sent no clock")
        return (page.rows[0] if page.rows else None), now_ms

    def replace_row(
        self, table: str, key: str, value: bytes, revision: int
    ) -> bool:
        """Writes a row unless it changed; returns whether it was written.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New bytes.
            revision: Revision that the row must have; 0 for no row.

        Raises:
            errors.TableUnavailableError: May or may not be written.
        """
        row_key = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode("ascii")
        document = {
            "expected": [{**row_key, "ver": revision}],
            "writes": [{**row_key, "value": encoded}],
            "remove": [],
        }
        try:
            self.transact(document)
        except errors.TransactionConflictError:
            return False
        return True

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Writes a row whatever it held before.

        Raises:
            errors.TableUnavailableError: May or may not be written.
        """
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
        }
        self.transact({"expected": [], "writes": [row], "remove": []})

    def remove_row(self, table: str, key: str) -> None:
        """Removes a row.

        Raises:
            errors.TableUnavailableError: May or may not be removed.
        """
        row = {"table": table, "part": "", "key": key}
        self.transact({"expected": [], "writes": [], "remove": [row]})

    def transact(self, document: dict[str, Any]) -> None:
        """Sends a transaction."""
        body = msgspec.json.encode(document)
        self.call("POST", "/api/rows-tx", body, CALL_TIMEOUT_S)

    def fetch(
        self, name: str, query: dict[str, Any], timeout: float
    ) -> tuple[Rows, dict[str, Any]]:
        """Reads rows; returns them and the whole answer."""
        sent_at = self.clock.monotonic()
        target = f"/api/{name}?{urllib.parse.urlencode(query)}"
        body = self.call("GET", target, b"", timeout)
        try:
            document = msgspec.json.decode(body)
            rows = tuple(map(decode_row, document["rows"]))
            return Rows(rows, int(document["ver"]), sent_at), document
        except (
            msgspec.DecodeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise errors.TableUnavailableError(
                f"the store's answer to {name} can't be read: {error!r}"
            ) from error

    def call(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> bytes:
        """Makes one call and returns the body of its answer."""
        try:
            head, data = self.exchange(method, target, body, timeout)
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            self.close()
            raise errors.TableUnavailableError(str(error)) from error
        except BaseException:
            self.close()
            raise
        if head.status == 410:
            raise errors.HistoryLostError("the store dropped its history")
        if head.status == 412:
            raise errors.TransactionConflictError("the row has changed")
        if head.status != 200:
            raise errors.TableUnavailableError(
                f"the store answered {head.status}"
            )
        return data

    def exchange(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> tuple[messages.ResponseHead, bytes]:
        """Sends a call and reads its answer."""
        self.calls += 1
        connection = self.connection
        if connection is None or not connection.is_quiet():
            self.close()
            connection = client.Connection(self.address, self.clock)
            connection.start(CONNECT_TIMEOUT_S)
            self.connection = connection
        fields = [("Host", self.address)]
        if body:
            fields.append(("Content-Type", "application/json"))
        if body or method != "GET":
            fields.append(("Content-Length", str(len(body))))
        head = messages.render_head(f"{method} {target} HTTP/1.1", fields)
        deadline = self.clock.monotonic() + timeout
        connection.send(head, body, CALL_TIMEOUT_S)
        data = bytearray()
        answer: messages.ResponseHead | None = None
        while True:
            part = connection.read_part(deadline - self.clock.monotonic())
            if part is None:
                break
            if isinstance(part, messages.ResponseHead):
                answer = part
            else:
                data += part
        if answer is None:
            raise client.BrokenConnectionError("an answer without a head")
        if not connection.finish(answer):
            self.connection = None
        return answer, bytes(data)


def decode_row(entry: dict[str, Any]) -> Row:
    """Returns a row of an answer; unreadable values become empty."""
    if entry.get("deleted"):
        return Row(entry["key"], None)
    revision = entry.get("ver", 0)
    try:
        value = base64.b64decode(entry["value"])
    except (binascii.Error, KeyError, TypeError, ValueError):
        # Such a row names nothing, which its reader reports.
        value = b""
    return Row(entry["key"], value, revision)
