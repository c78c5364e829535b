"""Detection of engines that are slower than the rest of their pool."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch.scheduling import decode
    from coltsfootarch.scheduling import prefill

# An engine is slow if its time exceeds the median of the other engines in its
# pool by this factor.
SLOW_FACTOR = 1.5
# Requests that must have been measured before an engine can count as slow.
MIN_SAMPLES = 2
# Slowdown of a prefill engine that runs at its `prefill_rate`.
NOMINAL_SLOWDOWN = 1.0


def decode_is_slow(
    capacity: decode.DecodeCapacity,
    pool: Iterable[decode.DecodeCapacity],
    target_seconds: float,
) -> bool:
    """Returns whether an engine alone misses the inter-token target.

    Args:
        capacity: Engine to check.
        pool: All decode engines. If the whole pool is slow, no engine counts as
            slow, so that the pool stays in service.
        target_seconds: Target time between tokens.
    """
    if (
        capacity.samples < MIN_SAMPLES
        or capacity.seconds_per_token <= target_seconds
    ):
        return False
    others = [other for other in pool if other is not capacity]
    if not others:
        return False
    measured = [other.seconds_per_token for other in others if other.samples]
    typical_seconds = (
        statistics.median(measured) if measured else target_seconds
    )
    return capacity.seconds_per_token > SLOW_FACTOR * typical_seconds


def prefill_is_slow(
    queue: prefill.PrefillQueue,
    pool: Iterable[prefill.PrefillQueue],
    now: float,
) -> bool:
    """Returns whether an engine is far slower than its `prefill_rate`.

    Args:
        queue: Queue of the engine to check.
        pool: Queues of all prefill engines; the last usable engine never counts
            as slow.
        now: Monotonic instant.
    """
    if queue.slowdown <= SLOW_FACTOR * NOMINAL_SLOWDOWN:
        return False
    others = [
        max(NOMINAL_SLOWDOWN, other.slowdown)
        for other in pool
        if other is not queue and other.health.usable(now)
    ]
    if not others:
        return False
    return queue.slowdown > SLOW_FACTOR * statistics.median(others)
