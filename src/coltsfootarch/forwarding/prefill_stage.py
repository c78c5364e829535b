"""Reading prompts at prefill engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import exchange
from coltsfootarch.forwarding import generations
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

# Reading a prompt takes 0.2 s for the longest ones; a prefill engine that needs
# several times as long is stuck.
PREFILL_TIMEOUT_S = 1.2
# Time to free a prefill result that won't be used, in seconds.
RELEASE_TIMEOUT_S = 0.5

logger = structlog.get_logger(__name__)


class PrefillStage:
    """Has prompts read, and frees results that nobody takes.

    Args:
        parts: What pipelines share.
    """

    def __init__(self, parts: context.Context) -> None:
        self.parts = parts

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def read_prompt(
        self, generation: generations.Generation, engine: upstreams.Upstream
    ) -> None:
        """Reads the prompt at a prefill engine.

        Without a result the decode engine reads the prompt itself.
        """
        call = generation.call
        now = self.clock.monotonic()
        tokens = call.request.prompt_tokens
        sending = exchange.Exchange(
            self.parts.connections,
            self.parts.wire,
            self.clock,
            call.request,
            calls.Delivery(
                engine,
                call.account,
                call.ends_at - now,
                prefill_only=True,
            ),
        )
        ahead = self.parts.loads.load(engine.id)
        self.parts.loads.add(engine.id, tokens)
        self.parts.tracker.note_dispatch(engine.id)
        until = min(call.ends_at, now + PREFILL_TIMEOUT_S)
        outcome = outcomes.Outcome.BROKEN
        reason = "done"
        try:
            with call.cancellation.attached(sending.abort):
                sending.start(fresh=False)
                answer = sending.read_head(until)
                body = sending.read_body(until)
            handle = ""
            if answer.status == 200:
                handle = self.parts.wire.decode_prefill(body)
            if handle:
                generation.memory = generations.PromptMemory(
                    calls.MemorySource(engine.address, handle),
                    self.clock.monotonic(),
                    self.handle_lifetime(generation.service),
                )
                outcome = outcomes.Outcome.SUCCESS
            else:
                reason = f"status {answer.status}"
                if answer.is_from_other(engine):
                    self.parts.directory.reject(engine.id)
                refused = answer.not_run
                outcome = (
                    outcomes.Outcome.REFUSED
                    if refused
                    else outcomes.Outcome.ERROR
                )
        except client.ConnectError as error:
            outcome = outcomes.Outcome.ABSENT
            reason = str(error)
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            reason = str(error) or type(error).__name__
        finally:
            self.parts.loads.remove(engine.id, tokens)
            sending.close()
        call.cancellation.check()
        if sending.sent:
            if generation.prefilled or outcome is not outcomes.Outcome.SUCCESS:
                call.attempts += 1
            generation.prefilled = True
        took = self.clock.monotonic() - now
        generation.prefill_s = took / (1 + ahead.requests)
        if outcome is outcomes.Outcome.SUCCESS:
            self.parts.reading_times.note(
                call.service, tokens, generation.prefill_s
            )
        self.parts.tracker.record(engine.id, outcome, took)
        logger.info(
            "prefill ended",
            request_id=call.request.id,
            upstream=engine.id,
            outcome=outcome.value,
            reason=reason,
            took_ms=round(took * 1000),
        )

    def handle_lifetime(self, service: policy.Service) -> float:
        """Returns how long a prefill result is kept, in seconds."""
        return service.engine.handle_lifetime_s if service.engine else 0.0

    def release(self, generation: generations.Generation) -> None:
        """Frees a prefill result that no decode engine took."""
        memory, generation.memory = generation.memory, None
        if memory is None:
            return
        age = self.clock.monotonic() - memory.created_at
        if age < memory.lifetime_s:
            gevent.spawn(self.free, memory.source)

    def free(self, source: calls.MemorySource) -> None:
        """Asks a prefill engine to free a result; it lapses by itself too."""
        connection = client.Connection(source.address, self.clock)
        try:
            connection.start(RELEASE_TIMEOUT_S)
            connection.send(
                self.parts.wire.encode_release(source), b"", RELEASE_TIMEOUT_S
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
