"""State of a generation request over its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.forwarding import attempts
from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.forwarding import calls

# Part of a prefill result's lifetime in which it can still be used by another
# engine; the rest is for sending the request and fetching the memory.
HANDLE_USE_PART = 0.6


class PromptMemory:
    """KV cache of a prompt that a prefill engine holds.

    Args:
        source: Where it is.
        created_at: Instant of its creation, in seconds.
        lifetime_s: Time for which it is kept, in seconds.
    """

    def __init__(
        self, source: calls.MemorySource, created_at: float, lifetime_s: float
    ) -> None:
        self.source = source
        self.created_at = created_at
        self.lifetime_s = lifetime_s

    def is_usable(self, now: float) -> bool:
        """Returns whether a decode engine can still fetch it."""
        return now - self.created_at < HANDLE_USE_PART * self.lifetime_s


class Generation:
    """State of one request over its attempts.

    Args:
        call: The request.
        service: Its service.
        returned: Whether it comes back after a refusal.
    """

    def __init__(
        self, call: calls.Call, service: policy.Service, returned: bool
    ) -> None:
        self.call = call
        self.service = service
        self.returned = returned
        self.demand = engine_placement.estimate(
            call.request.prompt_tokens,
            call.request.output_tokens,
            call.request.likely_output_tokens,
            call.route.event_gap_s or float("inf"),
        )
        self.memory: PromptMemory | None = None
        self.prefilled = False
        self.prompt_delivered = False
        self.prefill_s = 0.0
        self.placement: engine_placement.Placement | None = None
        # Room at the decode engine, and how often there was none.
        self.reservation = ""
        self.refusals = 0
        self.prompt_read = False
        # Events that this attempt has sent.
        self.events = 0
        self.connect_failures = 0
        self.resume_after = call.request.resume_after
        self.answer: attempts.Answer | None = None
        self.fate = attempts.Fate.NOT_SENT
        self.finished = False
        self.first_event_at: float | None = None
        # Instant at which the caller last got something, or sent its request.
        self.heard_at = call.request.received_at

    @property
    def has_prefill_left(self) -> bool:
        """Whether a prefill engine may read the prompt.

        The first accepted prefill of a request is no attempt. A further one
        is, and leaves none for the decode engine when only one is left.
        """
        call = self.call
        return (
            not self.prefilled or call.attempts + 2 <= call.route.max_attempts
        )
