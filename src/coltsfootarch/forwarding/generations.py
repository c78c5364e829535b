"""State of a generation request across its attempts."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from coltsfootarch.forwarding import attempts
from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import cancellation as cancellations
    from coltsfootarch.forwarding import reservation_calls
    from coltsfootarch.forwarding import silence_watch

# Fraction of a prefill result's lifetime after which no further decode engine
# is asked to fetch it; the rest is for sending the request and the fetch
# itself.
USABLE_LIFETIME_FRACTION = 0.6


class PrefillResult:
    """KV cache of a prompt that a prefill engine keeps for a decode engine.

    Args:
        source: Engine and handle from which it can be fetched.
        created_at: Instant of its creation, in seconds.
        lifetime_s: Time for which the engine keeps it, in seconds.
    """

    def __init__(
        self, source: calls.KvCacheSource, created_at: float, lifetime_s: float
    ) -> None:
        self.source = source
        self.created_at = created_at
        self.lifetime_s = lifetime_s

    def is_usable(self, now: float) -> bool:
        """Returns whether there is time left to fetch it."""
        return (
            now - self.created_at < USABLE_LIFETIME_FRACTION * self.lifetime_s
        )


class Generation:
    """State of one generation request across its attempts.

    Args:
        call: The request.
        service: Its service.
        is_retry: Whether the caller retries it after a refusal.
    """

    def __init__(
        self, call: calls.Call, service: policy.Service, is_retry: bool
    ) -> None:
        self.call = call
        self.service = service
        self.is_retry = is_retry
        self.demand = engine_placement.estimate(
            call.request.prompt_tokens,
            call.request.output_tokens,
            call.request.likely_output_tokens,
            call.route.event_gap_s or float("inf"),
        )
        self.prefill_result: PrefillResult | None = None
        self.prefilled = False
        self.kv_cache_provided = False
        self.prefill_s = 0.0
        self.placement: engine_placement.Placement | None = None
        # Engine that was prepared while the one before was silent, and whether
        # the retry budget was spent for it.
        self.replacement: silence_watch.Replacement | None = None
        self.moved = False
        # Whether the present attempt is at an engine to which it moved.
        self.has_moved = False
        # Whether the present attempt takes a retry from the budget.
        self.needs_retry = False
        # Name of the memory reservation at the decode engine, the instant until
        # which it lasts, and the number of engines that refused one.
        self.reservation = ""
        self.reservation_ends_at = 0.0
        self.reservation_refusals = 0
        # Reservations by engine that were not answered in time, and whether
        # there was one.
        self.late_reservations: dict[
            str, reservation_calls.ReservationCall
        ] = {}
        self.met_silence = False
        self.prompt_prefilled = False
        # Events sent to the caller in the current attempt.
        self.event_count = 0
        self.connect_failures = 0
        self.resume_after = call.request.resume_after
        self.response: attempts.Response | None = None
        self.failure = attempts.Failure.NOT_SENT
        self.finished = False
        self.first_event_at: float | None = None
        # Instant at which the caller was last sent an event; before the first
        # one, at which its request arrived.
        self.last_activity_at = call.request.received_at

    def fork(self, cancellation: cancellations.Cancellation) -> Generation:
        """Returns a copy with which another attempt is prepared.

        The list of engines tried is the same one.

        Args:
            cancellation: Ends the preparation.
        """
        fork = copy.copy(self)
        fork.call = copy.copy(self.call)
        fork.call.cancellation = cancellation
        return fork

    @property
    def version(self) -> str | None:
        """Software version that began its stream; None before its begin."""
        return self.demand.version

    @version.setter
    def version(self, version: str) -> None:
        self.demand = self.demand._replace(version=version)

    @property
    def may_prefill(self) -> bool:
        """Whether the prompt may be sent to a prefill engine.

        The first successful prefill of a request doesn't count as an attempt. A
        further one does, so that it needs two attempts left: one for itself and
        one for the decode engine.
        """
        call = self.call
        return (
            not self.prefilled or call.attempts + 2 <= call.route.max_attempts
        )
