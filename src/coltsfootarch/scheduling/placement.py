"""Joint choice of the prefill engine, transfer slot and decode engine.

The functions only read the state of the pool; the scheduler reserves what they
choose.
"""

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

# A prefill engine is assigned its next request this long before it becomes
# idle. A larger value would fix the order of requests too early, a smaller one
# would leave the engine idle for the round trip to the entry host.
PREFILL_LOOKAHEAD_SECONDS = 0.03

# Fraction of a prefill result's lifetime within which its transfer must start.
# The rest is a margin for estimation errors.
USABLE_LIFETIME_FRACTION = 0.8

# Score penalty, in seconds, of a fully utilized decode engine relative to an
# idle one. It spreads requests over engines, which shortens the time between
# tokens.
FULL_ENGINE_PENALTY_SECONDS = 0.5

# Score penalty, in seconds, for each request already on a decode engine if the
# item is suspected of crashing engines: a crash ends those requests too.
SUSPECT_PENALTY_SECONDS = 5.0

# Maximum number of decode engines that are scored for one decision. Scoring all
# of them would make the cost of a decision grow with the pool.
MAX_CANDIDATES = 8


class Blocker(enum.Enum):
    """Why an item can't be placed now.

    `NO_ENGINE`: no engine is eligible and healthy. `PREFILL`: all prefill
    engines are busy. `DECODE`: no decode engine has capacity in time. `LATE`:
    the transfer can't start before the deadline or before the prefill result
    expires.
    """

    NO_ENGINE = "no engine"
    PREFILL = "prefill"
    DECODE = "decode"
    LATE = "late"


class Placement(NamedTuple):
    """Engines and transfer slot for an item; instants are monotonic seconds.

    Attributes:
        prefill: Prefill engine.
        decode: Decode engine.
        uncached_tokens: Prompt tokens to prefill, without cached ones.
        pieces: Memory pieces to reserve on the decode engine.
        prefill_end: Estimated end of the prefill.
        transfer: Transfer slot on the links of both engines.
    """

    prefill: prefill.PrefillQueue
    decode: decode.DecodeCapacity
    uncached_tokens: int
    pieces: int
    prefill_end: float
    transfer: links.TransferSlot


class PrefillChoice(NamedTuple):
    """A prefill engine chosen for an item.

    Attributes:
        queue: Queue of the engine.
        uncached_tokens: Prompt tokens to prefill, without cached ones.
        end: Monotonic instant at which the prefill is estimated to end.
    """

    queue: prefill.PrefillQueue
    uncached_tokens: int
    end: float


class Timing(NamedTuple):
    """Times that a placement depends on, in seconds.

    Attributes:
        now: Monotonic instant of the decision.
        result_lifetime: Time after which a prefill engine discards a result
            that was not transferred.
        residence: Mean time that a request occupies a decode engine.
        first_token_seconds: Time from the transfer's end to the first token.
    """

    now: float
    result_lifetime: float
    residence: float
    first_token_seconds: float


def is_eligible(
    upstream: register.Upstream, item: items.WorkItem | None = None
) -> bool:
    """Returns whether an upstream may be assigned new work.

    Args:
        upstream: The upstream.
        item: If given, the upstream must also not be excluded for this item.
    """
    if upstream.state is not register.UpstreamState.ACTIVE:
        return False
    return item is None or upstream.name not in item.excluded


def choose_prefill(
    item: items.WorkItem, queues: Iterable[prefill.PrefillQueue], now: float
) -> PrefillChoice | Blocker:
    """Chooses the engine with the earliest estimated end of the prefill."""
    best: PrefillChoice | None = None
    any_usable = False
    for queue in queues:
        if not is_eligible(queue.upstream, item) or not queue.health.usable(
            now
        ):
            continue
        any_usable = True
        start = queue.free_at(now)
        if start - now > PREFILL_LOOKAHEAD_SECONDS or queue.is_overdue(now):
            continue
        uncached_tokens = queue.uncached_tokens(item)
        end = start + queue.estimated_seconds(uncached_tokens)
        if best is None or end < best.end:
            best = PrefillChoice(queue, uncached_tokens, end)
    if best is not None:
        return best
    return Blocker.PREFILL if any_usable else Blocker.NO_ENGINE


def choose_decode(
    item: items.WorkItem,
    source: PrefillChoice,
    engines: Iterable[decode.DecodeCapacity],
    link_schedule: links.LinkSchedule,
    timing: Timing,
    is_suspect: bool,
) -> Placement | Blocker:
    """Chooses the decode engine with the lowest score that has capacity.

    The score is the estimated end of the transfer plus penalties for
    utilization and, for suspected items, for the requests on the engine.

    Args:
        item: The attempt to place.
        source: Prefill engine chosen for it.
        engines: Decode engines to choose from.
        link_schedule: Transfers already scheduled on the engines' links.
        timing: Times that the placement depends on.
        is_suspect: Whether an engine crashed while it ran this request.
    """
    best: Placement | None = None
    best_score = 0.0
    blocker = Blocker.NO_ENGINE
    lifetime_end = (
        source.end + timing.result_lifetime * USABLE_LIFETIME_FRACTION
    )
    for target in least_utilized(item, engines, timing.now):
        pieces = target.pieces(item)
        slot = link_schedule.plan(
            source.queue.upstream,
            target.upstream,
            item.prompt_tokens,
            source.end,
        )
        transfer_seconds = slot.end - slot.start
        latest = min(
            lifetime_end,
            item.deadline - timing.first_token_seconds - transfer_seconds,
        )
        if slot.start > latest:
            blocker = Blocker.LATE
            continue
        if not target.fits(pieces, latest - timing.now, timing.residence):
            blocker = Blocker.DECODE
            continue
        score = slot.end + target.utilization * FULL_ENGINE_PENALTY_SECONDS
        if is_suspect:
            score += SUSPECT_PENALTY_SECONDS * len(target.reservations)
        if best is None or score < best_score:
            best_score = score
            best = Placement(
                source.queue,
                target,
                source.uncached_tokens,
                pieces,
                source.end,
                slot,
            )
    return best or blocker


def unloaded_seconds(
    item: items.WorkItem,
    queues: Iterable[prefill.PrefillQueue],
    engines: Iterable[decode.DecodeCapacity],
) -> float | None:
    """Returns the seconds of prefill and transfer on the best idle engines.

    Returns None if no pair of engines may run the item at all.
    """
    sources = [queue for queue in queues if is_eligible(queue.upstream, item)]
    runnable = any(
        is_eligible(target.upstream, item)
        and target.pieces(item) <= target.upstream.memory_pieces
        for target in engines
    )
    if not sources or not runnable:
        return None
    return min(
        queue.uncached_tokens(item) / queue.upstream.prefill_rate
        + item.prompt_tokens
        * queue.upstream.kv_bytes_per_token
        / queue.upstream.link_rate
        for queue in sources
    )


def earliest_start(queues: Iterable[prefill.PrefillQueue], now: float) -> float:
    """Returns the earliest instant at which a prefill engine accepts work.

    The result is never before `now`.
    """
    starts = [
        queue.free_at(now)
        for queue in queues
        if is_eligible(queue.upstream) and queue.health.usable(now)
    ]
    return max(now, min(starts, default=now) - PREFILL_LOOKAHEAD_SECONDS)


def least_utilized(
    item: items.WorkItem,
    engines: Iterable[decode.DecodeCapacity],
    now: float,
) -> list[decode.DecodeCapacity]:
    """Returns the least utilized usable engines, at most `MAX_CANDIDATES`."""
    usable = [
        target
        for target in engines
        if is_eligible(target.upstream, item) and target.health.usable(now)
    ]
    if len(usable) <= MAX_CANDIDATES:
        return usable
    return heapq.nsmallest(
        MAX_CANDIDATES, usable, key=lambda target: target.utilization
    )
