"""Exceptions of the package; each one carries a result code."""

from __future__ import annotations

from typing import ClassVar

from coltsfootarch import results


class ColtsfootarchError(Exception):
    """Base class of all errors of this package.

    Args:
        message: What happened and what to do next, without keys or prompt
            text; the code's summary when empty.
        code: Result code; the class's `default_code` when omitted.
    """

    default_code: ClassVar[results.ResultCode] = results.INTERNAL_ERROR

    def __init__(
        self, message: str = "", code: results.ResultCode | None = None
    ) -> None:
        self.code = code or self.default_code
        self.message = message or self.code.summary
        super().__init__(self.message)


class RefusedError(ColtsfootarchError):
    """A request was refused, or ended early with a result code.

    Args:
        code: Result code sent to the caller.
        message: Text for the caller; the code's summary when empty.
        retry_after: Seconds after which a retry can succeed, if known.
    """

    def __init__(
        self,
        code: results.ResultCode,
        message: str = "",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, code)
        self.retry_after = retry_after


class ConfigurationError(ColtsfootarchError):
    """A register or settings document is invalid."""

    default_code = results.WRONG_VALUE


class PlatformError(ColtsfootarchError):
    """A call to a service of the platform failed."""


class TableUnavailableError(PlatformError):
    """A call to the table service failed and was not applied."""

    default_code = results.TABLE_UNAVAILABLE


class TableRefusedError(TableUnavailableError):
    """The table service refused a call or wasn't reached; nothing was done."""


class TableAnswerTooLargeError(TableUnavailableError):
    """The answer of the table service is larger than the caller wants."""


class TableOutcomeUnknownError(PlatformError):
    """A transaction may have been applied; read the rows back to find out."""

    default_code = results.TABLE_OUTCOME_UNKNOWN


class TransactionConflictError(PlatformError):
    """A row has another version than the transaction expects.

    Nothing was written.
    """

    default_code = results.TRANSACTION_CONFLICT


class HistoryLostError(PlatformError):
    """The requested changes are no longer kept; read all rows instead."""

    default_code = results.TABLE_UNAVAILABLE


class ObjectStoreUnavailableError(PlatformError):
    """The object store did not answer."""

    default_code = results.OBJECT_STORE_UNAVAILABLE


class HostListUnavailableError(PlatformError):
    """The host list could not be read."""

    default_code = results.HOST_LIST_UNAVAILABLE


class PeerError(ColtsfootarchError):
    """A message to another host failed."""


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the message."""

    default_code = results.PEER_TIMEOUT


class CodecError(PeerError):
    """A message can't be decoded or has an unsupported protocol version."""

    default_code = results.UNDECODABLE_MESSAGE


class NotHomeError(PeerError):
    """The host does not hold the shard that the message is for."""

    default_code = results.NOT_HOME


class UpstreamError(ColtsfootarchError):
    """A call to an upstream failed after bytes may have been sent."""

    default_code = results.UPSTREAM_FAILED


class UpstreamConnectError(UpstreamError):
    """The connection failed before any byte of the request was sent."""

    default_code = results.UPSTREAM_CONNECT_FAILED


class LocalConnectError(UpstreamConnectError):
    """This host lacked the descriptors, memory or ports for a connection."""


class UpstreamSilentError(UpstreamConnectError):
    """The upstream did not reply to a connection attempt."""


class UpstreamTimeoutError(UpstreamError):
    """The upstream made no progress within the deadline."""

    default_code = results.UPSTREAM_TIMEOUT


class UpstreamRefusedError(UpstreamError):
    """The upstream answered with an error, which ends the request.

    Args:
        address: Address ("ip:port") of the upstream.
        status: HTTP status of the response or of the error event.
        reason: Stable name of the error, such as "export-expired".
    """

    def __init__(self, address: str, status: int, reason: str) -> None:
        super().__init__(
            f"upstream {address} refused the request with status {status} "
            f"({reason})"
        )
        self.status = status
        self.reason = reason


class StaleOrderError(UpstreamError):
    """The upstream rejected an order; it has seen a higher fencing number."""

    default_code = results.STALE_ORDER
