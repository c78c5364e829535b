"""Notices engines that are slower than expected."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.scheduling import decode
    from coltsfootarch.scheduling import prefill

# An engine is slow at this many times the median of its pool.
SLOW_FACTOR = 1.5
FEWEST_SAMPLES = 2
HEALTHY_SLOWDOWN = 1.0


def decode_is_slow(
    capacity: decode.DecodeCapacity,
    pool: Iterable[decode.DecodeCapacity],
    target: float,
) -> bool:
    """Returns whether an engine misses the inter-token target by itself.

    Args:
        capacity: The engine in question.
        pool: All decode engines; a pool that is slow as a whole keeps running.
        target: Expected time between tokens, seconds.
    """
    if capacity.samples < FEWEST_SAMPLES or capacity.token_seconds <= target:
        return False
    others = [other for other in pool if other is not capacity]
    if not others:
        return False
    measured = [other.token_seconds for other in others if other.samples]
    usual = statistics.median(measured) if measured else target
    return capacity.token_seconds > SLOW_FACTOR * usual


def prefill_is_slow(
    queue: prefill.PrefillQueue,
    pool: Iterable[prefill.PrefillQueue],
    now: float,
) -> bool:
    """Returns whether an engine is far slower than its register rate says.

    Args:
        queue: The engine in question.
        pool: All prefill engines; the last usable one is never slow.
        now: Monotonic instant.
    """
    if queue.slowdown <= SLOW_FACTOR * HEALTHY_SLOWDOWN:
        return False
    others = [
        max(HEALTHY_SLOWDOWN, other.slowdown)
        for other in pool
        if other is not queue and other.health.usable(now)
    ]
    if not others:
        return False
    return queue.slowdown > SLOW_FACTOR * statistics.median(others)
