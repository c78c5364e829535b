"""Joint choice of prefill engine, transfer link and decode engine."""

from __future__ import annotations

import enum
import heapq
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.scheduling import decode
    from coltsfootarch.scheduling import items
    from coltsfootarch.scheduling import links
    from coltsfootarch.scheduling import prefill

# A prefill engine gets its next work this long before it is idle. More would
# fix the order of requests too early, less would leave the engine idle for the
# round trip to the entry host.
LOOKAHEAD_SECONDS = 0.03

# Part of a prefill result's lifetime that may pass before its transfer starts.
# The rest covers errors of the estimates.
USABLE_LIFETIME_SHARE = 0.8

# Extra cost, in seconds, of a completely used decode engine against an empty
# one, so that requests spread and tokens come faster.
FULL_ENGINE_SECONDS = 0.5
SUSPECT_SECONDS = 5.0

# Decode engines compared in detail; the cost of a decision would otherwise
# grow with the pool.
CANDIDATES = 8


class Blocker(enum.Enum):
    """Why an item can't be placed now."""

    NO_ENGINE = "no engine"
    PREFILL = "prefill"
    DECODE = "decode"
    LATE = "late"


class Place(NamedTuple):
    """A place for an item; instants are monotonic seconds.

    Attributes:
        prefill: Prefill engine.
        decode: Decode engine.
        uncached: Prompt tokens to prefill.
        pieces: Memory pieces to reserve.
        prefill_end: Estimated end of the prefill.
        transfer: Planned transfer.
    """

    prefill: prefill.PrefillQueue
    decode: decode.DecodeCapacity
    uncached: int
    pieces: int
    prefill_end: float
    transfer: links.TransferSlot


class PrefillChoice(NamedTuple):
    """A prefill engine with its estimated end for an item."""

    queue: prefill.PrefillQueue
    uncached: int
    end: float


class Timing(NamedTuple):
    """Time limits of a placement.

    Attributes:
        now: Monotonic instant of the decision.
        result_lifetime: Seconds that a prefill result survives.
        residence: Mean seconds that a request stays on a decode engine.
        first_step: Seconds from the transfer's end to the first token.
    """

    now: float
    result_lifetime: float
    residence: float
    first_step: float


def eligible(
    upstream: register.Upstream, item: items.WorkItem | None = None
) -> bool:
    """Returns whether an upstream may get new work (of an item)."""
    if upstream.state is not register.UpstreamState.ACTIVE:
        return False
    return item is None or upstream.name not in item.excluded


def choose_prefill(
    item: items.WorkItem, queues: Iterable[prefill.PrefillQueue], now: float
) -> PrefillChoice | Blocker:
    """Chooses the engine that would end the item's prefill first."""
    best: PrefillChoice | None = None
    found = False
    for queue in queues:
        if not eligible(queue.upstream, item) or not queue.health.usable(now):
            continue
        found = True
        start = queue.free_at(now)
        if start - now > LOOKAHEAD_SECONDS or queue.overdue(now):
            continue
        uncached = queue.uncached(item)
        end = start + queue.seconds(uncached)
        if best is None or end < best.end:
            best = PrefillChoice(queue, uncached, end)
    if best is not None:
        return best
    return Blocker.PREFILL if found else Blocker.NO_ENGINE


def choose_decode(
    item: items.WorkItem,
    source: PrefillChoice,
    engines: Iterable[decode.DecodeCapacity],
    book: links.LinkBook,
    timing: Timing,
    suspected: bool,
) -> Place | Blocker:
    """Chooses the decode engine whose place, link and load suit best."""
    best: Place | None = None
    best_score = 0.0
    blocker = Blocker.NO_ENGINE
    lifetime_end = source.end + timing.result_lifetime * USABLE_LIFETIME_SHARE
    for target in least_used(item, engines, timing.now):
        pieces = target.pieces(item)
        slot = book.plan(
            source.queue.upstream,
            target.upstream,
            item.prompt_tokens,
            source.end,
        )
        transfer_seconds = slot.end - slot.start
        latest = min(
            lifetime_end, item.deadline - timing.first_step - transfer_seconds
        )
        if slot.start > latest:
            blocker = Blocker.LATE
            continue
        if not target.fits(pieces, latest - timing.now, timing.residence):
            blocker = Blocker.DECODE
            continue
        score = slot.end + target.used_share * FULL_ENGINE_SECONDS
        if suspected:
            score += SUSPECT_SECONDS * len(target.reservations)
        if best is None or score < best_score:
            best_score = score
            best = Place(
                source.queue, target, source.uncached, pieces, source.end, slot
            )
    return best or blocker


def shortest_seconds(
    item: items.WorkItem,
    queues: Iterable[prefill.PrefillQueue],
    engines: Iterable[decode.DecodeCapacity],
) -> float | None:
    """Returns the time of prefill and transfer on idle engines.

    Returns None if no pair of engines may run the item at all.
    """
    sources = [queue for queue in queues if eligible(queue.upstream, item)]
    runnable = any(
        eligible(target.upstream, item)
        and target.pieces(item) <= target.upstream.memory_pieces
        for target in engines
    )
    if not sources or not runnable:
        return None
    return min(
        queue.uncached(item) / queue.upstream.prefill_rate
        + item.prompt_tokens
        * queue.upstream.kv_bytes_per_token
        / queue.upstream.link_rate
        for queue in sources
    )


def earliest_start(queues: Iterable[prefill.PrefillQueue], now: float) -> float:
    """Returns when a prefill engine will take work, `now` at the earliest."""
    starts = [
        queue.free_at(now)
        for queue in queues
        if eligible(queue.upstream) and queue.health.usable(now)
    ]
    return max(now, min(starts, default=now) - LOOKAHEAD_SECONDS)


def least_used(
    item: items.WorkItem,
    engines: Iterable[decode.DecodeCapacity],
    now: float,
) -> list[decode.DecodeCapacity]:
    """Returns the engines worth a closer look, at most `CANDIDATES`."""
    usable = [
        target
        for target in engines
        if eligible(target.upstream, item) and target.health.usable(now)
    ]
    if len(usable) <= CANDIDATES:
        return usable
    return heapq.nsmallest(
        CANDIDATES, usable, key=lambda target: target.used_share
    )
