"""Tests the completion path under faults.

They guard against engine memory that isn't freed and against tokens that are
lost or delivered twice. Each test injects faults at certain steps. `check` then
compares the recorded events with invariants 1, 2, 3, 5, 6 and 8 and with the
charged tokens.
"""

from __future__ import annotations

import gevent
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import routes
from coltsfootarch.gateway import completion_pipeline
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import dispatch_guard
from coltsfootarch.gateway import inflight
from coltsfootarch.gateway import reachability
from coltsfootarch.keys import keyring
from coltsfootarch.observability import metrics
from coltsfootarch.retries import budget
from tests.fakes import engines
from tests.fakes import pools

TOKENS = 6
PROMPT = "Referral: hip surgery."
CALLER = keyring.Caller("a", "k1")
PROMPT_TOKENS = completions.count_tokens(PROMPT)
WAIT_SECONDS = 10
PAIRS = [
    (prefill, decode)
    for decode in ("d1", "d2", "d3", "d4")
    for prefill in ("p1", "p2", "p3", "p4")
]
ENGINES = sorted({name for pair in PAIRS for name in pair})


class Harness:
    """One entry host that runs one request.

    Attributes:
        events: Events that the caller received.
        error: Error that ended the request, or None.
        disconnected: Whether the caller disconnected.
    """

    def __init__(self, faults=(), pairs=PAIRS):
        self.clock = clocks.ManualClock()
        self.fault_plan = engines.FaultPlan(faults)
        self.upstreams = {
            name: pools.make_upstream(
                name, "prefill" if name[0] == "p" else "decode", number
            )
            for number, name in enumerate(ENGINES)
        }
        self.configuration = engines.FakeTracker(
            self.fault_plan,
            pools.make_register(
                self.upstreams.values(), resume_secret="aa" * 32
            ),
        )
        self.engines = engines.FakeEngineClient(self.fault_plan, PROMPT)
        self.engines.check_dispatch = self.check_dispatch
        self.scheduler = engines.FakeScheduler(self.fault_plan, pairs)
        self.limiter = engines.RecordingLimiter(self.fault_plan)
        self.requests = inflight.InflightRequests("gw", 1, self.clock)
        self.pipeline = completion_pipeline.CompletionPipeline(
            self.clock,
            lambda: self.configuration.register,
            lambda: routes.RouteTable(self.configuration.register),
            self.limiter,
            self.scheduler,
            self.engines,
            dispatch_guard.DispatchGuard(
                self.configuration, engines.FakeHostList(self.configuration)
            ),
            reachability.Reachability(self.clock),
            budget.RetryBudget(self.clock, 0.2),
            metrics.NullMetrics(),
            "gw/1",
        )
        self.handle = None
        self.events = []
        self.error = None
        self.disconnected = False
        self.configuration.on_withdrawal = lambda: self.end_request(
            results.KEY_WITHDRAWN
        )
        self.fault_plan.actions = {
            "caller cancels": lambda: self.end_request(
                results.CLIENT_CANCELLED
            ),
            "key withdrawn": lambda: self.end_request(results.KEY_WITHDRAWN),
            "pause, key withdrawn": self.withdraw_key,
            "pause, p1 leaves": lambda: self.start_leaving("p1"),
            "pause, d1 leaves": lambda: self.start_leaving("d1"),
            "register loses d1": lambda: self.remove_from_register("d1"),
        }

    def end_request(self, code):
        if self.handle is not None:
            self.handle.end(code)

    def withdraw_key(self):
        self.configuration.withdrawn = True

    def start_leaving(self, name):
        address = self.upstreams[name].address
        self.configuration.pending_leaving.add(address)

    def remove_from_register(self, name):
        register = self.configuration.register
        remaining = dict(register.upstreams)
        remaining.pop(name, None)
        self.configuration.register = register._replace(upstreams=remaining)

    def check_dispatch(self, address):
        if address in self.configuration.pending_leaving:
            self.fault_plan.violations.append("work for a leaving engine")
        if self.configuration.withdrawn:
            self.fault_plan.violations.append("work for a withdrawn key")

    def run(self, stream=True, disconnect_after=None):
        """Runs a request and waits for its background work.

        With `disconnect_after`, the caller disconnects after that many tokens.
        """
        request = completions.CompletionRequest(
            "summary", PROMPT, TOKENS, stream, None, "digest"
        )
        request_id = self.requests.new_request_id()
        events = self.pipeline.run(request_id, CALLER, request)
        return self.consume(request_id, events, disconnect_after)

    def resume(self, token, offset, disconnect_after=None):
        """Resumes an answer that another host had started."""
        request = completions.CompletionRequest(
            "summary", PROMPT, TOKENS, True, None, "digest"
        )
        request_id = self.requests.new_request_id()
        events = self.pipeline.resume(
            request_id, CALLER, request, token, offset
        )
        return self.consume(request_id, events, disconnect_after)

    def consume(self, request_id, events, disconnect_after):
        def run():
            info = inflight.RequestInfo(request_id, "a", "k1")
            self.handle = self.requests.open(info)
            self.read(events, disconnect_after)
            self.requests.close(self.handle)

        gevent.spawn(run).get(timeout=WAIT_SECONDS)
        assert self.pipeline.background.join(WAIT_SECONDS)
        return self

    def read(self, events, disconnect_after):
        try:
            for event in events:
                self.events.append(event)
                if len(self.tokens()) == disconnect_after:
                    self.disconnected = True
                    events.close()
                    return
        except errors.RefusedError as error:
            self.error = error

    def tokens(self):
        return [
            event
            for event in self.events
            if isinstance(event, completions.Tokens)
        ]

    def restarted(self):
        return any(
            isinstance(event, completions.Restarted) for event in self.events
        )

    def finished(self):
        return any(
            isinstance(event, completions.Finished) for event in self.events
        )

    def charged_tokens(self):
        """Returns the number of tokens that must be charged for the request."""
        if not self.engines.sent:
            return 0
        if self.disconnected:
            return PROMPT_TOKENS + TOKENS
        return PROMPT_TOKENS + len(self.tokens())

    def check(self):
        """Checks the recorded events and the state against the invariants."""
        assert self.fault_plan.violations == []
        assert self.engines.held_memory == {}
        assert self.engines.open_streams == 0
        text = "".join(event.text for event in self.tokens())
        offsets = [event.next_offset for event in self.tokens()]
        assert offsets == list(range(1, len(offsets) + 1))
        assert text == engines.expected_text(0, len(offsets))
        assert not self.finished() or len(offsets) == TOKENS
        assert (
            self.finished() + (self.error is not None) + self.disconnected == 1
        )
        if self.engines.sent and self.error is not None:
            execution = self.error.code.execution
            assert execution is not results.Execution.NOT_RUN
        expected = [(1, self.charged_tokens())] if self.limiter.reserved else []
        assert self.limiter.settled == expected
        attempt_ends = self.scheduler.count_attempt_ends()
        assert attempt_ends == dict.fromkeys(self.scheduler.assigned, 1)
        assert self.requests.handles == {}


def fault_case(step, fault, invariant, fails_without):
    marker = pytest.mark.matrix(
        invariant=invariant, fault=fault, step=step, fails_without=fails_without
    )
    return pytest.param(step, fault, marks=marker, id=f"{step}-{fault}")


RECOVERED_CASES = [
    fault_case(
        "prefill", "connect refused", 6, "replacement of failed attempts"
    ),
    fault_case("prefill", "out-of-memory", 5, "replacement of failed attempts"),
    fault_case(
        "prefill", "duplicate-attempt", 5, "replacement of failed attempts"
    ),
    fault_case("prefill", "wrong-role", 5, "replacement of failed attempts"),
    fault_case("prefill", "cancelled", 5, "replacement of failed attempts"),
    fault_case("prefill", "crashed", 5, "replacement of failed attempts"),
    fault_case("prefill", "silence", 1, "StaleEngines.release"),
    fault_case("prefill", "ends early", 1, "StaleEngines.release"),
    fault_case("prefill", "crash", 5, "exclusion of failed engines"),
    fault_case(
        "schedule", "pause, p1 leaves", 8, "refusal of denied placements"
    ),
    fault_case(
        "schedule", "pause, d1 leaves", 8, "refusal of denied placements"
    ),
    fault_case("guard", "register loses d1", 5, "refusal of denied placements"),
    fault_case(
        "prefilled", "pause, d1 leaves", 8, "dispatch guard before decode"
    ),
    fault_case(
        "prefilled",
        "register loses d1",
        1,
        "engines kept by CompletionRun.placed_engines",
    ),
    fault_case(
        "transfer", "connect refused", 1, "replacement of failed attempts"
    ),
    fault_case(
        "transfer", "export-expired", 1, "replacement of failed attempts"
    ),
    fault_case(
        "transfer", "out-of-memory", 1, "replacement of failed attempts"
    ),
    fault_case("transfer", "superseded", 5, "replacement of failed attempts"),
    fault_case("transfer", "silence", 1, "StaleEngines.release"),
    fault_case("transfer", "crash", 1, "exclusion of failed engines"),
    fault_case("first token", "silence", 1, "StaleEngines.release"),
    fault_case("first token", "ends early", 1, "StaleEngines.release"),
    fault_case("first token", "crashed", 5, "replacement of failed attempts"),
    fault_case("first token", "crash", 5, "exclusion of failed engines"),
    fault_case(
        "first token",
        "other request",
        5,
        "identity check in AnswerText.is_new",
    ),
    fault_case(
        "first token",
        "other attempt",
        5,
        "identity check in AnswerText.is_new",
    ),
    fault_case(
        "first token", "missing", 5, "offset check in AnswerText.is_new"
    ),
    fault_case(
        "mid-stream", "silence", 5, "resume and replacement of stalled streams"
    ),
    fault_case(
        "mid-stream",
        "ends early",
        5,
        "resume and replacement of stalled streams",
    ),
    fault_case("mid-stream", "crashed", 5, "replacement of failed attempts"),
    fault_case("mid-stream", "crash", 5, "exclusion of failed engines"),
    fault_case("mid-stream", "cancelled", 5, "replacement of failed attempts"),
    fault_case(
        "mid-stream", "repeated", 2, "offset check in AnswerText.is_new"
    ),
    fault_case("mid-stream", "overlap", 2, "offset check in AnswerText.is_new"),
    fault_case("mid-stream", "missing", 5, "offset check in AnswerText.is_new"),
    fault_case(
        "mid-stream",
        "other request",
        5,
        "identity check in AnswerText.is_new",
    ),
    fault_case(
        "mid-stream",
        "other attempt",
        5,
        "identity check in AnswerText.is_new",
    ),
    fault_case(
        "last token", "silence", 5, "resume and replacement of stalled streams"
    ),
    fault_case("last token", "crash", 5, "exclusion of failed engines"),
    fault_case(
        "last token", "repeated", 2, "offset check in AnswerText.is_new"
    ),
    fault_case(
        "end mark",
        "silence",
        5,
        "resume and end of an answer without its end mark",
    ),
    fault_case(
        "end mark",
        "ends early",
        5,
        "resume and end of an answer without its end mark",
    ),
    fault_case("end mark", "crash", 5, "end of an answer without its end mark"),
]


@pytest.mark.parametrize(("step", "fault"), RECOVERED_CASES)
def test_answer_is_complete_despite_one_fault(step, fault):
    harness = Harness([(step, fault)]).run()

    harness.check()
    assert harness.finished()


ENDING_CASES = [
    fault_case("reserve", "caller cancels", 6, "RequestHandle.interrupt"),
    fault_case(
        "schedule", "caller cancels", 6, "unsent mark of refused connections"
    ),
    fault_case(
        "guard", "caller cancels", 1, "give-back on an interrupted guard"
    ),
    fault_case("prefill", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case("transfer", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case("first token", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case("mid-stream", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case("last token", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case("end mark", "caller cancels", 1, "CompletionRun.cancel"),
    fault_case(
        "schedule", "key withdrawn", 3, "unsent mark of refused connections"
    ),
    fault_case("prefill", "key withdrawn", 3, "CompletionRun.cancel"),
    fault_case("mid-stream", "key withdrawn", 3, "CompletionRun.cancel"),
    fault_case(
        "schedule",
        "pause, key withdrawn",
        3,
        "give-back on an interrupted guard",
    ),
    fault_case(
        "prefilled", "pause, key withdrawn", 3, "dispatch guard before decode"
    ),
]


@pytest.mark.parametrize(("step", "fault"), ENDING_CASES)
def test_cancelled_request_ends_with_its_result_code(step, fault):
    harness = Harness([(step, fault)]).run()

    harness.check()
    assert harness.error is not None
    assert harness.error.code in (
        results.CLIENT_CANCELLED,
        results.KEY_WITHDRAWN,
    )


def fault_sequence(invariant, fails_without, *faults):
    described = [f"{step}: {fault or 'none'}" for step, fault in faults]
    marker = pytest.mark.matrix(
        invariant=invariant,
        fault=", then ".join(described),
        step="any",
        fails_without=fails_without,
    )
    return pytest.param(faults, marks=marker, id="-".join(described))


FAULT_SEQUENCES = [
    fault_sequence(
        6,
        "unsent mark of refused connections",
        ("prefill", "connect refused"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    fault_sequence(
        1,
        "StaleEngines.release",
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    fault_sequence(
        1,
        "StaleEngines.release",
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "caller cancels"),
    ),
    fault_sequence(
        6,
        "CompletionRun.sent",
        ("mid-stream", "crash"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    fault_sequence(
        6,
        "CompletionRun.sent",
        ("mid-stream", "silence"),
        ("resume", "silence"),
    ),
    fault_sequence(
        6,
        "CompletionRun.sent",
        ("mid-stream", "silence"),
        ("resume", "unknown-request"),
    ),
    fault_sequence(
        6,
        "CompletionRun.sent",
        ("mid-stream", "crash"),
        ("first token", ""),
        ("first token", "crash"),
    ),
    fault_sequence(
        6,
        "CompletionRun.sent",
        ("transfer", "export-expired"),
        ("transfer", "export-expired"),
    ),
    fault_sequence(
        1,
        "CompletionRun.cancel",
        ("transfer", "export-expired"),
        ("mid-stream", "caller cancels"),
    ),
    fault_sequence(
        1,
        "CompletionRun.cancel",
        ("mid-stream", "silence"),
        ("resume", "caller cancels"),
    ),
    fault_sequence(
        1,
        "end of an answer without its end mark",
        ("end mark", "silence"),
        ("resume", "crash"),
    ),
    fault_sequence(
        1, "CANCEL_ATTEMPTS", ("prefill", "silence"), ("cancel", "silence")
    ),
    fault_sequence(
        1,
        "engines kept by CompletionRun.placed_engines",
        ("first token", "register loses d1"),
        ("mid-stream", "caller cancels"),
    ),
    fault_sequence(
        1,
        "CANCEL_ATTEMPTS",
        ("first token", "silence"),
        ("cancel", "silence"),
        ("cancel", "silence"),
    ),
]


@pytest.mark.parametrize("faults", FAULT_SEQUENCES)
def test_sequences_of_faults_keep_the_invariants(faults):
    Harness(faults).run().check()


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn",
    step="schedule again",
    fails_without="failures.EXTERNAL_END_CODES",
)
def test_key_withdrawal_during_a_replacement_keeps_its_code():
    faults = [
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "key withdrawn"),
    ]
    harness = Harness(faults).run()

    harness.check()
    assert harness.error.code == results.KEY_WITHDRAWN


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="mid-stream",
    fails_without="CompletionRun.can_resume",
)
def test_silent_stream_is_resumed_without_another_prefill():
    harness = Harness([("mid-stream", "silence")] * 2).run()

    harness.check()
    assert harness.finished()
    assert len(harness.scheduler.assigned) == 1


@pytest.mark.matrix(
    invariant=6,
    fault="connect refused everywhere",
    step="prefill",
    fails_without="unsent mark of refused connections",
)
def test_request_is_not_run_if_no_engine_accepts_a_connection():
    harness = Harness([("prefill", "connect refused")] * 9).run()

    harness.check()
    assert harness.error.code == results.UPSTREAM_CONNECT_FAILED


def disconnect_case(stream, fails_without):
    marker = pytest.mark.matrix(
        invariant=1,
        fault="caller disconnects",
        step="mid-stream",
        fails_without=fails_without,
    )
    return pytest.param(stream, marks=marker)


@pytest.mark.parametrize(
    "stream",
    [
        disconnect_case(True, "CompletionPipeline.cancel_later_unless_resumed"),
        disconnect_case(False, "CompletionRun.cancel"),
    ],
)
def test_engine_memory_is_freed_after_the_caller_disconnects(stream):
    harness = Harness().run(stream=stream, disconnect_after=2)

    assert harness.engines.held_memory == {}
    assert harness.engines.open_streams == 0
    assert harness.limiter.settled == [
        (1, PROMPT_TOKENS + (TOKENS if stream else 2))
    ]


@pytest.mark.matrix(
    invariant=1,
    fault="caller disconnects after a replacement on the same engine",
    step="mid-stream",
    fails_without="StaleEngines.forget of a placement left for resume",
)
def test_answer_kept_for_resume_is_not_cancelled_before_its_grace_period():
    harness = Harness([("transfer", "export-expired")], pairs=[("p1", "d1")])
    cancelled_at = []
    cancel = harness.engines.cancel

    def record_time(address, request_id):
        cancelled_at.append(harness.clock.monotonic())
        cancel(address, request_id)

    harness.engines.cancel = record_time
    started_at = harness.clock.monotonic()
    harness.run(disconnect_after=2)

    harness.check()
    grace = completion_pipeline.RESUME_GRACE.total_seconds()
    assert cancelled_at == [started_at + grace]


@pytest.mark.matrix(
    invariant=1,
    fault="slow cancellation",
    step="mid-stream",
    fails_without="exclusion of engines being cancelled",
)
def test_engine_with_a_cancellation_in_progress_gets_no_new_attempt():
    pairs = [("p1", "d1"), ("p2", "d2")]
    harness = Harness(
        [
            ("transfer", "export-expired"),
            ("schedule", ""),
            ("prefill", ""),
            ("prefill", "silence"),
        ],
        pairs=pairs,
    )
    release = gevent.event.Event()
    cancel = harness.engines.cancel

    def cancel_slowly(address, request_id):
        release.wait(WAIT_SECONDS)
        cancel(address, request_id)

    harness.engines.cancel = cancel_slowly
    schedule = harness.scheduler.schedule

    def schedule_on_rotated_pairs(service, item):
        if item.attempt == 2:
            harness.scheduler.pairs = pairs[::-1]
        if item.attempt == 3:
            assert {"p1", "d1"} <= item.excluded
            release.set()
        return schedule(service, item)

    harness.scheduler.schedule = schedule_on_rotated_pairs
    harness.run()

    harness.check()


def resume_case(step, fault, fails_without, disconnect_after=None):
    marker = pytest.mark.matrix(
        invariant=1,
        fault=fault or "caller disconnects",
        step=f"resume after a lost host, {step}",
        fails_without=fails_without,
    )
    return pytest.param(step, fault, disconnect_after, marks=marker)


RESUME_CANCEL = "cancellation of a replaced or ended resume"
RESUME_CASES = [
    resume_case("resume", "silence", RESUME_CANCEL),
    resume_case("mid-stream", "silence", "resume of a stalled attach"),
    resume_case("mid-stream", "missing", "completion_pipeline.check_event"),
    resume_case(
        "mid-stream", "other request", "completion_pipeline.check_event"
    ),
    resume_case("mid-stream", "caller cancels", RESUME_CANCEL),
    resume_case(
        "mid-stream", "", "CompletionPipeline.cancel_later_unless_resumed", 4
    ),
]


@pytest.mark.parametrize(("step", "fault", "disconnect_after"), RESUME_CASES)
def test_engine_memory_is_freed_after_a_resumed_answer(
    step, fault, disconnect_after
):
    harness = Harness()
    harness.pipeline.cancel_later_unless_resumed = lambda *_: None
    harness.run(disconnect_after=2)
    assert harness.engines.held_memory
    del harness.pipeline.cancel_later_unless_resumed
    token = harness.events[0].resume_token
    skipped_faults = [""] if step == "mid-stream" else []
    harness.fault_plan.faults[step].extend([*skipped_faults, fault])

    harness.resume(token, offset=2, disconnect_after=disconnect_after)

    assert harness.engines.held_memory == {}
    assert harness.engines.open_streams == 0
    if fault not in ("", "caller cancels"):
        assert harness.finished()
        assert harness.restarted() == (step == "resume")
        text = "".join(event.text for event in harness.tokens()[-TOKENS:])
        assert text == engines.expected_text(0, TOKENS)


FAULTS = strategies.tuples(
    strategies.sampled_from(
        [
            "schedule",
            "guard",
            "prefill",
            "prefilled",
            "transfer",
            "first token",
            "mid-stream",
            "last token",
            "end mark",
            "resume",
        ]
    ),
    strategies.sampled_from(
        [
            "",
            "",
            "connect refused",
            "silence",
            "ends early",
            "crash",
            "crashed",
            "export-expired",
            "unknown-request",
            "out-of-memory",
            "superseded",
            "repeated",
            "missing",
            "overlap",
            "other request",
            "other attempt",
            "refused",
            "caller cancels",
            "pause, key withdrawn",
            "pause, p1 leaves",
            "pause, d1 leaves",
            "register loses d1",
        ]
    ),
)


@pytest.mark.matrix(
    invariant=1,
    fault="random schedules of faults",
    step="any",
    fails_without="completions.closing",
)
@settings(max_examples=300)
@given(
    faults=strategies.lists(FAULTS, max_size=12),
    disconnect_after=strategies.sampled_from([None, None, None, 1, 3, TOKENS]),
)
def test_random_faults_keep_the_invariants(faults, disconnect_after):
    Harness(faults).run(disconnect_after=disconnect_after).check()
