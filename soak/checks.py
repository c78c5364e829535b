"""Checks the guarantees of the product on records of callers and runners."""

from __future__ import annotations

import collections
import itertools
import math
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
# Longest time until hosts apply a configuration.
APPLY_S = 5.0
# Requests may be given up after the timeout of their route, streams also after
# a silence after which callers give up: the longest of 2 s, four times the
# objective and eight times the gap between events.
STREAM_SILENCE_S = 3.6
TIME_SLACK_S = 0.2
# Responses later than this part of the grace period of a host that stops may
# be cut off, if the request was sent no later than `GRACE_START_S` after its
# begin.
GRACE_FRACTION = 5 / 6
GRACE_START_S = 3.0
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
    crashes = [at for request_id, _, at in runs if is_crashing(request_id)]
    found = []
    for request in observations:
        executions = executions_by_id.get(request.id, [])
        problems = [*find_violations(request, executions, schedule)]
        if not (
            problems
            or is_crashing(request.id)
            or any(is_near(request, at, at) for at in crashes)
        ):
            problems += find_failure(request, executions, schedule)
        found += [
            f"{request.id} ({request.kind}, {request.host}): {problem}"
            for problem in problems
        ]
    for request_id, runner, at in runs:
        if ran_while_draining(runner, at, schedule):
            found.append(f"{request_id}: reached {runner} while it drained")
    return found + list(find_repeated_crashes(runs))


def is_crashing(request_id: str) -> bool:
    """Returns whether a request has a part that crashes engines."""
    return request_id.endswith(callers.CRASHING_SUFFIX)


def find_repeated_crashes(
    runs: list[tuple[str, str, float]],
) -> Iterator[str]:
    """Yields a description if requests crash engine after engine.

    Args:
        runs: Request id, runner and monotonic instant of each execution.
    """
    crashed_at = sorted(
        at for request_id, _, at in runs if is_crashing(request_id)
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
    if request.complete and len(numbers) != request.events:
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
    if met_close(request, executions) or is_disturbed(request, schedule):
        return
    for host, start, end in schedule.planned:
        if host == request.host and start < request.ended_at < end + 1.0:
            yield "was interrupted by a planned restart"


def met_close(
    request: callers.Observation, executions: list[tuple[str, float]]
) -> bool:
    """Returns whether a request met the close of its connection."""
    return (
        not executions
        and not request.status
        and request.ended_at - request.sent_at < CLOSE_RACE_S
    )


def is_near(request: callers.Observation, start: float, end: float) -> bool:
    """Returns whether a request was sent or ended around an interval."""
    return (
        start - RECOVERY_S < request.ended_at
        and request.sent_at < end + RECOVERY_S
    )


def is_disturbed(request: callers.Observation, schedule: faults.Faults) -> bool:
    """Returns whether an unplanned fault excuses a request."""
    return any(
        is_near(request, start, end) for start, end in schedule.unplanned
    )


def find_failure(
    request: callers.Observation,
    executions: list[tuple[str, float]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields a description if a request failed without an excuse.

    Without an unplanned fault each request gets a complete response or a
    refusal until its time is used up. Silence of a runner is no excuse.
    """
    if (
        request.timed_out
        or met_close(request, executions)
        or is_disturbed(request, schedule)
        or is_time_used_up(request, schedule)
        or is_grace_over(request, schedule)
    ):
        return
    times = (
        f"after {request.ended_at - request.sent_at:.2f} s, "
        f"{request.silent_s:.2f} s of silence"
    )
    if not request.status:
        yield f"ended without a response {times}"
    elif not request.complete:
        yield f"had its response cut off {times}"
    elif request.status == 401 and request.key in schedule.withdrawn:
        return
    elif request.status not in {200, *NOT_EXECUTED_STATUSES}:
        yield f"was answered {request.status} {times}"


def find_forgotten(
    observations: list[callers.Observation],
    logged: dict[str, set[str]],
    schedule: faults.Faults,
) -> Iterator[str]:
    """Yields a description of each request without a response or a trace.

    A host logs the end of each request that it has read, also of those that
    their callers gave up.

    Args:
        observations: Records of the callers.
        logged: Ids of the requests whose end was logged, by host.
        schedule: Faults that were applied.
    """
    for request in observations:
        if (
            not request.status
            and request.id not in logged[request.host]
            and request.ended_at - request.sent_at >= CLOSE_RACE_S
            and not is_disturbed(request, schedule)
        ):
            yield (
                f"{request.id} ({request.kind}, {request.host}): has neither a "
                "response nor a log line"
            )


def is_time_used_up(
    request: callers.Observation, schedule: faults.Faults
) -> bool:
    """Returns whether a request may be given up for its time."""
    is_stream = request.kind in ("write", "once")
    if is_stream and request.silent_s > STREAM_SILENCE_S - TIME_SLACK_S:
        return True
    took_s = request.ended_at - request.sent_at + TIME_SLACK_S
    # Hosts apply a configuration some time after it was written.
    limit_s = min(
        limit_s
        for (at, limit_s), (replaced_at, _) in itertools.pairwise(
            [*schedule.time_limits, (math.inf, 0.0)]
        )
        if at < request.ended_at and request.sent_at < replaced_at + APPLY_S
    )
    return took_s > min(limit_s, request.timeout_s)


def is_grace_over(
    request: callers.Observation, schedule: faults.Faults
) -> bool:
    """Returns whether the grace period of a host ended with a request."""
    part_s = GRACE_FRACTION * processes.GRACE_S
    return any(
        host == request.host
        and request.sent_at <= start + GRACE_START_S
        and start + part_s < request.ended_at < end + 1.0
        for host, start, end in schedule.planned
    )
