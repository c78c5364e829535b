"""Interface of a model engine, as the pipelines use it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator


class PrefillResult(NamedTuple):
    """An exported KV cache that waits for its import.

    Attributes:
        handle: Name of the export on the prefill engine.
        address: Address ("ip:port") that the decode engine imports from.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Leading tokens that came from the prefix cache.
        lifetime: Seconds that the export survives.
    """

    handle: str
    address: str
    prompt_tokens: int
    cached_tokens: int
    lifetime: float


class EngineRequest(NamedTuple):
    """A request as an engine sees it; it names neither key nor client account.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt; answers repeat both.
        owner: "host/incarnation" of the entry host that sent it.
        prompt: Prompt text, emitted text of earlier attempts included.
        max_tokens: Tokens to generate at most.
        priority: Larger runs earlier.
        first_offset: Offset of the first token to generate, counted from the
            caller's view.
    """

    request_id: str
    attempt: int
    owner: str
    prompt: str
    max_tokens: int
    priority: int
    first_offset: int = 0


class TokenEvent(NamedTuple):
    """Generated tokens.

    Attributes:
        request_id: Request id repeated by the engine.
        attempt: Attempt repeated by the engine.
        offset: Offset of the first token.
        text: Text of the tokens.
        tokens: Number of tokens.
        finished: Whether the answer ends here.
    """

    request_id: str
    attempt: int
    offset: int
    text: str
    tokens: int
    finished: bool


class LoadReport(NamedTuple):
    """An engine's own report of some moments ago.

    Attributes:
        running: Requests in slots.
        waiting: Requests that wait for a slot.
        free_pieces: Free pieces of engine memory.
        queued_prefill_tokens: Prompt tokens not yet prefilled.
        age: Seconds since the report was true.
    """

    running: int
    waiting: int
    free_pieces: int
    queued_prefill_tokens: int
    age: float


class EngineEntry(NamedTuple):
    """A request that holds engine memory.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        owner: "host/incarnation" of the entry host that sent it.
        kind: "prefill", "export" or "decode".
        idle: Seconds since a reader last took from it.
    """

    request_id: str
    attempt: int
    owner: str
    kind: str
    idle: float


class CacheEvent(NamedTuple):
    """A change of the prefix cache.

    Attributes:
        sequence: Number of the event; a missing number is a gap.
        stored: Digests of prompt chunks that are now cached.
        evicted: Digests that are no longer cached.
    """

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
        kind: "load-model", "load-adapter", "load-version" or "set-role".
        argument: Name of the model, adapter, version or role.
        fencing: Epoch of the issuing shard lease.
    """

    kind: str
    argument: str
    fencing: int


class EngineClient(Protocol):
    """Calls to model engines by address ("ip:port").

    Every method raises `UpstreamConnectError` if nothing was sent,
    `UpstreamTimeoutError` without progress within the deadline and
    `UpstreamError` on any other failure.
    """

    def prefill(self, address: str, request: EngineRequest) -> PrefillResult:
        """Runs the prefill and exports its KV cache."""

    def decode(
        self, address: str, request: EngineRequest, source: PrefillResult
    ) -> Iterator[TokenEvent]:
        """Imports the KV cache and streams from `request.first_offset` on."""

    def resume(
        self, address: str, request_id: str, offset: int
    ) -> Iterator[TokenEvent]:
        """Streams a running answer from `offset` on, over a new connection."""

    def cancel(self, address: str, request_id: str) -> None:
        """Frees the request's memory; an unknown request is no error."""

    def requests(self, address: str) -> list[EngineEntry]:
        """Returns the requests that hold memory."""

    def load(self, address: str) -> LoadReport:
        """Returns the engine's last load report."""

    def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Returns cache events numbered above `after`, oldest first."""

    def order(self, address: str, order: Order) -> None:
        """Gives an order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing number.
        """
