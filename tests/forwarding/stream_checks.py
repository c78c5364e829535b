"""Checks what a hunt has found against the users' rules."""

from __future__ import annotations

import itertools

# Silence after which callers give up: four times the objective.
PATIENCE_S = 3.6
# Longest time, by the users' rules, for which a runner works on a request
# after it went on elsewhere, and after its caller has left.
MAX_OVERLAP_S = 0.4
MAX_WORK_AFTER_CALLER_S = 0.5
# A stream that has used this part of its time may end without its last event.
USED_FRACTION = 0.9
# Time after which a new configuration is in force at the host, in seconds.
CONFIGURATION_S = 0.5


class Checks:
    """Checks of a hunt that has ended."""

    def __init__(self, hunt):
        self.hunt = hunt

    def executions(self, request_id):
        """Returns the executions of a request in their order."""
        found = [
            execution
            for engine in self.hunt.engines
            for execution in engine.executions
            if execution.request == request_id
        ]
        return sorted(found, key=lambda execution: execution.started_at)

    def violations(self):
        """Returns what the rules don't allow."""
        found = []
        for stream in self.hunt.streams:
            executions = self.executions(stream.id)
            found += self.check_end(stream, executions)
            found += self.check_attempts(stream, executions)
            found += self.check_overlap(executions)
            found += self.check_after_caller(stream, executions)
        return found

    def check_end(self, stream, executions):
        """Returns whether a stream ended without a reason for it."""
        numbers = stream.numbers
        if numbers != list(range(1, len(numbers) + 1)):
            return [f"order: {stream}"]
        if stream.left_at is not None:
            return []
        if not stream.reader.ready():
            return [f"no end: {stream}"]
        if stream.status == 200 and stream.complete:
            return [] if len(numbers) == stream.events else [f"short: {stream}"]
        if stream.status == 503 and not executions:
            return []
        limits = self.limits(stream)
        attempts = min(each.attempts for each in limits)
        timeout_s = min(each.timeout_s for each in limits)
        used_s = stream.ended_at - stream.started_at
        if used_s >= USED_FRACTION * timeout_s:
            return []
        # The first prefill is no attempt.
        prefills = self.hunt.prefill_engine.sent_here.count(stream.id)
        sent = max(prefills - 1, 0) + sum(
            engine.sent_here.count(stream.id) for engine in self.hunt.engines
        )
        broken = any(
            begin <= stream.ended_at and end >= stream.started_at
            for begin, end in self.hunt.break_times
        )
        # An engine that closes a connection once more may not have read the
        # request that was sent on it.
        closes = sum(
            stream.started_at <= begin == end <= stream.ended_at
            for begin, end in self.hunt.break_times
        )
        unread = max(closes - 1, 0)
        if broken and sent + unread >= attempts:
            return []
        if broken and stream.longest_pause >= USED_FRACTION * PATIENCE_S:
            return []
        return [f"lost after {sent} attempts: {stream}"]

    def limits(self, stream):
        """Returns what the configurations that may be in force allow."""
        sent = [
            limits
            for limits in self.hunt.limits
            if limits.sent_at < stream.started_at
        ]
        if stream.started_at - sent[-1].sent_at < CONFIGURATION_S:
            return sent[-2:]
        return sent[-1:]

    def check_attempts(self, stream, executions):
        """Returns whether a stream ran more often than its route allows."""
        allowed = max(each.attempts for each in self.limits(stream))
        if len(executions) <= allowed:
            return []
        return [f"{len(executions)} executions, {allowed} allowed: {stream}"]

    def is_excused(self, later):
        """Returns whether the next engine ended an execution by itself.

        Without a reservation it is given up if it is silent.
        """
        if later.outcome in ("broken", "ended"):
            return True
        (engine,) = [
            each for each in self.hunt.engines if each.id == later.engine
        ]
        return not self.hunt.reserves and any(
            begin <= later.ended_at and end >= later.started_at
            for begin, end in engine.faults
        )

    def check_overlap(self, executions):
        """Returns executions that went on beside the next one."""
        return [
            f"twice: {earlier.request} at {earlier.engine} "
            f"{earlier.ended_at - later.started_at:.2f} s after it went on at "
            f"{later.engine}, which ended {later.outcome}"
            for earlier, later in itertools.pairwise(executions)
            if earlier.ended_at - later.started_at
            > MAX_OVERLAP_S + self.hunt.lag_s
            and not self.is_excused(later)
        ]

    def check_after_caller(self, stream, executions):
        """Returns executions after the caller of a stream has left."""
        if stream.left_at is None:
            return []
        until = stream.left_at + MAX_WORK_AFTER_CALLER_S + self.hunt.lag_s
        return [
            f"work for a caller that left: {each}"
            for each in executions
            if max(each.started_at, each.ended_at) > until
        ]

    def is_released(self):
        """Returns whether the host holds nothing of the streams."""
        context = self.hunt.edge_host.daemon.context
        activity = context.outcome_tracker.activity
        return not (
            context.queue.waiters
            or activity.silences
            or activity.streams
            or any(load.requests for load in context.loads.own.values())
            or self.held_connections()
            or self.held_reservations()
        )

    def held_connections(self):
        """Returns the engines at which connections beyond the pool are open."""
        idle = self.hunt.edge_host.daemon.context.connections.idle
        return [
            engine.id
            for engine in self.hunt.engines
            if len(engine.server.connections)
            > len(idle.get(engine.address, ()))
        ]

    def held_reservations(self):
        """Returns reservations that are neither used nor dropped.

        A call that drops one may fail if the engine has a fault meanwhile.
        """
        return [
            (engine.id, name)
            for engine in self.hunt.engines
            for name, granted_at in engine.granted.items()
            if name not in engine.used
            and name not in engine.dropped
            and not any(end > granted_at for _, end in engine.faults)
        ]

    def state(self):
        """Returns what the host holds, for the report of a failure."""
        context = self.hunt.edge_host.daemon.context
        activity = context.outcome_tracker.activity
        return {
            "waiters": len(context.queue.waiters),
            "silences": dict(activity.silences),
            "streams": dict(activity.streams),
            "loads": dict(context.loads.own),
            "connections": self.held_connections(),
            "reservations": self.held_reservations(),
        }
