"""Asks a prepared engine to take a silent stream before it is moved there.

Only the engine knows whether it runs the request. The stream stays with its
engine if the other one refuses or breaks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.event
import structlog

from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import decode_stage
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import silence_watch

# Longest time for which both engines have the request, in seconds. An engine
# that has no room refuses within milliseconds; users allow 0.4 s in all.
ACCEPTANCE_S = 0.2

logger = structlog.get_logger(__name__)


class EngineAcceptance:
    """One request to a prepared engine, until it is certain to run there.

    Args:
        context: Components that all pipelines of the host share.
        stage: Builds what the host adds to the request.
        generation: The request, as prepared for the engine.
        replacement: The engine.

    Attributes:
        pending: Whether the engine has the request and hasn't answered.
        decided: Set at the end of the question.
    """

    def __init__(
        self,
        context: contexts.Context,
        stage: decode_stage.DecodeStage,
        generation: generations.Generation,
        replacement: silence_watch.Replacement,
    ) -> None:
        self.context = context
        self.stage = stage
        self.generation = generation
        self.replacement = replacement
        self.pending = False
        self.decided = gevent.event.Event()

    def ask(self) -> bool:
        """Sends the request; returns whether the engine takes it.

        One that has not refused within `ACCEPTANCE_S` has taken the request if
        it isn't silent itself: it has just reserved memory, or another stream
        of it is heard.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        call = self.generation.call
        engine = self.replacement.placement.decode
        exchange = self.replacement.exchange
        exchange.delivery = self.stage.build_delivery(
            self.generation, self.replacement.placement
        )
        outcome: outcomes.Outcome | None = outcomes.Outcome.BROKEN
        sent_at = self.context.clock.monotonic()
        try:
            with call.cancellation.attached(exchange.abort):
                self.pending = True
                exchange.send()
                exchange.accepted = exchange.read_head(sent_at + ACCEPTANCE_S)
            status = exchange.accepted.status
            if 200 <= status < 300:
                return True
            reason = f"status {status}"
            if exchange.accepted.not_run:
                outcome = outcomes.Outcome.REFUSED
        except client.ResponseTimeoutError:
            if self.replacement.reservation or self.is_heard(
                engine.id, sent_at
            ):
                return True
            reason = "no response"
            outcome = None
        except (client.ConnectError, client.BrokenConnectionError) as error:
            reason = str(error)
            if exchange.aborted:
                outcome = None
            elif exchange.sent:
                self.context.break_counts.record(
                    call.digest, engine.incarnation
                )
        call.cancellation.check()
        if outcome is not None:
            self.context.outcome_tracker.record(engine.id, outcome)
        logger.info(
            "silent stream not accepted by another engine",
            request_id=call.request.id,
            upstream=engine.id,
            reason=reason,
        )
        return False

    def is_heard(self, engine: str, since: float) -> bool:
        """Returns whether a stream of an engine was heard since an instant."""
        activity = self.context.outcome_tracker.activity
        return activity.heard_at.get(engine, float("-inf")) >= since

    def close(self) -> None:
        """Ends the question."""
        self.pending = False
        self.decided.set()
