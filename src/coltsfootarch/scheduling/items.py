"""Input and decisions of a pool scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from coltsfootarch import results


# Steps of `messages.ScheduleEvent` that end an attempt. Its capacity is then
# released.
TERMINAL_STEPS = frozenset({"finished", "failed", "crashed", "cancelled"})


class AttemptKey(NamedTuple):
    """Identifies one attempt of a request."""

    request_id: str
    attempt: int


class WorkItem(NamedTuple):
    """One attempt of a model request that is to be scheduled.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt, from 1.
        account: Client account.
        prompt_tokens: Tokens of the prompt, including tokens that earlier
            attempts generated.
        max_output_tokens: Maximum number of tokens still to be generated.
        deadline: Monotonic instant at which the first token is due, seconds.
        prefix_digests: Digests of the prompt's leading chunks of
            `cache_view.CHUNK_TOKENS` tokens, first to last.
        digest: Digest of the request body, for quarantine.
        priority: Requests of the account with a larger value run first.
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
        """Key that identifies the attempt."""
        return AttemptKey(self.request_id, self.attempt)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Prefixes of the prompt that other requests may share."""
        return tuple(map(str, self.prefix_digests))

    @property
    def cost(self) -> int:
        """Maximum number of prompt and output tokens of the request."""
        return self.prompt_tokens + self.max_output_tokens


class Assignment(NamedTuple):
    """Decision to run an attempt on a pair of engines.

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
    """Decision not to run an attempt.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        code: Reason of the refusal.
        retry_after: Seconds after which a retry may succeed.
    """

    request_id: str
    attempt: int
    code: results.ResultCode
    retry_after: float


Decision: TypeAlias = Assignment | Refusal
