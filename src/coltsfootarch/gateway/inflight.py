"""Registry of the requests in progress on this host."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
import gevent.event
import structlog

from coltsfootarch import errors

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch import results

logger = structlog.get_logger(__name__)


class RequestInfo(NamedTuple):
    """Identity and owner of a request in progress.

    Attributes:
        request_id: Request id.
        account: Client account; empty on a route without authentication.
        key_id: Id of the caller's key; empty on a route without
            authentication.
    """

    request_id: str
    account: str
    key_id: str


class RequestHandle:
    """A request in progress and the greenlet that runs it.

    Attributes:
        end_error: Error that the request was ended with from outside, or None.
        closed: Whether the request is over and must not be interrupted.
        result_code: Number of the result code to log; 0 for success.
        started_at: Monotonic time in seconds.
    """

    def __init__(self, info: RequestInfo, started_at: float) -> None:
        self.info = info
        self.greenlet = gevent.getcurrent()
        self.end_error: errors.RefusedError | None = None
        self.closed = False
        self.result_code = 0
        self.started_at = started_at

    def end(self, code: results.ResultCode) -> None:
        """Ends the request with a result code when its greenlet next waits."""
        if self.end_error is not None:
            return
        self.end_error = errors.RefusedError(code)
        gevent.get_hub().loop.run_callback(self.interrupt)

    def interrupt(self) -> None:
        """Raises `end_error` in the request's greenlet; runs in the hub.

        A closed request is not interrupted, because its greenlet may already
        serve the next request of a keep-alive connection.
        """
        if not self.closed and isinstance(self.greenlet, gevent.Greenlet):
            self.greenlet.throw(self.end_error)


class InflightRequests:
    """Registry of the requests in progress.

    Args:
        host: Name of this host.
        incarnation: Its incarnation.
        clock: Source of time.
    """

    def __init__(
        self, host: str, incarnation: int, clock: clocks.Clock
    ) -> None:
        self.clock = clock
        self.host = host
        self.incarnation = incarnation
        self.handles: dict[str, RequestHandle] = {}
        self.sequence = itertools.count(1)
        self.idle = gevent.event.Event()
        self.idle.set()

    def new_request_id(self) -> str:
        """Returns an id that no other request of any host has."""
        return f"{self.host}.{self.incarnation}.{next(self.sequence)}"

    def open(self, info: RequestInfo) -> RequestHandle:
        """Registers a request that the calling greenlet is about to run."""
        handle = RequestHandle(info, self.clock.monotonic())
        self.handles[info.request_id] = handle
        self.idle.clear()
        return handle

    def close(self, handle: RequestHandle) -> None:
        """Removes a finished request, logs it and marks it as closed."""
        handle.closed = True
        if self.handles.pop(handle.info.request_id, None) is not None:
            logger.info(
                "request ended",
                request_id=handle.info.request_id,
                client_account=handle.info.account,
                result_code=handle.result_code,
                seconds=round(self.clock.monotonic() - handle.started_at, 3),
            )
        if not self.handles:
            self.idle.set()

    def is_in_progress(self, request_id: str) -> bool:
        """Returns whether a request is in progress on this host."""
        return request_id in self.handles

    def end(
        self, request_id: str, account: str, code: results.ResultCode
    ) -> bool:
        """Ends a request of a client account; returns whether it was found."""
        handle = self.handles.get(request_id)
        if handle is None or handle.info.account != account:
            return False
        handle.end(code)
        return True

    def end_invalid_keys(
        self, is_valid: Callable[[str], bool], code: results.ResultCode
    ) -> int:
        """Ends requests whose key is no longer valid; returns their number."""
        ended = 0
        for handle in list(self.handles.values()):
            key_id = handle.info.key_id
            if key_id and not is_valid(key_id):
                handle.end(code)
                ended += 1
        return ended

    def wait_idle(self, timeout: datetime.timedelta | None = None) -> bool:
        """Waits until no request is in progress; False after a timeout."""
        seconds = timeout.total_seconds() if timeout else None
        return bool(self.idle.wait(seconds))
