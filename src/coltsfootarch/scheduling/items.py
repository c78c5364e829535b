"""Work that a pool scheduler places, and its decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from coltsfootarch import results


# Steps of `messages.ScheduleEvent` after which an attempt holds nothing.
ENDING_STEPS = frozenset({"finished", "failed", "crashed", "cancelled"})


class AttemptKey(NamedTuple):
    """Identifies one attempt of a request."""

    request_id: str
    attempt: int


class WorkItem(NamedTuple):
    """One attempt of a model request that waits for a place to run.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt, from 1.
        account: Client account.
        prompt_tokens: Tokens of the prompt, emitted tokens of earlier attempts
            included.
        max_output_tokens: Tokens still to be generated at most.
        deadline: Monotonic instant at which the first token is due, seconds.
        prefix_digests: Digests of the prompt's leading chunks of
            `cache_view.CHUNK_TOKENS` tokens, first to last.
        digest: Digest of the request body, for quarantine.
        priority: Larger runs earlier among the requests of the account.
        excluded: Upstreams that must not be chosen.
        weight: Weight of the account in fair queueing.
    """

    request_id: str
    attempt: int
    account: str
    prompt_tokens: int
    max_output_tokens: int
    deadline: float
    prefix_digests: tuple[int, ...] = ()
    digest: str = ""
    priority: int = 0
    excluded: frozenset[str] = frozenset()
    weight: float = 1.0

    @property
    def key(self) -> AttemptKey:
        """The attempt's identity."""
        return AttemptKey(self.request_id, self.attempt)

    @property
    def cost(self) -> int:
        """Tokens that the request may use at most."""
        return self.prompt_tokens + self.max_output_tokens


class Assignment(NamedTuple):
    """Where an attempt runs.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        prefill: Name of the prefill upstream.
        decode: Name of the decode upstream.
    """

    request_id: str
    attempt: int
    prefill: str
    decode: str


class Refusal(NamedTuple):
    """An attempt that was not run.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        code: Why.
        retry_after: Seconds after which a retry can succeed.
    """

    request_id: str
    attempt: int
    code: results.ResultCode
    retry_after: float


Decision: TypeAlias = Assignment | Refusal
