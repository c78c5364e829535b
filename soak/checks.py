"""Promises of the product, checked from what callers and upstreams saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from soak import callers
from soak import processes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak import faults

NOT_RUN = frozenset({408, 421, 429, 503})
ONCE = frozenset({"book", "once"})
# Unplanned faults excuse what they cut, and what follows within this time.
STABLE_S = 3.0
# Time after which a leaving runner gets no more requests.
DRAIN_S = 2.0
# A close that the caller sees this soon after its request crossed it.
CROSSING_S = 0.2


def violations(
    seen: list[callers.Seen],
    runs: list[tuple[str, str, float]],
    schedule: faults.Faults,
) -> list[str]:
    """Returns a line for each broken promise."""
    by_id: dict[str, list[tuple[str, float]]] = collections.defaultdict(list)
    for request_id, runner, at in runs:
        by_id[request_id].append((runner, at))
    found = []
    for request in seen:
        ran = by_id.get(request.id, [])
        found += [
            f"{request.id} ({request.kind}, {request.host}): {problem}"
            for problem in problems(request, ran, schedule)
        ]
    for request_id, runner, at in runs:
        if is_sent_late(runner, at, schedule):
            found.append(f"{request_id}: reached {runner} while it drained")
    return found


def is_sent_late(runner: str, at: float, schedule: faults.Faults) -> bool:
    """Returns whether a run reached a runner long after it began to leave."""
    for name, start, end in schedule.draining:
        if name == runner and start + DRAIN_S < at < end:
            return not any(
                fault_start - STABLE_S < at and start < fault_end + STABLE_S
                for fault_start, fault_end in schedule.unplanned
            )
    return False


def problems(
    request: callers.Seen,
    ran: list[tuple[str, float]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields what is wrong with one request."""
    if request.kind in ONCE and len(ran) > 1:
        yield f"ran {len(ran)} times"
    if request.status in NOT_RUN and request.kind in ONCE and ran:
        yield f"answered {request.status} though it ran"
    if request.status == 200:
        yield from wrong_answer(request)
    withdrawn = schedule.withdrawn.get(request.key)
    if withdrawn and ran:
        late = request.sent_at - withdrawn
        if late > processes.CONFIRMATION_S:
            yield f"ran {late:.1f} s after its key was withdrawn"
    if not request.status and not request.timed_out:
        yield from cut_by_restart(request, ran, schedule)


def wrong_answer(request: callers.Seen) -> Iterator[str]:
    """Yields what is wrong with a success."""
    if not request.seal.endswith(f"-{request.id}"):
        yield f"has the signature {request.seal!r}"
    if request.kind in ("read", "book"):
        if request.complete and not request.body.endswith(
            f" to {request.id}".encode()
        ):
            yield f"has the body {request.body[:60]!r}"
        return
    numbers = [
        int(line.rpartition(b" ")[2])
        for line in request.body.splitlines()
        if line.startswith(b"data: token ")
    ]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"has the events {numbers}"
    if request.complete and len(numbers) != callers.EVENTS:
        yield f"ended as complete after {len(numbers)} events"


def cut_by_restart(
    request: callers.Seen,
    ran: list[tuple[str, float]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields a request that a planned restart cut.

    One that crosses the close of its connection and isn't passed on is safe to
    send again.
    """
    if not ran and request.ended_at - request.sent_at < CROSSING_S:
        return
    for start, end in schedule.unplanned:
        if start - STABLE_S < request.ended_at and request.sent_at < (
            end + STABLE_S
        ):
            return
    for host, start, end in schedule.planned:
        if host == request.host and start < request.ended_at < end + 1.0:
            yield "was cut by a planned restart"
