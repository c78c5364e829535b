"""Scripted engines, scheduler, limiter and configuration of one entry host.

`Script` holds the faults of each step and is asked at every step. The engines
keep what they hold in memory, and `Script.violations` collects what must never
happen.
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


def text_at(start, stop):
    """Returns the text of the tokens from `start` to before `stop`."""
    return "".join(f"t{offset} " for offset in range(start, stop))


class Script:
    """Faults by step, each used once, in order; `at` takes the next one."""

    def __init__(self, faults=()):
        self.faults = collections.defaultdict(collections.deque)
        for step, fault in faults:
            self.faults[step].append(fault)
        self.actions = {}
        self.violations = []

    def at(self, step):
        """Returns the fault of a step after carrying out its action."""
        gevent.sleep(0)
        waiting = self.faults[step]
        fault = waiting.popleft() if waiting else ""
        action = self.actions.get(fault)
        if action is not None:
            action()
            fault = ""
        gevent.sleep(0)
        return fault


class ScriptedEngines:
    """`EngineClient` whose engines generate the text of `text_at`.

    `held` maps (address, request id) to the attempt that holds memory there;
    `sent` lists (call, address) of every request that reached an engine;
    `down` holds addresses that answer nothing.
    """

    def __init__(self, script, prompt):
        self.script = script
        self.prompt = prompt
        self.held = {}
        self.sent = []
        self.down = set()
        self.cancelled = []
        self.open_streams = 0
        self.requested = {}
        self.readers = collections.Counter()
        self.check_dispatch = lambda address: None

    def fail(self, fault, address, request_id):
        """Raises the error of a fault, if it is one that ends a call."""
        if fault in STATUSES:
            self.held.pop((address, request_id), None)
            raise errors.UpstreamRefusedError(address, STATUSES[fault], fault)
        if fault == "silence":
            raise errors.UpstreamTimeoutError("no event in time")
        if fault == "ends early":
            raise errors.UpstreamError("the stream ended early")
        if fault == "crash":
            self.down.add(address)
            for key in [key for key in self.held if key[0] == address]:
                del self.held[key]
            raise errors.UpstreamError("connection reset")

    def connect(self, call, address, step):
        self.check_dispatch(address)
        self.sent.append((call, address))
        fault = self.script.at(step)
        if fault == "connect refused" or address in self.down:
            self.sent.remove((call, address))
            raise errors.UpstreamConnectError(f"{address} refuses")
        return fault

    def check_prompt(self, request):
        if request.prompt != self.prompt + text_at(0, request.first_offset):
            self.script.violations.append("the prompt lacks emitted text")
        if request.max_tokens < 1:
            raise errors.UpstreamRefusedError("", 400, "invalid-request")

    def prefill(self, address, request):
        fault = self.connect("prefill", address, "prefill")
        self.check_prompt(request)
        key = (address, request.request_id)
        self.held[key] = request.attempt
        self.fail(fault, address, request.request_id)
        self.script.at("prefilled")
        return engine.PrefillResult("export", address, 8, 0, 0.8)

    def decode(self, address, request, source):
        fault = self.connect("decode", address, "transfer")
        self.check_prompt(request)
        key = (address, request.request_id)
        self.held[key] = request.attempt
        self.fail(fault, address, request.request_id)
        if self.held.pop((source.address, request.request_id), None) is None:
            if source.address not in self.down:
                self.script.violations.append("the export was cancelled")
            self.fail("export-expired", address, request.request_id)
        self.held[key] = request.attempt
        self.requested[key] = request
        yield from self.stream(key, request, request.first_offset)

    def resume(self, address, request_id, offset):
        fault = self.connect("resume", address, "resume")
        self.fail(fault, address, request_id)
        key = (address, request_id)
        if key not in self.held:
            self.fail("unknown-request", address, request_id)
        yield from self.stream(key, self.requested[key], offset)

    def stream(self, key, request, offset):
        """Yields one token at a time; reading it to its end frees it."""
        address, request_id = key
        end = request.first_offset + request.max_tokens
        self.open_streams += 1
        self.readers[key] += 1
        try:
            for number in range(offset, end):
                fault = self.script.at(step_of(number, request, end))
                if self.held.get(key) != request.attempt:
                    self.script.violations.append("cancelled while read")
                    self.fail("cancelled", address, request_id)
                self.fail(fault, address, request_id)
                yield from self.token(fault, request, number, number == end - 1)
            self.fail(self.script.at("end mark"), address, request_id)
            self.held.pop(key, None)
            yield self.event(request, end, "", 0, finished=True)
        finally:
            self.open_streams -= 1
            self.readers[key] -= 1

    def token(self, fault, request, number, last):
        good = self.event(request, number, text_at(number, number + 1), 1)
        if fault == "repeated":
            yield good
        if fault == "other request":
            yield good._replace(request_id="gw.9.9", text="foreign ")
        if fault == "other attempt":
            yield good._replace(attempt=request.attempt + 1, text="foreign ")
        if fault == "missing":
            yield good._replace(offset=number + 1, text="late ")
        if fault == "overlap":
            yield good._replace(offset=number - 1, tokens=2, text="both ")
        yield good

    def event(self, request, offset, text, tokens, finished=False):
        return engine.TokenEvent(
            request.request_id, request.attempt, offset, text, tokens, finished
        )

    def cancel(self, address, request_id):
        fault = self.script.at("cancel")
        if address in self.down:
            raise errors.UpstreamConnectError(f"{address} refuses")
        self.fail(fault, address, request_id)
        self.cancelled.append(address)
        self.held.pop((address, request_id), None)

    def requests(self, address):
        gevent.sleep(0)
        if address in self.down:
            raise errors.UpstreamConnectError(f"{address} refuses")
        return [
            engine.EngineEntry(
                request_id, attempt, "gw/1", "decode", self.idle(where)
            )
            for (where, request_id), attempt in self.held.items()
            if where == address
        ]

    def idle(self, address):
        read = any(
            count for key, count in self.readers.items() if key[0] == address
        )
        return 0.0 if read else 5.0

    def load(self, address):
        gevent.sleep(0)
        if address in self.down:
            raise errors.UpstreamConnectError(f"{address} refuses")
        return engine.LoadReport(0, 0, 100, 0, 0.0)


def step_of(number, request, end):
    if number == request.first_offset:
        return "first token"
    return "last token" if number == end - 1 else "mid-stream"


class ScriptedScheduler:
    """Gives (prefill, decode) pairs from a list, without excluded engines."""

    def __init__(self, script, pairs):
        self.script = script
        self.pairs = pairs
        self.items = []
        self.assigned = []
        self.events = []

    def schedule(self, _service, item):
        self.items.append(item)
        fault = self.script.at("schedule")
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

    def endings(self):
        """Returns how often the end of each attempt was reported."""
        return collections.Counter(
            items.AttemptKey(event.request_id, event.attempt)
            for event in self.events
            if event.step in ("finished", "failed", "crashed", "cancelled")
        )


class RecordingLimiter:
    """Records reservations and settlements, in tokens."""

    def __init__(self, script):
        self.script = script
        self.reserved = []
        self.settled = []

    def reserve(self, _account, tokens):
        if self.script.at("reserve") == "refused":
            raise errors.RefusedError(results.RATE_EXCEEDED, retry_after=1.0)
        self.reserved.append(tokens)
        return len(self.reserved)

    def settle(self, reservation, used):
        self.settled.append((reservation, used))


class ScriptedHostList:
    """Leaving machines, read together with the configuration."""

    def __init__(self, configuration):
        self.configuration = configuration

    def ensure_fresh(self):
        """Does nothing and, unlike the tracker, never waits."""

    def leaving_hosts(self):
        return self.configuration.in_force_leaving


class ScriptedConfiguration:
    """Tracker; `ensure_fresh` puts what is `coming` in force."""

    def __init__(self, script, register):
        self.script = script
        self.register = register
        self.coming_leaving = set()
        self.in_force_leaving = set()
        self.withdrawn = False
        self.on_withdrawal = lambda: None

    def ensure_fresh(self):
        self.script.at("guard")
        self.in_force_leaving = set(self.coming_leaving)
        if self.withdrawn:
            self.on_withdrawal()
