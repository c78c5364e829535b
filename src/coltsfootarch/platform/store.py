"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import urllib.parse
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from coltsfootarch import errors
from coltsfootarch.fleet import store_epochs
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import transfers
from coltsfootarch.platform import answers
from coltsfootarch.platform import transactions

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch import clock as clocks

# Time limit for sending a call and for the first byte of the answer to one that
# does not wait for changes, and longest silence within an answer, in seconds.
CALL_TIMEOUT_S = 0.8
# Answers grow with the configuration and the fleet, and links differ in speed.
# An answer that arrives at a lower rate counts as stalled.
MIN_BYTES_PER_S = 32 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
# Minimum time that a call that waits for changes has for the first byte of its
# answer beyond the wait, in seconds.
FEED_TIMEOUT_MARGIN_S = 0.5
ROWS_PER_CALL = 500
# Header field of all answers. It rises by one when the store is restored from a
# copy, after which it gives out revisions again.
STORE_ERA = "store-era"
MAX_EPOCH_DIGITS = 6
# Statuses of calls that the store has refused without doing anything.
REFUSALS = (429, 503)


class StoreClient:
    """Calls the store over one connection, which is kept between calls.

    Calls must not run concurrently.

    Args:
        address: Address ("ip:port") of the store.
        clock: Source of time.
        epochs: Epochs of the store, which all clients of a host share.

    Attributes:
        connection: The open connection, if there is one.
        calls: Number of calls made.
        answer_epoch: Epoch of the last answer; the newest known one if the
            answer stated none.
        transfer: Size and duration of the last answer, also of one that was
            not complete.
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        epochs: store_epochs.StoreEpochs | None = None,
    ) -> None:
        self.address = address
        self.clock = clock
        self.epochs = epochs or store_epochs.StoreEpochs(clock)
        self.connection: client.Connection | None = None
        self.calls = 0
        self.answer_epoch = 0
        self.transfer = transfers.Transfer()
        self.progress: transfers.Progress | None = None

    def abandon_silent_call(self) -> bool:
        """Ends a running call whose answer has not begun; it then fails.

        Returns:
            Whether there was one.
        """
        if self.progress is None or self.progress.first_at is not None:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def read_table(self, table: str) -> answers.Rows:
        """Returns all rows of a table, read in pages of `ROWS_PER_CALL`.

        The revision is that of the last page and `sent_at` that of the first.

        Raises:
            errors.TableUnavailableError: The store did not answer usably.
        """
        rows: list[answers.Row] = []
        start = ""
        sent_at = None
        epoch = None
        transfer = transfers.Transfer()
        while True:
            query = {"table": table, "part": "", "limit": ROWS_PER_CALL}
            if start:
                query["from"] = start
            page, document = self.fetch("rows-get", query, CALL_TIMEOUT_S)
            if epoch not in (None, page.epoch):
                raise errors.TableUnavailableError(
                    f"the store was restored while {table} was read"
                )
            epoch = page.epoch
            sent_at = page.sent_at if sent_at is None else sent_at
            transfer = transfer.plus(page.transfer)
            rows += page.rows
            if not document.get("truncated") or not page.rows:
                return page._replace(
                    rows=tuple(rows), sent_at=sent_at, transfer=transfer
                )
            start = page.rows[-1].key + "\0"

    def read_changes(
        self,
        table: str,
        position: store_epochs.Position,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> answers.Rows:
        """Returns the rows that changed after a position, each version of them.

        Args:
            table: Name of the table.
            position: Position after which changes are wanted.
            wait_s: Time that the store waits for a change, in seconds.
            max_bytes: Largest size of the answer that is transferred;
                `MAX_ANSWER_BYTES` if not given.

        Raises:
            errors.TableAnswerTooLargeError: The answer is larger.
            errors.HistoryLostError: The store no longer has the changes since
                that position; read the whole table instead.
            errors.TableUnavailableError: The store did not answer usably.
        """
        query = {
            "table": table,
            "after": position.revision,
            "wait_ms": int(wait_s * 1000),
        }
        timeout = wait_s + max(FEED_TIMEOUT_MARGIN_S, CALL_TIMEOUT_S)
        rows = self.fetch("rows-feed", query, timeout, max_bytes)[0]
        if rows.epoch != position.epoch:
            raise errors.HistoryLostError(
                f"the store was restored since the last read: epoch "
                f"{rows.epoch} instead of {position.epoch}"
            )
        return rows

    def read_row(self, table: str, key: str) -> answers.StoredRow:
        """Returns one row.

        Raises:
            errors.TableUnavailableError: The store did not answer usably.
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
            raise errors.TableUnavailableError(
                "the store's answer to rows-get has no integer now_ms"
            )
        row = page.rows[0] if page.rows else None
        return answers.StoredRow(row, now_ms, page.epoch)

    def replace_row(
        self,
        table: str,
        key: str,
        value: bytes,
        expected: store_epochs.Position,
    ) -> bool:
        """Writes a row if it still has a revision.

        Args:
            table: Name of the table.
            key: Key of the row.
            value: New bytes.
            expected: Epoch of the store and revision that the row must have;
                revision 0 for no row.

        Returns:
            Whether the row had the revision and was written.

        Raises:
            errors.TableUnavailableError: The row may or may not have been
                written. The revision was of another row if the store was
                restored meanwhile.
        """
        row_key = {"table": table, "part": "", "key": key}
        encoded = base64.b64encode(value).decode("ascii")
        document = {
            "expected": [{**row_key, "ver": expected.revision}],
            "writes": [{**row_key, "value": encoded}],
            "remove": [],
        }
        try:
            self.transact(document)
        except errors.TransactionConflictError:
            return False
        if self.answer_epoch != expected.epoch:
            raise errors.TableUnavailableError(
                f"the store was restored before {table}/{key} was written"
            )
        return True

    def replace_rows(
        self,
        table: str,
        writes: Mapping[str, bytes],
        revisions: Mapping[str, int],
        removed: Iterable[str] = (),
    ) -> transactions.Outcome:
        """Writes and removes rows in one transaction under a condition.

        Args:
            table: Name of the table.
            writes: New bytes by key.
            revisions: Revision that a row must have, by key; 0 for no row.
            removed: Keys of rows to remove.

        Raises:
            errors.TableUnavailableError: That may or may not have been done.
        """
        document = transactions.changes(table, writes, removed)
        document["expected"] = [
            {"table": table, "part": "", "key": key, "ver": revision}
            for key, revision in revisions.items()
        ]
        try:
            body = self.transact(document)
        except transactions.RowConflictError as error:
            rows = transactions.decode_conflict(error.body)
            return transactions.Outcome(is_done=False, rows=rows)
        return transactions.Outcome(
            is_done=True, revision=transactions.decode_revision(body)
        )

    def transact(self, document: dict[str, Any]) -> bytes:
        """Sends a transaction; returns the body of the answer.

        Args:
            document: Its `expected` revisions, `writes` and rows to `remove`.

        Raises:
            transactions.RowConflictError: A row has another revision than
                expected; nothing was written.
            errors.TableUnavailableError: The transaction may or may not have
                been applied.
        """
        body = msgspec.json.encode(document)
        return self.call("POST", "/api/rows-tx", body, CALL_TIMEOUT_S)

    def fetch(
        self,
        name: str,
        query: dict[str, Any],
        timeout: float,
        max_bytes: int | None = None,
    ) -> tuple[answers.Rows, dict[str, Any]]:
        """Makes a read call.

        Args:
            name: Last part of the call's path.
            query: Its query parameters.
            timeout: Time limit for the first byte of the answer, in seconds.
            max_bytes: Largest size of the answer; `MAX_ANSWER_BYTES` if not
                given.

        Returns:
            The rows, and the whole document of the answer.

        Raises:
            errors.HistoryLostError: The store no longer has the changes that
                were asked for.
            errors.TableUnavailableError: The store did not answer usably.
        """
        sent_at = self.clock.monotonic()
        target = f"/api/{name}?{urllib.parse.urlencode(query)}"
        body = self.call("GET", target, b"", timeout, max_bytes)
        transfer = self.transfer
        try:
            document = msgspec.json.decode(body)
            rows = tuple(map(answers.decode_row, document["rows"]))
            revision = int(document["ver"])
            return answers.Rows(
                rows, revision, sent_at, transfer, self.answer_epoch
            ), document
        except (
            msgspec.DecodeError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise errors.TableUnavailableError(
                f"the store's answer to {name} can't be decoded: {error!r}"
            ) from error

    def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        max_bytes: int | None = None,
    ) -> bytes:
        """Makes one call and returns the body of its answer.

        The connection is closed if the call fails.

        Raises:
            errors.HistoryLostError: Status 410.
            transactions.RowConflictError: Status 412.
            errors.TableAnswerTooLargeError: The answer is larger than
                `max_bytes`.
            errors.TableRefusedError: Status 429 or 503, or no connection.
            errors.TableUnavailableError: Another status than 200, or no
                complete answer.
        """
        if max_bytes is None:
            max_bytes = MAX_ANSWER_BYTES
        try:
            head, data = self.exchange(method, target, body, timeout, max_bytes)
        except transfers.ResponseTooLargeError as error:
            self.close()
            raise errors.TableAnswerTooLargeError(
                f"{method} {target.partition('?')[0]} failed: {error}"
            ) from error
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            self.close()
            reason = str(error) or type(error).__name__
            failure = (
                errors.TableRefusedError
                if isinstance(error, client.ConnectError)
                else errors.TableUnavailableError
            )
            raise failure(
                f"{method} {target.partition('?')[0]} failed: {reason} "
                f"({self.transfer})"
            ) from error
        except BaseException:
            self.close()
            raise
        if head.status == 410:
            raise errors.HistoryLostError(
                "the store no longer has the changes after the revision"
            )
        if head.status == 412:
            raise transactions.RowConflictError(data)
        if head.status != 200:
            failure = (
                errors.TableRefusedError
                if head.status in REFUSALS
                else errors.TableUnavailableError
            )
            raise failure(
                f"the store answered {method} with status {head.status}"
            )
        return data

    def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        max_bytes: int,
    ) -> tuple[messages.ResponseHead, bytes]:
        """Sends a call and reads its answer.

        Returns:
            Head and body of the answer.

        Raises:
            client.ConnectError: No connection could be opened.
            client.BrokenConnectionError: The connection ended early.
            client.ResponseTimeoutError: The answer did not begin in time, or
                stopped arriving.
            transfers.ResponseTooLargeError: The answer is too long.
        """
        self.calls += 1
        self.transfer = transfers.Transfer()
        connection = self.connect()
        limits = transfers.TransferLimits(
            timeout, CALL_TIMEOUT_S, MIN_BYTES_PER_S, max_bytes
        )
        progress = transfers.Progress(self.clock, limits)
        self.progress = progress
        try:
            connection.send(
                self.render(method, target, body), body, CALL_TIMEOUT_S
            )
            answer, data = receive(connection, progress)
        finally:
            self.progress = None
            self.transfer = progress.transfer()
        if not connection.finish(answer):
            self.connection = None
        self.observe_epoch(answer)
        return answer, data

    def observe_epoch(self, head: messages.ResponseHead) -> None:
        """Notes the epoch that an answer states, if it states one.

        Raises:
            errors.TableUnavailableError: The answer comes from the history
                before a restoration.
        """
        value = messages.field_value(head.fields, STORE_ERA)
        if value.isdecimal() and len(value) <= MAX_EPOCH_DIGITS:
            self.epochs.observe(int(value), "store")
            if int(value) < self.epochs.epoch:
                raise errors.TableUnavailableError(
                    f"the store answered from epoch {value}, before its "
                    f"restoration (epoch {self.epochs.epoch})"
                )
        self.answer_epoch = self.epochs.epoch

    def connect(self) -> client.Connection:
        """Returns the open connection, or opens one.

        Raises:
            client.ConnectError: No connection could be opened.
        """
        connection = self.connection
        if connection is None or not connection.is_reusable():
            self.close()
            connection = client.Connection(self.address, self.clock)
            connection.start(CONNECT_TIMEOUT_S)
            self.connection = connection
        return connection

    def render(self, method: str, target: str, body: bytes) -> bytes:
        """Returns the head of a call."""
        fields = [("Host", self.address)]
        if body:
            fields.append(("Content-Type", "application/json"))
        if body or method != "GET":
            fields.append(("Content-Length", str(len(body))))
        return messages.render_head(f"{method} {target} HTTP/1.1", fields)


def receive(
    connection: client.Connection, progress: transfers.Progress
) -> tuple[messages.ResponseHead, bytes]:
    """Returns head and body of an answer; records its progress.

    Raises:
        client.BrokenConnectionError: The connection ended early.
        client.ResponseTimeoutError: The answer did not begin in time, or
            stopped arriving.
        transfers.ResponseTooLargeError: The answer is too long.
    """
    data = bytearray()
    answer: messages.ResponseHead | None = None
    while (part := connection.read_part(progress.time_left())) is not None:
        if isinstance(part, messages.ResponseHead):
            answer = part
            progress.record(0)
            length = messages.field_value(part.fields, "content-length")
            progress.expect(int(length) if length.isdecimal() else 0)
        else:
            data += part
            progress.record(len(part))
    if answer is None:
        raise client.BrokenConnectionError(
            "the store's answer has no status line"
        )
    return answer, bytes(data)
