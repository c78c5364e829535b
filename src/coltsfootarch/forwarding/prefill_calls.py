"""One call to a prefill engine, whose response is read by its own greenlet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context as contexts

# A silent engine responds within a few seconds or not at all. For so long the
# result of an abandoned call is awaited, to free it.
LATE_RESULT_S = 3.0
# Timeout of each step of freeing an unused prefill result, in seconds.
RELEASE_TIMEOUT_S = 0.5

logger = structlog.get_logger(__name__)


class PrefillCall:
    """Sends a prompt to a prefill engine and reads the handle of the result.

    Args:
        context: Components that all pipelines of the host share.
        call: The caller's request.
        engine: The prefill engine.

    Attributes:
        handle: Handle of the result; empty if there is none.
        outcome: Outcome of a call that has ended.
        reason: Reason of the outcome, for the log.
        broken: Whether the connection broke or no response arrived.
    """

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        engine: upstreams.Upstream,
    ) -> None:
        self.context = context
        self.call = call
        self.engine = engine
        self.exchange = upstream_exchange.UpstreamExchange(
            context.connections,
            context.wire,
            context.clock,
            call.request,
            calls.Delivery(
                engine,
                call.account,
                call.ends_at - context.clock.monotonic(),
                prefill_only=True,
            ),
            context.notices,
            context.response_memory,
        )
        self.handle = ""
        self.outcome = outcomes.Outcome.BROKEN
        self.reason = "silent"
        self.broken = False
        self.abandoned = False
        self.reader: gevent.Greenlet[[], None] = gevent.Greenlet(self.run)

    @property
    def ended(self) -> bool:
        """Whether the engine has responded or the call has failed."""
        return bool(self.reader.ready())

    def start(self) -> None:
        """Starts the call; its tokens count as load until it ends."""
        self.context.loads.add(self.engine.id, self.call.request.prompt_tokens)
        self.context.notices.limits.take(self.engine)
        self.context.outcome_tracker.record_dispatch(self.engine.id)
        self.reader.start()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the end of the call; returns whether it has ended."""
        self.reader.join(max(timeout_s, 0.0))
        return self.ended

    def abandon(self) -> None:
        """Leaves a call whose result isn't used; a late result is freed."""
        self.abandoned = True
        if self.ended:
            self.free_result()
        else:
            gevent.spawn_later(LATE_RESULT_S, self.exchange.abort)

    def run(self) -> None:
        """Makes the call and reads its response."""
        try:
            with self.call.cancellation.attached(self.exchange.abort):
                self.read_response()
        except (client.ConnectError, OSError) as error:
            self.outcome = outcomes.Outcome.UNREACHABLE
            self.reason = str(error)
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            self.broken = not self.exchange.aborted
            self.reason = str(error) or type(error).__name__
        except cancellation.CallerDisconnectedError:
            self.reason = "the caller disconnected"
        finally:
            self.context.loads.remove(
                self.engine.id, self.call.request.prompt_tokens
            )
            self.exchange.close()
            if not self.exchange.sent:
                self.context.notices.limits.give_back(self.engine)
        if self.abandoned:
            self.free_result()

    def read_response(self) -> None:
        """Sends the prompt and decodes the response; see `UpstreamExchange`."""
        exchange = self.exchange
        exchange.start(recently_used=False)
        response = exchange.read_head(self.call.ends_at)
        body = exchange.read_body(
            self.call.ends_at, upstream_exchange.MAX_CONTROL_RESPONSE_BYTES
        )
        if response.status == 200:
            self.handle = self.context.wire.decode_prefill(body)
        if self.handle:
            self.outcome = outcomes.Outcome.SUCCESS
            self.reason = "done"
            return
        self.reason = f"status {response.status}"
        self.outcome = outcomes.Outcome.ERROR
        if response.is_from_other_upstream(self.engine):
            self.context.directory.reject(self.engine.id)
        if response.not_run:
            self.outcome = outcomes.Outcome.REFUSED

    def free_result(self) -> None:
        """Frees the result of an abandoned call, if there is one."""
        handle, self.handle = self.handle, ""
        if handle:
            logger.info(
                "late prefill result freed",
                request_id=self.call.request.id,
                upstream=self.engine.id,
            )
            source = calls.KvCacheSource(self.engine.address, handle)
            gevent.spawn(send_release, self.context, source)


def send_release(
    context: contexts.Context, source: calls.KvCacheSource
) -> None:
    """Asks a prefill engine to free a result.

    A failure is only logged, since results expire by themselves.
    """
    connection = client.Connection(source.address, context.clock)
    try:
        connection.start(RELEASE_TIMEOUT_S)
        connection.send(
            context.wire.encode_release(source), b"", RELEASE_TIMEOUT_S
        )
        connection.read_part(RELEASE_TIMEOUT_S)
    except (
        client.ConnectError,
        client.BrokenConnectionError,
        client.ResponseTimeoutError,
    ) as error:
        logger.info(
            "prefill result not freed",
            upstream=source.address,
            reason=str(error),
        )
    finally:
        connection.close()
