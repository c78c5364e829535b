"""Interface of model engines and the data exchanged with them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator


class PrefillResult(NamedTuple):
    """A KV cache that a prefill engine exported for the decode engine.

    Attributes:
        handle: Identifier of the export on the prefill engine.
        address: Address ("ip:port") that the decode engine imports from.
        prompt_tokens: Number of prompt tokens.
        cached_tokens: Number of leading prompt tokens that were taken from the
            prefix cache.
        lifetime: Seconds until the export expires.
    """

    handle: str
    address: str
    prompt_tokens: int
    cached_tokens: int
    lifetime: float


class EngineRequest(NamedTuple):
    """A request as sent to an engine, without key and client account.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt; events repeat it and the request id.
        owner: "host/incarnation" of the entry host that sent it.
        prompt: Prompt text, followed by the text that earlier attempts emitted.
        max_tokens: Maximum number of tokens to generate.
        priority: Requests with a larger value run earlier.
        first_offset: Offset in the caller's answer of the first token to
            generate.
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
        request_id: Request id, repeated by the engine.
        attempt: Number of the attempt, repeated by the engine.
        offset: Offset of the first of the tokens in the answer.
        text: Text of the tokens.
        tokens: Number of tokens.
        finished: Whether the answer ends with these tokens.
    """

    request_id: str
    attempt: int
    offset: int
    text: str
    tokens: int
    finished: bool


class LoadReport(NamedTuple):
    """An engine's report of its load, measured `age` seconds ago.

    Attributes:
        running: Number of requests in slots.
        waiting: Number of requests that wait for a slot.
        free_pieces: Number of free pieces of engine memory.
        queued_prefill_tokens: Number of prompt tokens not yet prefilled.
        age: Seconds since the values were measured.
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
        idle: Seconds since a connection last read from the request.
    """

    request_id: str
    attempt: int
    owner: str
    kind: str
    idle: float


class CacheEvent(NamedTuple):
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Number of the event; a missing number means a lost event.
        stored: Digests of prompt chunks that are now cached.
        evicted: Digests that are no longer cached.
    """

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class Order(NamedTuple):
    """An order that changes the model, adapter, version or role of an engine.

    Attributes:
        kind: "load-model", "load-adapter", "load-version" or "set-role".
        argument: Name of the model, adapter, version or role.
        fencing: Epoch of the shard lease under which the order is issued; an
            engine can refuse an order with a lower one than it has seen.
    """

    kind: str
    argument: str
    fencing: int


class EngineClient(Protocol):
    """Calls to model engines by address ("ip:port").

    Every method raises `UpstreamConnectError` if nothing was sent,
    `UpstreamTimeoutError` if the engine makes no progress within the deadline
    and `UpstreamError` on any other failure.
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
        """Ends a request and frees its memory; ignores an unknown request."""

    def requests(self, address: str) -> list[EngineEntry]:
        """Returns the requests that hold engine memory."""

    def load(self, address: str) -> LoadReport:
        """Returns the engine's last load report."""

    def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Returns the cache events numbered above `after`, oldest first."""

    def order(self, address: str, order: Order) -> None:
        """Sends an order.

        Raises:
            StaleOrderError: The engine has seen a higher fencing number.
        """
