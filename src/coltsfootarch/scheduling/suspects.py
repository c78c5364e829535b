"""Requests under way, and where those that may crash engines can run."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch.scheduling import decode
    from coltsfootarch.scheduling import items
    from coltsfootarch.scheduling import quarantine


class Flight(NamedTuple):
    """An assigned attempt."""

    item: items.WorkItem
    prefill: str
    decode: str


def aboard(upstream: str, flights: Iterable[Flight]) -> list[str]:
    """Returns the digests of the attempts assigned to an upstream."""
    return [
        flight.item.digest
        for flight in flights
        if upstream in (flight.prefill, flight.decode)
    ]


def engines_for(
    item: items.WorkItem,
    engines: Mapping[str, decode.DecodeCapacity],
    flights: Iterable[Flight],
    state: quarantine.Quarantine,
) -> list[decode.DecodeCapacity]:
    """Returns the decode engines that an item may share."""
    if not state.isolated(item.digest):
        return list(engines.values())
    taken = {
        flight.decode
        for flight in flights
        if state.isolated(flight.item.digest)
    }
    return [capacity for name, capacity in engines.items() if name not in taken]
