"""Attempts of one call, several of which may wait for a response at once."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import gevent
import gevent.event
import structlog

from coltsfootarch.forwarding import attempts
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import response_memory
    from coltsfootarch.forwarding import upstream_exchange

logger = structlog.get_logger(__name__)


class CallAttempt:
    """One attempt of a call at one upstream.

    Args:
        call: The call.
        upstream: Upstream that gets it.
        exchange: Sends it.
        overdue_at: Instant from which another upstream may get the call while
            this one is silent, in seconds; infinite for never.

    Attributes:
        number: Its number among the attempts that were sent, from 1; 0 for one
            that wasn't sent.
        sent_at: Instant at which it was sent, in seconds.
        is_overdue: Whether it was silent at `overdue_at`.
        is_denied: Whether it was no longer allowed once it was connected.
        is_misdirected: Whether another upstream uses the address now.
        result: Its result; None while it runs.
        holding: Memory of its response.
        error: Unexpected error that ended it.
    """

    def __init__(
        self,
        call: calls.Call,
        upstream: upstreams.Upstream,
        exchange: upstream_exchange.UpstreamExchange,
        overdue_at: float = math.inf,
    ) -> None:
        self.call = call
        self.upstream = upstream
        self.exchange = exchange
        self.overdue_at = overdue_at
        self.number = 0
        self.sent_at = 0.0
        self.is_overdue = False
        self.is_denied = False
        self.is_misdirected = False
        self.result: attempts.Response | attempts.Failure | None = None
        self.holding: response_memory.Holding | None = None
        self.error: BaseException | None = None

    @property
    def is_abandoned(self) -> bool:
        """Whether this host ended it, which tells nothing of the upstream."""
        is_response = isinstance(self.result, attempts.Response)
        return self.exchange.aborted and not is_response

    @property
    def label(self) -> str:
        """Value in logs and metrics."""
        if isinstance(self.result, attempts.Response):
            return self.result.label
        if self.is_abandoned or self.result is None:
            return "abandoned"
        return self.result.label

    def run(
        self, may_send: Callable[[], bool]
    ) -> attempts.Response | attempts.Failure:
        """Sends the call and returns the response or how it failed.

        Args:
            may_send: Returns whether the call may be sent, now that there is a
                connection. It counts the attempt.
        """
        call, exchange = self.call, self.exchange
        deadline = call.ends_at
        try:
            exchange.connect(repeatable=call.route.repeatable)
            if not may_send():
                self.is_denied = True
                raise client.ConnectError("not sent: no longer allowed")
            self.send()
            response = exchange.read_head(deadline)
            body = exchange.read_body(deadline)
            self.holding = exchange.take_holding()
        except client.ConnectError as error:
            self.log_failure(error)
            return attempts.Failure.NOT_SENT
        except client.ResponseTimeoutError as error:
            self.log_failure(error)
            return attempts.Failure.TIMED_OUT
        except client.BrokenConnectionError as error:
            if not exchange.aborted or isinstance(
                error, client.LocalBrokenConnectionError
            ):
                self.log_failure(error)
            return attempts.Failure.BROKEN
        self.is_misdirected = response.is_from_other_upstream(self.upstream)
        if response.not_run:
            return attempts.Failure.NOT_RUN
        return attempts.Response(response.status, response.fields, body)

    def send(self) -> None:
        """Sends the call on the connection; see `UpstreamExchange.send`."""
        try:
            self.exchange.send()
        except client.ConnectError:
            self.call.attempts -= 1
            self.number = 0
            raise
        finally:
            self.call.sent_upstream |= self.exchange.sent

    def log_failure(self, error: Exception) -> None:
        """Logs why the exchange with the upstream failed."""
        logger.info(
            "exchange with upstream failed",
            request_id=self.call.request.id,
            upstream=self.upstream.id,
            reason=str(error) or type(error).__name__,
        )

    def take_holding(self) -> response_memory.Holding | None:
        """Returns the memory of the response; the taker closes it."""
        holding, self.holding = self.holding, None
        return holding

    def close(self) -> None:
        """Ends the exchange and frees the response."""
        self.exchange.abort()
        holding = self.take_holding()
        if holding is not None:
            holding.close()


class AttemptGroup:
    """Runs attempts of one call, each in a greenlet of its own.

    Args:
        clock: Source of time.

    Attributes:
        running: Attempts that have not ended.
        ended: Attempts that have ended and are still to be evaluated.
        next_look_at: Instant at which to look again for another upstream if
            there was none, in seconds.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.running: list[CallAttempt] = []
        self.ended: list[CallAttempt] = []
        self.next_look_at = math.inf
        self.changed = gevent.event.Event()

    def start(
        self, attempt: CallAttempt, run: Callable[[CallAttempt], object]
    ) -> None:
        """Starts an attempt.

        Args:
            attempt: The attempt.
            run: Runs it; returns when it has ended.
        """
        self.running.append(attempt)
        gevent.spawn(self.run, attempt, run)

    def run(
        self, attempt: CallAttempt, run: Callable[[CallAttempt], object]
    ) -> None:
        """Runs an attempt and notes its end."""
        try:
            run(attempt)
        except Exception as error:
            attempt.error = error
        finally:
            if attempt in self.running:
                self.running.remove(attempt)
                self.ended.append(attempt)
            else:
                attempt.close()
            self.changed.set()

    def wait(self) -> None:
        """Waits until an attempt ends or another one should be considered."""
        times = [
            attempt.overdue_at
            for attempt in self.running
            if not attempt.is_overdue
        ]
        if len(times) < len(self.running):
            times.append(self.next_look_at)
        until = min(times, default=0.0)
        timeout = None
        if until < math.inf:
            timeout = max(until - self.clock.monotonic(), 0.0)
        self.changed.wait(timeout)
        self.changed.clear()

    def take_ended(self) -> list[CallAttempt]:
        """Returns the attempts that have ended since the last call.

        One that an unexpected error ended is left out while others may still
        bring a response.

        Raises:
            Exception: The last attempt ended by this unexpected error.
        """
        ended, self.ended = self.ended, []
        sound = [attempt for attempt in ended if attempt.error is None]
        failed = [attempt for attempt in ended if attempt.error is not None]
        for attempt in failed:
            attempt.close()
            attempt.call.may_have_run |= attempt.exchange.sent
            logger.error(
                "attempt failed unexpectedly",
                request_id=attempt.call.request.id,
                upstream=attempt.upstream.id,
                attempt=attempt.number,
                exc_info=attempt.error,
            )
        if failed and not sound and not self.running:
            assert failed[0].error is not None
            raise failed[0].error
        return sound

    def take_overdue(self) -> list[CallAttempt]:
        """Returns the attempts that have become overdue."""
        now = self.clock.monotonic()
        overdue = [
            attempt
            for attempt in self.running
            if not attempt.is_overdue and now >= attempt.overdue_at
        ]
        for attempt in overdue:
            attempt.is_overdue = True
        return overdue

    def waits_for_any(self) -> bool:
        """Returns whether an attempt runs that isn't overdue."""
        return any(not attempt.is_overdue for attempt in self.running)

    def is_replaced(self, attempt: CallAttempt) -> bool:
        """Returns whether another attempt was sent and isn't overdue."""
        return any(
            each.exchange.sent and not each.is_overdue
            for each in self.running
            if each is not attempt
        )

    def abort(self) -> None:
        """Ends all exchanges, which ends the attempts."""
        for attempt in tuple(self.running):
            attempt.exchange.abort()
        self.changed.set()

    def close(self) -> None:
        """Ends all exchanges and frees all responses that weren't taken."""
        attempts_left = self.running + self.ended
        self.running, self.ended = [], []
        for attempt in attempts_left:
            attempt.close()
