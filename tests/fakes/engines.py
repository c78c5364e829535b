"""Fake engines, scheduler, limiter and configuration of one entry host.

The fakes call `FaultPlan.next_fault` at each step of a request and act on the
fault that it returns. They append every violation of an invariant to
`FaultPlan.violations`.
"""

from __future__ import annotations

import collections

import gevent

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.scheduling import items
from coltsfootarch.upstreams import engine

STATUSES = {
    "invalid-request": 400,
    "unknown-request": 404,
    "duplicate-attempt": 409,
    "superseded": 409,
    "wrong-role": 409,
    "export-expired": 410,
    "offset-out-of-range": 416,
    "cancelled": 499,
    "crashed": 500,
    "out-of-memory": 503,
}


def expected_text(start, stop):
    """Returns the text of the tokens from `start` to before `stop`."""
    return "".join(f"t{offset} " for offset in range(start, stop))


class FaultPlan:
    """Faults to inject at the steps of a request.

    Attributes:
        faults: Faults by step; each is used once, in order. An empty fault
            skips one occurrence of the step.
        actions: Functions by fault; `next_fault` calls the function instead of
            returning its fault.
        violations: Descriptions of violated invariants.
    """

    def __init__(self, faults=()):
        self.faults = collections.defaultdict(collections.deque)
        for step, fault in faults:
            self.faults[step].append(fault)
        self.actions = {}
        self.violations = []

    def next_fault(self, step):
        """Returns the next fault of a step, or an empty string.

        If the fault has an action, it calls the action and returns an empty
        string. Other greenlets can run before and after that.
        """
        gevent.sleep(0)
        pending_faults = self.faults[step]
        fault = pending_faults.popleft() if pending_faults else ""
        action = self.actions.get(fault)
        if action is not None:
            action()
            fault = ""
        gevent.sleep(0)
        return fault


class FakeEngineClient:
    """`EngineClient` whose engines generate the text of `expected_text`.

    Attributes:
        held_memory: Attempt that holds memory, by (address, request id).
        sent: (call, address) of every request that reached an engine.
        unreachable: Addresses that refuse connections.
        cancelled: Addresses of successful cancellations.
        open_streams: Number of streams that are being read.
        decode_requests: Decode request by (address, request id).
        readers: Number of readers of a stream by (address, request id).
        check_dispatch: Called with the address before each dispatch.
    """

    def __init__(self, fault_plan, prompt):
        self.fault_plan = fault_plan
        self.prompt = prompt
        self.held_memory = {}
        self.sent = []
        self.unreachable = set()
        self.cancelled = []
        self.open_streams = 0
        self.decode_requests = {}
        self.readers = collections.Counter()
        self.check_dispatch = lambda address: None

    def raise_fault(self, fault, address, request_id):
        """Raises the error of a fault, if the fault ends a call."""
        if fault in STATUSES:
            self.held_memory.pop((address, request_id), None)
            raise errors.UpstreamRefusedError(address, STATUSES[fault], fault)
        if fault == "silence":
            raise errors.UpstreamTimeoutError("no event in time")
        if fault == "ends early":
            raise errors.UpstreamError("the stream ended early")
        if fault == "crash":
            self.unreachable.add(address)
            for key in [key for key in self.held_memory if key[0] == address]:
                del self.held_memory[key]
            raise errors.UpstreamError("connection reset")

    def connect(self, call, address, step):
        self.check_dispatch(address)
        self.sent.append((call, address))
        fault = self.fault_plan.next_fault(step)
        if fault == "connect refused" or address in self.unreachable:
            self.sent.remove((call, address))
            raise errors.UpstreamConnectError(f"{address} refuses")
        return fault

    def check_prompt(self, request):
        if request.prompt != self.prompt + expected_text(
            0, request.first_offset
        ):
            self.fault_plan.violations.append("the prompt lacks emitted text")
        if request.max_tokens < 1:
            raise errors.UpstreamRefusedError("", 400, "invalid-request")

    def prefill(self, address, request):
        fault = self.connect("prefill", address, "prefill")
        self.check_prompt(request)
        key = (address, request.request_id)
        self.held_memory[key] = request.attempt
        self.raise_fault(fault, address, request.request_id)
        self.fault_plan.next_fault("prefilled")
        return engine.PrefillResult("export", address, 8, 0, 0.8)

    def decode(self, address, request, source):
        fault = self.connect("decode", address, "transfer")
        self.check_prompt(request)
        key = (address, request.request_id)
        self.held_memory[key] = request.attempt
        self.raise_fault(fault, address, request.request_id)
        if (
            self.held_memory.pop((source.address, request.request_id), None)
            is None
        ):
            if source.address not in self.unreachable:
                self.fault_plan.violations.append("the export was cancelled")
            self.raise_fault("export-expired", address, request.request_id)
        self.held_memory[key] = request.attempt
        self.decode_requests[key] = request
        yield from self.stream(key, request, request.first_offset)

    def resume(self, address, request_id, offset):
        fault = self.connect("resume", address, "resume")
        self.raise_fault(fault, address, request_id)
        key = (address, request_id)
        if key not in self.held_memory:
            self.raise_fault("unknown-request", address, request_id)
        yield from self.stream(key, self.decode_requests[key], offset)

    def stream(self, key, request, offset):
        """Yields events of one token each; its end frees the engine memory."""
        address, request_id = key
        end = request.first_offset + request.max_tokens
        self.open_streams += 1
        self.readers[key] += 1
        try:
            for token_offset in range(offset, end):
                fault = self.fault_plan.next_fault(
                    stream_step(token_offset, request, end)
                )
                if self.held_memory.get(key) != request.attempt:
                    self.fault_plan.violations.append("cancelled while read")
                    self.raise_fault("cancelled", address, request_id)
                self.raise_fault(fault, address, request_id)
                yield from self.token_events(
                    fault, request, token_offset, token_offset == end - 1
                )
            self.raise_fault(
                self.fault_plan.next_fault("end mark"), address, request_id
            )
            self.held_memory.pop(key, None)
            yield self.event(request, end, "", 0, finished=True)
        finally:
            self.open_streams -= 1
            self.readers[key] -= 1

    def token_events(self, fault, request, token_offset, is_last):
        event = self.event(
            request,
            token_offset,
            expected_text(token_offset, token_offset + 1),
            1,
        )
        if fault == "repeated":
            yield event
        if fault == "other request":
            yield event._replace(request_id="gw.9.9", text="foreign ")
        if fault == "other attempt":
            yield event._replace(attempt=request.attempt + 1, text="foreign ")
        if fault == "missing":
            yield event._replace(offset=token_offset + 1, text="late ")
        if fault == "overlap":
            yield event._replace(
                offset=token_offset - 1, tokens=2, text="both "
            )
        yield event

    def event(self, request, offset, text, tokens, finished=False):
        return engine.TokenEvent(
            request.request_id, request.attempt, offset, text, tokens, finished
        )

    def cancel(self, address, request_id):
        fault = self.fault_plan.next_fault("cancel")
        if address in self.unreachable:
            raise errors.UpstreamConnectError(f"{address} refuses")
        self.raise_fault(fault, address, request_id)
        self.cancelled.append(address)
        self.held_memory.pop((address, request_id), None)

    def requests(self, address):
        gevent.sleep(0)
        if address in self.unreachable:
            raise errors.UpstreamConnectError(f"{address} refuses")
        return [
            engine.EngineEntry(
                request_id,
                attempt,
                "gw/1",
                "decode",
                self.idle_seconds(engine_address),
            )
            for (
                engine_address,
                request_id,
            ), attempt in self.held_memory.items()
            if engine_address == address
        ]

    def idle_seconds(self, address):
        is_read = any(
            count for key, count in self.readers.items() if key[0] == address
        )
        return 0.0 if is_read else 5.0

    def load(self, address):
        gevent.sleep(0)
        if address in self.unreachable:
            raise errors.UpstreamConnectError(f"{address} refuses")
        return engine.LoadReport(0, 0, 100, 0, 0.0)


def stream_step(token_offset, request, end):
    if token_offset == request.first_offset:
        return "first token"
    return "last token" if token_offset == end - 1 else "mid-stream"


class FakeScheduler:
    """Assigns the first (prefill, decode) pair without an excluded engine."""

    def __init__(self, fault_plan, pairs):
        self.fault_plan = fault_plan
        self.pairs = pairs
        self.items = []
        self.assigned = []
        self.events = []

    def schedule(self, _service, item):
        self.items.append(item)
        fault = self.fault_plan.next_fault("schedule")
        if fault == "refused":
            raise errors.RefusedError(results.OVERLOADED, retry_after=1.0)
        for prefill, decode in self.pairs:
            if not {prefill, decode} & item.excluded:
                self.assigned.append(item.key)
                return items.Assignment(
                    item.request_id, item.attempt, prefill, decode
                )
        raise errors.RefusedError(results.NO_UPSTREAM, retry_after=1.0)

    def notify(self, event):
        self.events.append(event)

    def count_attempt_ends(self):
        """Returns how many times the end of each attempt was reported."""
        return collections.Counter(
            items.AttemptKey(event.request_id, event.attempt)
            for event in self.events
            if event.step in ("finished", "failed", "crashed", "cancelled")
        )


class RecordingLimiter:
    """Limiter that records reserved and settled tokens."""

    def __init__(self, fault_plan):
        self.fault_plan = fault_plan
        self.reserved = []
        self.settled = []

    def reserve(self, _account, tokens):
        if self.fault_plan.next_fault("reserve") == "refused":
            raise errors.RefusedError(results.RATE_EXCEEDED, retry_after=1.0)
        self.reserved.append(tokens)
        return len(self.reserved)

    def settle(self, reservation, used):
        self.settled.append((reservation, used))


class FakeHostList:
    """List of leaving upstreams; it changes when the configuration does."""

    def __init__(self, configuration):
        self.configuration = configuration

    def ensure_fresh(self):
        """Does nothing; unlike the tracker it never waits."""

    def leaving_hosts(self):
        return self.configuration.applied_leaving


class FakeTracker:
    """Configuration tracker; `ensure_fresh` applies pending changes.

    Attributes:
        pending_leaving: Leaving addresses that the next `ensure_fresh` applies.
        applied_leaving: Leaving addresses in force.
        withdrawn: Whether the next `ensure_fresh` reports a withdrawn key.
        on_withdrawal: Called when a withdrawn key is found.
    """

    def __init__(self, fault_plan, register):
        self.fault_plan = fault_plan
        self.register = register
        self.pending_leaving = set()
        self.applied_leaving = set()
        self.withdrawn = False
        self.on_withdrawal = lambda: None

    def ensure_fresh(self):
        self.fault_plan.next_fault("guard")
        self.applied_leaving = set(self.pending_leaving)
        if self.withdrawn:
            self.on_withdrawal()
