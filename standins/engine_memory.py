"""Requests, memory and prefix cache of the engine stand-in."""

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

# A restarted engine numbers its cache events above all that it has used.
SEQUENCE_GAP_ON_CRASH = 1000
# Cache events that the engine keeps for its readers.
KEPT_CACHE_EVENTS = 1000


class EngineProfile(NamedTuple):
    """Size and speed of an engine; the time scale applies to the speeds.

    Attributes:
        slots: Requests that decode at the same time.
        pieces: Pieces of engine memory.
        piece_tokens: Tokens that one piece holds.
        prefill_rate: Prompt tokens a second.
        token_interval: Seconds between tokens.
        link_rate: Tokens of KV cache a second that the import link carries.
        export_lifetime: Seconds that an export survives; not scaled.
        cache_chunks: Chunks that the prefix cache holds.
        cache_event_delay: Seconds until a cache event is visible; not scaled.
        load_lag: Seconds between two load reports; not scaled.
        retention: Seconds that a read answer can be resumed; not scaled.
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
    """A request as it came in; see `upstreams.engine.EngineRequest`."""

    request_id: str
    attempt: int
    owner: str
    prompt: str
    max_tokens: int
    priority: int
    first_offset: int

    @property
    def identity(self) -> dict[str, Any]:
        """What every event repeats."""
        return {"request_id": self.request_id, "attempt": self.attempt}


class Ending(NamedTuple):
    """Why a request ended early."""

    status: int
    error: str


CANCELLED = Ending(499, "cancelled")
SUPERSEDED = Ending(409, "superseded")
CRASHED = Ending(500, "crashed")
EXPIRED = Ending(410, "export-expired")


class Signal:
    """Wakes everyone who waits for the next change."""

    def __init__(self) -> None:
        self.event = gevent.event.Event()

    def notify(self) -> None:
        """Wakes the current waiters; later ones wait for the next change."""
        event = self.event
        self.event = gevent.event.Event()
        event.set()


class Memory:
    """Pieces of engine memory."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.free = profile.pieces

    def pieces_for(self, tokens: int) -> int:
        """Returns the pieces that `tokens` need."""
        return -(-tokens // self.profile.piece_tokens)

    def reserve(self, pieces: int) -> bool:
        """Takes pieces if so many are free."""
        if pieces > self.free:
            return False
        self.free -= pieces
        return True

    def release(self, pieces: int) -> None:
        """Gives pieces back."""
        self.free += pieces


class Job:
    """A request that holds memory on an engine.

    Attributes:
        submission: The request.
        pieces: Pieces it holds now.
        state: "queued", "prefilling", "exported", "importing", "waiting",
            "running", "finished" or "ended".
        ending: Why it ended early, if it did.
        last_read: Monotonic instant at which a reader last took from it.
    """

    def __init__(self, submission: Submission, state: str) -> None:
        self.submission = submission
        self.pieces = 0
        self.state = state
        self.ending: Ending | None = None
        self.signal = Signal()
        self.last_read = time.monotonic()

    def change(self, state: str) -> None:
        """Sets the state and wakes the readers."""
        self.state = state
        self.signal.notify()

    def free(self, memory: Memory) -> None:
        """Gives the pieces back; a second call has no effect."""
        memory.release(self.pieces)
        self.pieces = 0

    def end(self, memory: Memory, ending: Ending) -> None:
        """Ends the request early and frees its memory."""
        self.free(memory)
        self.ending = ending
        self.change("ended")

    def entry(self, kind: str) -> dict[str, Any]:
        """Returns the entry of `GET /v1/requests`."""
        return {
            **self.submission.identity,
            "owner": self.submission.owner,
            "kind": kind,
            "idle": time.monotonic() - self.last_read,
        }


class PrefixCache:
    """Prefix cache with limited memory that publishes its changes late.

    Args:
        profile: Size and delay.
        digests: Returns the chunk digests of a prompt.
        first_sequence: Number before that of the first event.

    Attributes:
        lose_events: Number of coming events that are never published.
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
            collections.deque(maxlen=KEPT_CACHE_EVENTS)
        )

    def cached_tokens(self, prompt: str) -> int:
        """Returns the leading tokens of `prompt` that are cached."""
        count = 0
        for digest in self.digests(prompt):
            if digest not in self.chunks:
                break
            count += 1
        return count * engine_text.CHUNK_TOKENS

    def store(self, prompt: str) -> None:
        """Caches the chunks of `prompt` and evicts the oldest ones."""
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
        """Loses the content, as in a crash, and leaves a gap of numbers."""
        self.chunks.clear()
        self.events.clear()
        self.sequence += SEQUENCE_GAP_ON_CRASH

    def visible_events(self, after: int) -> list[dict[str, Any]]:
        """Returns the published events numbered above `after`."""
        now = time.monotonic()
        return [
            event
            for visible_at, event in self.events
            if visible_at <= now and event["sequence"] > after
        ]

    def publish(self, stored: list[int], evicted: list[int]) -> None:
        """Adds a cache event, visible after the delay."""
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
