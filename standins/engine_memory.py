"""Requests, memory pieces and prefix cache of the engine stand-in."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent.event

from standins import engine_text

if TYPE_CHECKING:
    from collections.abc import Callable

# A restarted engine must number its cache events above all earlier ones.
SEQUENCE_GAP_ON_CRASH = 1000
# Number of past cache events that readers can still fetch.
RETAINED_CACHE_EVENTS = 1000


class EngineProfile(NamedTuple):
    """Size and speed of an engine; the time scale applies to the speeds.

    Attributes:
        slots: Requests that decode at the same time.
        pieces: Pieces of engine memory.
        piece_tokens: Tokens that one piece holds.
        prefill_rate: Prompt tokens prefilled per second.
        token_interval: Seconds between tokens.
        link_rate: Tokens of KV cache imported per second.
        export_lifetime: Seconds until an export expires; not scaled.
        cache_chunks: Chunks that the prefix cache holds.
        cache_event_delay: Seconds until a cache event is visible; not scaled.
        load_lag: Seconds between two load reports; not scaled.
        retention: Seconds for which an output that was read to its end can
            still be resumed; not scaled.
        progress_interval: Seconds between progress events; not scaled.
    """

    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2000
    prefill_rate: float = 4000.0
    token_interval: float = 0.03
    link_rate: float = 100_000.0
    export_lifetime: float = 0.8
    cache_chunks: int = 2000
    cache_event_delay: float = 0.5
    load_lag: float = 0.5
    retention: float = 10.0
    progress_interval: float = 0.5


class Submission(NamedTuple):
    """A submitted request; see `upstreams.engine.EngineRequest`."""

    request_id: str
    attempt: int
    owner: str
    prompt: str
    max_tokens: int
    priority: int
    first_offset: int

    @property
    def identity(self) -> dict[str, Any]:
        """Request id and attempt, which every event repeats."""
        return {"request_id": self.request_id, "attempt": self.attempt}


class EndReason(NamedTuple):
    """HTTP status and error name of a request that ended early."""

    status: int
    error: str


CANCELLED = EndReason(499, "cancelled")
SUPERSEDED = EndReason(409, "superseded")
CRASHED = EndReason(500, "crashed")
EXPIRED = EndReason(410, "export-expired")


class Signal:
    """Event for repeated changes; waiters wait on `event`."""

    def __init__(self) -> None:
        self.event = gevent.event.Event()

    def notify(self) -> None:
        """Wakes the current waiters; later ones wait for the next call."""
        event = self.event
        self.event = gevent.event.Event()
        event.set()


class Memory:
    """Counts the free pieces of engine memory."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.free = profile.pieces

    def pieces_for(self, tokens: int) -> int:
        """Returns the number of pieces that `tokens` tokens need."""
        return -(-tokens // self.profile.piece_tokens)

    def reserve(self, pieces: int) -> bool:
        """Reserves pieces; returns False if too few are free."""
        if pieces > self.free:
            return False
        self.free -= pieces
        return True

    def release(self, pieces: int) -> None:
        """Frees pieces."""
        self.free += pieces


class Job:
    """A request that holds memory on an engine.

    Attributes:
        submission: The request.
        pieces: Memory pieces that it holds now.
        state: "queued", "prefilling", "exported", "importing", "waiting",
            "running", "finished" or "ended".
        end_reason: Why it ended early, None if it did not.
        signal: Notified at each change of state.
        last_read: Monotonic instant of the last delivery to a reader or, in
            a prefill, of the last progress.
    """

    def __init__(self, submission: Submission, state: str) -> None:
        self.submission = submission
        self.pieces = 0
        self.state = state
        self.end_reason: EndReason | None = None
        self.signal = Signal()
        self.last_read = time.monotonic()

    def set_state(self, state: str) -> None:
        """Sets the state and wakes the readers."""
        self.state = state
        self.signal.notify()

    def free_memory(self, memory: Memory) -> None:
        """Frees the pieces; a second call has no effect."""
        memory.release(self.pieces)
        self.pieces = 0

    def end(self, memory: Memory, end_reason: EndReason) -> None:
        """Ends the request early and frees its memory."""
        self.free_memory(memory)
        self.end_reason = end_reason
        self.set_state("ended")

    def entry(self, kind: str) -> dict[str, Any]:
        """Returns the entry for `GET /v1/requests`."""
        return {
            **self.submission.identity,
            "owner": self.submission.owner,
            "kind": kind,
            "idle": time.monotonic() - self.last_read,
        }


class PrefixCache:
    """Prefix cache of limited size that publishes its changes with a delay.

    Args:
        profile: Size and delay.
        digests: Returns the chunk digests of a prompt.
        first_sequence: Sequence number before that of the first event.

    Attributes:
        lose_events: Number of upcoming events that are never published.
    """

    def __init__(
        self,
        profile: EngineProfile,
        digests: Callable[[str], list[int]],
        first_sequence: int,
    ) -> None:
        self.profile = profile
        self.digests = digests
        self.sequence = first_sequence
        self.lose_events = 0
        self.chunks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=RETAINED_CACHE_EVENTS)
        )

    def cached_tokens(self, prompt: str) -> int:
        """Returns the number of leading tokens of `prompt` in the cache."""
        count = 0
        for digest in self.digests(prompt):
            if digest not in self.chunks:
                break
            count += 1
        return count * engine_text.CHUNK_TOKENS

    def store(self, prompt: str) -> None:
        """Caches the chunks of `prompt`; evicts the least recently stored."""
        stored = []
        for digest in self.digests(prompt):
            if digest not in self.chunks:
                stored.append(digest)
            self.chunks[digest] = None
            self.chunks.move_to_end(digest)
        evicted = []
        while len(self.chunks) > self.profile.cache_chunks:
            evicted.append(self.chunks.popitem(last=False)[0])
        if stored or evicted:
            self.publish(stored, evicted)

    def clear(self) -> None:
        """Drops all chunks, as in a crash, and skips sequence numbers."""
        self.chunks.clear()
        self.events.clear()
        self.sequence += SEQUENCE_GAP_ON_CRASH

    def visible_events(self, after: int) -> list[dict[str, Any]]:
        """Returns the published events with a sequence above `after`."""
        now = time.monotonic()
        return [
            event
            for visible_at, event in self.events
            if visible_at <= now and event["sequence"] > after
        ]

    def publish(self, stored: list[int], evicted: list[int]) -> None:
        """Adds a cache event that becomes visible after the delay."""
        self.sequence += 1
        if self.lose_events:
            self.lose_events -= 1
            return
        event = {
            "sequence": self.sequence,
            "stored": stored,
            "evicted": evicted,
        }
        visible_at = time.monotonic() + self.profile.cache_event_delay
        self.events.append((visible_at, event))
