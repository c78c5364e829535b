"""Exception tree; every error carries a result code."""

from __future__ import annotations

from typing import ClassVar

from coltsfootarch import results


class ColtsfootarchError(Exception):
    """Base class of all errors of this package.

    Args:
        message: What happened and what to do next; no keys and no prompt text.
        code: Result code; the class's own one when not given.
    """

    default_code: ClassVar[results.ResultCode] = results.INTERNAL_ERROR

    def __init__(
        self, message: str = "", code: results.ResultCode | None = None
    ) -> None:
        self.code = code or self.default_code
        self.message = message or self.code.summary
        super().__init__(self.message)


class RefusedError(ColtsfootarchError):
    """A request ends with a result code.

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
    """A register or settings document is not accepted."""

    default_code = results.WRONG_VALUE


class PlatformError(ColtsfootarchError):
    """A service of the platform failed."""


class TableUnavailableError(PlatformError):
    """The table service did not apply the call."""

    default_code = results.TABLE_UNAVAILABLE


class TableOutcomeUnknownError(PlatformError):
    """The transaction may have been applied; read the rows back."""

    default_code = results.TABLE_OUTCOME_UNKNOWN


class TransactionConflictError(PlatformError):
    """A checked row has another version; nothing was written."""

    default_code = results.TRANSACTION_CONFLICT


class HistoryLostError(PlatformError):
    """The changes that were asked for are no longer kept; read all rows."""

    default_code = results.TABLE_UNAVAILABLE


class ObjectStoreUnavailableError(PlatformError):
    """The object store did not answer."""

    default_code = results.OBJECT_STORE_UNAVAILABLE


class HostListUnavailableError(PlatformError):
    """The list of hosts could not be read."""

    default_code = results.HOST_LIST_UNAVAILABLE


class PeerError(ColtsfootarchError):
    """A message to another host failed."""


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the message."""

    default_code = results.PEER_TIMEOUT


class CodecError(PeerError):
    """A message does not decode or has another protocol version."""

    default_code = results.UNDECODABLE_MESSAGE


class NotHomeError(PeerError):
    """The host does not hold the shard that the message is for."""

    default_code = results.NOT_HOME


class UpstreamError(ColtsfootarchError):
    """A call to an upstream failed after bytes may have been sent."""

    default_code = results.UPSTREAM_FAILED


class UpstreamConnectError(UpstreamError):
    """No byte of the request was sent."""

    default_code = results.UPSTREAM_CONNECT_FAILED


class UpstreamTimeoutError(UpstreamError):
    """The upstream made no progress within the deadline."""

    default_code = results.UPSTREAM_TIMEOUT


class UpstreamRefusedError(UpstreamError):
    """The upstream answered with an error status and ended the request.

    Args:
        address: Address ("ip:port") of the upstream.
        status: HTTP status of the answer or of the error event.
        reason: Stable name of the error.
    """

    def __init__(self, address: str, status: int, reason: str) -> None:
        super().__init__(
            f"upstream {address} refused with status {status} ({reason})"
        )
        self.status = status
        self.reason = reason


class StaleOrderError(UpstreamError):
    """The upstream has seen a higher fencing number."""

    default_code = results.STALE_ORDER
