"""Assigned attempts, and separation of those suspected of crashing engines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch.scheduling import decode
    from coltsfootarch.scheduling import items
    from coltsfootarch.scheduling import quarantine


class AssignedAttempt(NamedTuple):
    """An attempt with the engines assigned to it.

    Attributes:
        item: The attempt.
        prefill: Name of the prefill engine.
        decode: Name of the decode engine.
    """

    item: items.WorkItem
    prefill: str
    decode: str


def digests_on(upstream: str, attempts: Iterable[AssignedAttempt]) -> list[str]:
    """Returns the request digests of the attempts assigned to an upstream."""
    return [
        attempt.item.digest
        for attempt in attempts
        if upstream in (attempt.prefill, attempt.decode)
    ]


def allowed_engines(
    item: items.WorkItem,
    engines: Mapping[str, decode.DecodeCapacity],
    attempts: Iterable[AssignedAttempt],
    crash_quarantine: quarantine.Quarantine,
) -> list[decode.DecodeCapacity]:
    """Returns the decode engines that an item may run on.

    An isolated item must not share an engine with another isolated one.

    Args:
        item: The attempt to place.
        engines: Decode engines by name.
        attempts: All assigned attempts.
        crash_quarantine: Tells which digests are isolated.
    """
    if not crash_quarantine.is_isolated(item.digest):
        return list(engines.values())
    engines_with_isolated_items = {
        attempt.decode
        for attempt in attempts
        if crash_quarantine.is_isolated(attempt.item.digest)
    }
    return [
        capacity
        for name, capacity in engines.items()
        if name not in engines_with_isolated_items
    ]
