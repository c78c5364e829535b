"""Checks the guarantees of the product on records of callers and runners."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from soak import callers
from soak import processes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak import faults

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
AT_MOST_ONCE_KINDS = frozenset({"book", "once"})
# Unplanned faults excuse requests that they interrupt, and requests up to this
# many seconds before and after them.
RECOVERY_S = 3.0
# Seconds after which a draining runner must get no more requests.
DRAIN_S = 2.0
# Requests with a part that crashes engines may reach this many engines. Later
# than `REFUSAL_S` seconds after the last of them only a few more may.
MAX_CRASHES = 5
REFUSAL_S = 3.0
MAX_LATE_CRASHES = 3
# If a connection closes within this many seconds after a request was sent on
# it, host and caller acted at the same time.
CLOSE_RACE_S = 0.2


def violations(
    observations: list[callers.Observation],
    runs: list[tuple[str, str, float]],
    schedule: faults.Faults,
) -> list[str]:
    """Returns a line for each violation of a guarantee.

    Args:
        observations: Records of the callers.
        runs: Request id, runner and monotonic instant of each execution.
        schedule: Faults that were applied.
    """
    executions_by_id: dict[str, list[tuple[str, float]]] = (
        collections.defaultdict(list)
    )
    for request_id, runner, at in runs:
        executions_by_id[request_id].append((runner, at))
    found = []
    for request in observations:
        executions = executions_by_id.get(request.id, [])
        found += [
            f"{request.id} ({request.kind}, {request.host}): {problem}"
            for problem in find_violations(request, executions, schedule)
        ]
    for request_id, runner, at in runs:
        if ran_while_draining(runner, at, schedule):
            found.append(f"{request_id}: reached {runner} while it drained")
    return found + list(find_repeated_crashes(runs))


def find_repeated_crashes(
    runs: list[tuple[str, str, float]],
) -> Iterator[str]:
    """Yields a description if requests crash engine after engine.

    Args:
        runs: Request id, runner and monotonic instant of each execution.
    """
    crashed_at = sorted(
        at
        for request_id, _, at in runs
        if request_id.endswith(callers.CRASHING_SUFFIX)
    )
    if len(crashed_at) <= MAX_CRASHES:
        return
    refused_from = crashed_at[MAX_CRASHES - 1] + REFUSAL_S
    late = sum(at > refused_from for at in crashed_at)
    if late > MAX_LATE_CRASHES:
        yield f"{late} requests with a crashing part ran {REFUSAL_S} s late"


def ran_while_draining(runner: str, at: float, schedule: faults.Faults) -> bool:
    """Returns whether a request reached a runner long after its drain began.

    Args:
        runner: Name of the runner.
        at: Monotonic instant of the execution.
        schedule: Faults that were applied; unplanned ones around the drain
            excuse the request.
    """
    for name, start, end in schedule.draining:
        if name == runner and start + DRAIN_S < at < end:
            return not any(
                fault_start - RECOVERY_S < at and start < fault_end + RECOVERY_S
                for fault_start, fault_end in schedule.unplanned
            )
    return False


def find_violations(
    request: callers.Observation,
    executions: list[tuple[str, float]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields a description of each violation by one request.

    Args:
        request: Record of the caller.
        executions: Runner and monotonic instant of each execution.
        schedule: Faults that were applied.
    """
    if request.kind in AT_MOST_ONCE_KINDS and len(executions) > 1:
        yield f"ran {len(executions)} times"
    if (
        request.status in NOT_EXECUTED_STATUSES
        and request.kind in AT_MOST_ONCE_KINDS
        and executions
    ):
        yield f"answered {request.status} though it ran"
    if request.status == 200:
        yield from find_response_errors(request)
    withdrawn = schedule.withdrawn.get(request.key)
    if withdrawn and executions:
        late = request.sent_at - withdrawn
        if late > processes.KEY_CONFIRMATION_S:
            yield f"ran {late:.1f} s after its key was withdrawn"
    if not request.status and not request.timed_out:
        yield from find_restart_interruption(request, executions, schedule)


def find_response_errors(request: callers.Observation) -> Iterator[str]:
    """Yields a description of each error in a response with status 200."""
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
    if request.complete and len(numbers) != callers.EVENTS_PER_STREAM:
        yield f"ended as complete after {len(numbers)} events"


def find_restart_interruption(
    request: callers.Observation,
    executions: list[tuple[str, float]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields a description if a planned restart interrupted the request.

    A request that meets the close of its connection on the way and isn't
    executed is no violation: it is safe to send again.
    """
    if not executions and request.ended_at - request.sent_at < CLOSE_RACE_S:
        return
    for start, end in schedule.unplanned:
        if start - RECOVERY_S < request.ended_at and request.sent_at < (
            end + RECOVERY_S
        ):
            return
    for host, start, end in schedule.planned:
        if host == request.host and start < request.ended_at < end + 1.0:
            yield "was interrupted by a planned restart"
