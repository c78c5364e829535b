"""HTTP client of the table service.

Calls are POST requests with JSON bodies: `/v1/get`, `/v1/scan` and
`/v1/transact`. Row values are encoded in base64. An answer with a status
other than 200 contains `error` and `applied`; only `"applied": false` proves
that a transaction had no effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict
from typing import TypeVar

import msgspec
import urllib3

from coltsfootarch import errors
from coltsfootarch.storage import http_channel
from coltsfootarch.storage import tables

if TYPE_CHECKING:
    import datetime
    from collections.abc import Sequence

OK = 200
CONFLICT = 409

_Document = TypeVar("_Document")


class RowDocument(TypedDict):
    """A row in an answer; `value` is base64 in JSON."""

    table: str
    key: str
    value: bytes
    version: int


class RowAnswer(TypedDict):
    """Answer to a get."""

    row: RowDocument | None


class RowsAnswer(TypedDict):
    """Answer to a scan or a transaction."""

    rows: list[RowDocument]


class ErrorAnswer(TypedDict):
    """Answer with a status other than 200."""

    error: str
    applied: bool


class HttpTableService:
    """Implements `tables.TableService`; see `docs/platform-protocol.md`.

    Args:
        address: Address ("ip:port") of the service.
        timeout: Time limit for the head of an answer and for each silence
            within it; see `http_channel.HttpChannel`.
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        self.channel = http_channel.HttpChannel(address, timeout)

    def get(self, table: str, key: str) -> tables.Row | None:
        """Returns the row with a key, or None if there is none.

        Raises:
            TableUnavailableError: The service did not answer.
        """
        answer = self.read("/v1/get", {"table": table, "key": key}, RowAnswer)
        document = answer["row"]
        return None if document is None else tables.Row(**document)

    def scan(self, table: str, prefix: str) -> list[tables.Row]:
        """Returns the rows whose keys start with `prefix`, ordered by key.

        Raises:
            TableUnavailableError: The service did not answer.
        """
        answer = self.read(
            "/v1/scan", {"table": table, "prefix": prefix}, RowsAnswer
        )
        return [tables.Row(**document) for document in answer["rows"]]

    def transact(
        self,
        checks: Sequence[tables.Check],
        writes: Sequence[tables.Write],
    ) -> list[tables.Row]:
        """Applies all writes if all checks hold, otherwise nothing.

        Returns:
            The rows written, with their new versions; deleted rows are left
            out.

        Raises:
            TransactionConflictError: A check does not hold; nothing was
                written.
            TableUnavailableError: Nothing was written.
            TableOutcomeUnknownError: The writes may have been applied.
        """
        body = http_channel.encode_json(
            {
                "checks": [check._asdict() for check in checks],
                "writes": [write._asdict() for write in writes],
            }
        )
        try:
            answer = self.channel.call("POST", "/v1/transact", body)
        except http_channel.CONNECT_ERRORS as error:
            raise _unavailable_error(error) from error
        except urllib3.exceptions.HTTPError as error:
            raise _outcome_unknown_error(type(error).__name__) from error
        if answer.status != OK:
            raise _transaction_error(answer)
        try:
            rows = msgspec.json.decode(answer.body, type=RowsAnswer)["rows"]
        except msgspec.DecodeError as error:
            raise _outcome_unknown_error(
                "the answer can't be decoded"
            ) from error
        return [tables.Row(**document) for document in rows]

    def close(self) -> None:
        """Closes the idle connections."""
        self.channel.close()

    def read(
        self, path: str, request: dict[str, str], answer_type: type[_Document]
    ) -> _Document:
        """Sends a read request and returns the decoded answer.

        Args:
            path: Path of the call.
            request: Body of the call.
            answer_type: Type that the answer is decoded to.

        Raises:
            TableUnavailableError: No answer, or not a valid one.
        """
        try:
            answer = self.channel.call(
                "POST", path, http_channel.encode_json(request)
            )
        except urllib3.exceptions.HTTPError as error:
            raise _unavailable_error(error) from error
        if answer.status != OK:
            raise errors.TableUnavailableError(
                f"the table service answered {path} with status {answer.status}"
            )
        try:
            return msgspec.json.decode(answer.body, type=answer_type)
        except msgspec.DecodeError as error:
            raise errors.TableUnavailableError(
                "an answer of the table service can't be decoded"
            ) from error


def _unavailable_error(error: Exception) -> errors.TableUnavailableError:
    return errors.TableUnavailableError(
        f"the table service can't be reached ({type(error).__name__})"
    )


def _outcome_unknown_error(reason: str) -> errors.TableOutcomeUnknownError:
    return errors.TableOutcomeUnknownError(
        f"the outcome of a transaction is unknown ({reason}); "
        "read the rows back"
    )


def _transaction_error(
    answer: http_channel.HttpAnswer,
) -> errors.PlatformError:
    try:
        document = msgspec.json.decode(answer.body, type=ErrorAnswer)
    except msgspec.DecodeError:
        return _outcome_unknown_error(f"status {answer.status}")
    if document["applied"]:
        return _outcome_unknown_error(f"status {answer.status}")
    if answer.status == CONFLICT:
        return errors.TransactionConflictError(document["error"])
    return errors.TableUnavailableError(
        f"the table service did not apply the transaction: {document['error']}"
    )
