"""Attempts that run, and engines for those that may crash them."""

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
    """An assigned attempt."""

    item: items.WorkItem
    prefill: str
    decode: str


def digests_on(upstream: str, attempts: Iterable[AssignedAttempt]) -> list[str]:
    """Returns the digests of the attempts assigned to an upstream."""
    return [
        attempt.item.digest
        for attempt in attempts
        if upstream in (attempt.prefill, attempt.decode)
    ]


def engines_for(
    item: items.WorkItem,
    engines: Mapping[str, decode.DecodeCapacity],
    attempts: Iterable[AssignedAttempt],
    state: quarantine.Quarantine,
) -> list[decode.DecodeCapacity]:
    """Returns the decode engines that an item may share."""
    if not state.isolated(item.digest):
        return list(engines.values())
    taken = {
        attempt.decode
        for attempt in attempts
        if state.isolated(attempt.item.digest)
    }
    return [capacity for name, capacity in engines.items() if name not in taken]
