"""Requests in progress on this host."""

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
    """Who a request in progress belongs to.

    Attributes:
        request_id: Request id.
        account: Client account; empty on an open route.
        key_id: Key that the caller presented; empty on an open route.
    """

    request_id: str
    account: str
    key_id: str


class RequestHandle:
    """A request in progress and the greenlet that runs it."""

    def __init__(self, info: RequestInfo, started_at: float) -> None:
        self.info = info
        self.greenlet = gevent.getcurrent()
        self.ending: errors.RefusedError | None = None
        self.closed = False
        self.result_code = 0
        self.started_at = started_at

    def end(self, code: results.ResultCode) -> None:
        """Ends the request with a result code at its next wait."""
        if self.ending is not None:
            return
        self.ending = errors.RefusedError(code)
        gevent.get_hub().loop.run_callback(self.interrupt)

    def interrupt(self) -> None:
        """Raises the ending in the request's greenlet; runs in the hub.

        The greenlet serves the next request of a keep-alive connection when
        this one is closed, and must not be interrupted then.
        """
        if not self.closed and isinstance(self.greenlet, gevent.Greenlet):
            self.greenlet.throw(self.ending)


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
        """Registers a request that the calling greenlet runs."""
        handle = RequestHandle(info, self.clock.monotonic())
        self.handles[info.request_id] = handle
        self.idle.clear()
        return handle

    def close(self, handle: RequestHandle) -> None:
        """Removes a request that has ended."""
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

    def owns(self, request_id: str) -> bool:
        """Returns whether the request is in progress here."""
        return request_id in self.handles

    def end(
        self, request_id: str, account: str, code: results.ResultCode
    ) -> bool:
        """Ends one request of an account; returns whether it was found."""
        handle = self.handles.get(request_id)
        if handle is None or handle.info.account != account:
            return False
        handle.end(code)
        return True

    def end_invalid_keys(
        self, is_valid: Callable[[str], bool], code: results.ResultCode
    ) -> int:
        """Ends the requests whose key is no longer valid; returns how many."""
        ended = 0
        for handle in list(self.handles.values()):
            key_id = handle.info.key_id
            if key_id and not is_valid(key_id):
                handle.end(code)
                ended += 1
        return ended

    def wait_idle(self, timeout: datetime.timedelta | None = None) -> bool:
        """Waits until no request is in progress; returns whether so."""
        seconds = timeout.total_seconds() if timeout else None
        return bool(self.idle.wait(seconds))
