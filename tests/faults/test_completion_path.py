"""Guards the completion path: memory left behind, tokens twice or lost.

Every run has faults at chosen steps; `check` compares its whole history with
invariants 1, 2, 3, 5, 6 and 8 and with the accounting of tokens.
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
NAMES = sorted({name for pair in PAIRS for name in pair})


class World:
    """One entry host and the run of one request."""

    def __init__(self, faults=(), pairs=PAIRS):
        self.clock = clocks.ManualClock()
        self.script = engines.Script(faults)
        self.upstreams = {
            name: pools.make_upstream(
                name, "prefill" if name[0] == "p" else "decode", number
            )
            for number, name in enumerate(NAMES)
        }
        self.configuration = engines.ScriptedConfiguration(
            self.script,
            pools.make_register(
                self.upstreams.values(), resume_secret="aa" * 32
            ),
        )
        self.engines = engines.ScriptedEngines(self.script, PROMPT)
        self.engines.check_dispatch = self.check_dispatch
        self.scheduler = engines.ScriptedScheduler(self.script, pairs)
        self.limiter = engines.RecordingLimiter(self.script)
        self.requests = inflight.InflightRequests("gw", 1, self.clock)
        self.pipeline = completion_pipeline.CompletionPipeline(
            self.clock,
            lambda: self.configuration.register,
            lambda: routes.RouteTable(self.configuration.register),
            self.limiter,
            self.scheduler,
            self.engines,
            dispatch_guard.DispatchGuard(
                self.configuration, engines.ScriptedHostList(self.configuration)
            ),
            reachability.Reachability(self.clock),
            budget.RetryBudget(self.clock, 0.2),
            metrics.NullMetrics(),
            "gw/1",
        )
        self.handle = None
        self.events = []
        self.error = None
        self.left = False
        self.configuration.on_withdrawal = lambda: self.end(
            results.KEY_WITHDRAWN
        )
        self.script.actions = {
            "caller cancels": lambda: self.end(results.CLIENT_CANCELLED),
            "key withdrawn": lambda: self.end(results.KEY_WITHDRAWN),
            "pause, key withdrawn": self.withdraw,
            "pause, p1 leaves": lambda: self.leave("p1"),
            "pause, d1 leaves": lambda: self.leave("d1"),
            "register loses d1": lambda: self.lose("d1"),
        }

    def end(self, code):
        if self.handle is not None:
            self.handle.end(code)

    def withdraw(self):
        self.configuration.withdrawn = True

    def leave(self, name):
        address = self.upstreams[name].address
        self.configuration.coming_leaving.add(address)

    def lose(self, name):
        register = self.configuration.register
        left = dict(register.upstreams)
        left.pop(name, None)
        self.configuration.register = register._replace(upstreams=left)

    def check_dispatch(self, address):
        if address in self.configuration.coming_leaving:
            self.script.violations.append("work for a leaving engine")
        if self.configuration.withdrawn:
            self.script.violations.append("work for a withdrawn key")

    def run(self, stream=True, leave_after=None):
        """Runs a request to its end and waits for all that it left behind."""
        request = completions.CompletionRequest(
            "summary", PROMPT, TOKENS, stream, None, "digest"
        )
        request_id = self.requests.new_request_id()
        events = self.pipeline.run(request_id, CALLER, request)
        return self.serve(request_id, events, leave_after)

    def resume(self, token, offset, leave_after=None):
        """Resumes the answer of a host that is gone."""
        request = completions.CompletionRequest(
            "summary", PROMPT, TOKENS, True, None, "digest"
        )
        request_id = self.requests.new_request_id()
        events = self.pipeline.resume(
            request_id, CALLER, request, token, offset
        )
        return self.serve(request_id, events, leave_after)

    def serve(self, request_id, events, leave_after):
        def run():
            info = inflight.RequestInfo(request_id, "a", "k1")
            self.handle = self.requests.open(info)
            self.read(events, leave_after)
            self.requests.close(self.handle)

        gevent.spawn(run).get(timeout=WAIT_SECONDS)
        assert self.pipeline.background.join(WAIT_SECONDS)
        return self

    def read(self, events, leave_after):
        try:
            for event in events:
                self.events.append(event)
                if len(self.tokens()) == leave_after:
                    self.left = True
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

    def used(self):
        """Returns the tokens that the request has to be charged."""
        if not self.engines.sent:
            return 0
        if self.left:
            return PROMPT_TOKENS + TOKENS
        return PROMPT_TOKENS + len(self.tokens())

    def check(self):
        """Compares the history with the invariants."""
        assert self.script.violations == []
        assert self.engines.held == {}
        assert self.engines.open_streams == 0
        text = "".join(event.text for event in self.tokens())
        offsets = [event.next_offset for event in self.tokens()]
        assert offsets == list(range(1, len(offsets) + 1))
        assert text == engines.text_at(0, len(offsets))
        assert not self.finished() or len(offsets) == TOKENS
        assert self.finished() + (self.error is not None) + self.left == 1
        if self.engines.sent and self.error is not None:
            execution = self.error.code.execution
            assert execution is not results.Execution.NOT_RUN
        expected = [(1, self.used())] if self.limiter.reserved else []
        assert self.limiter.settled == expected
        ends = self.scheduler.endings()
        assert ends == dict.fromkeys(self.scheduler.assigned, 1)
        assert self.requests.handles == {}


def row(step, fault, invariant, seen_red):
    marker = pytest.mark.matrix(
        invariant=invariant, fault=fault, step=step, seen_red=seen_red
    )
    return pytest.param(step, fault, marks=marker, id=f"{step}-{fault}")


SURVIVED = [
    row("prefill", "connect refused", 6, "replacement of failed attempts"),
    row("prefill", "out-of-memory", 5, "replacement of failed attempts"),
    row("prefill", "duplicate-attempt", 5, "replacement of failed attempts"),
    row("prefill", "wrong-role", 5, "replacement of failed attempts"),
    row("prefill", "cancelled", 5, "replacement of failed attempts"),
    row("prefill", "crashed", 5, "replacement of failed attempts"),
    row("prefill", "silence", 1, "StaleEngines.release"),
    row("prefill", "ends early", 1, "StaleEngines.release"),
    row("prefill", "crash", 5, "exclusion of failed engines"),
    row("schedule", "pause, p1 leaves", 8, "refusal of denied placements"),
    row("schedule", "pause, d1 leaves", 8, "refusal of denied placements"),
    row("guard", "register loses d1", 5, "refusal of denied placements"),
    row("prefilled", "pause, d1 leaves", 8, "dispatch guard before decode"),
    row(
        "prefilled",
        "register loses d1",
        1,
        "engines kept by CompletionRun.placed_engines",
    ),
    row("transfer", "connect refused", 1, "replacement of failed attempts"),
    row("transfer", "export-expired", 1, "replacement of failed attempts"),
    row("transfer", "out-of-memory", 1, "replacement of failed attempts"),
    row("transfer", "superseded", 5, "replacement of failed attempts"),
    row("transfer", "silence", 1, "StaleEngines.release"),
    row("transfer", "crash", 1, "exclusion of failed engines"),
    row("first token", "silence", 1, "StaleEngines.release"),
    row("first token", "ends early", 1, "StaleEngines.release"),
    row("first token", "crashed", 5, "replacement of failed attempts"),
    row("first token", "crash", 5, "exclusion of failed engines"),
    row(
        "first token",
        "other request",
        5,
        "identity check in AnswerText.is_new",
    ),
    row(
        "first token",
        "other attempt",
        5,
        "identity check in AnswerText.is_new",
    ),
    row("first token", "missing", 5, "offset check in AnswerText.is_new"),
    row(
        "mid-stream", "silence", 5, "resume and replacement of stalled streams"
    ),
    row(
        "mid-stream",
        "ends early",
        5,
        "resume and replacement of stalled streams",
    ),
    row("mid-stream", "crashed", 5, "replacement of failed attempts"),
    row("mid-stream", "crash", 5, "exclusion of failed engines"),
    row("mid-stream", "cancelled", 5, "replacement of failed attempts"),
    row("mid-stream", "repeated", 2, "offset check in AnswerText.is_new"),
    row("mid-stream", "overlap", 2, "offset check in AnswerText.is_new"),
    row("mid-stream", "missing", 5, "offset check in AnswerText.is_new"),
    row(
        "mid-stream",
        "other request",
        5,
        "identity check in AnswerText.is_new",
    ),
    row(
        "mid-stream",
        "other attempt",
        5,
        "identity check in AnswerText.is_new",
    ),
    row(
        "last token", "silence", 5, "resume and replacement of stalled streams"
    ),
    row("last token", "crash", 5, "exclusion of failed engines"),
    row("last token", "repeated", 2, "offset check in AnswerText.is_new"),
    row(
        "end mark",
        "silence",
        5,
        "resume and end of an answer without its end mark",
    ),
    row(
        "end mark",
        "ends early",
        5,
        "resume and end of an answer without its end mark",
    ),
    row("end mark", "crash", 5, "end of an answer without its end mark"),
]


@pytest.mark.parametrize(("step", "fault"), SURVIVED)
def test_one_fault_never_costs_the_answer(step, fault):
    world = World([(step, fault)]).run()

    world.check()
    assert world.finished()


ENDED = [
    row("reserve", "caller cancels", 6, "RequestHandle.interrupt"),
    row("schedule", "caller cancels", 6, "unsent mark of refused connections"),
    row("guard", "caller cancels", 1, "give-back on an interrupted guard"),
    row("prefill", "caller cancels", 1, "CompletionRun.cancel"),
    row("transfer", "caller cancels", 1, "CompletionRun.cancel"),
    row("first token", "caller cancels", 1, "CompletionRun.cancel"),
    row("mid-stream", "caller cancels", 1, "CompletionRun.cancel"),
    row("last token", "caller cancels", 1, "CompletionRun.cancel"),
    row("end mark", "caller cancels", 1, "CompletionRun.cancel"),
    row("schedule", "key withdrawn", 3, "unsent mark of refused connections"),
    row("prefill", "key withdrawn", 3, "CompletionRun.cancel"),
    row("mid-stream", "key withdrawn", 3, "CompletionRun.cancel"),
    row(
        "schedule",
        "pause, key withdrawn",
        3,
        "give-back on an interrupted guard",
    ),
    row("prefilled", "pause, key withdrawn", 3, "dispatch guard before decode"),
]


@pytest.mark.parametrize(("step", "fault"), ENDED)
def test_ended_request_stops_with_its_code(step, fault):
    world = World([(step, fault)]).run()

    world.check()
    assert world.error is not None
    assert world.error.code in (results.CLIENT_CANCELLED, results.KEY_WITHDRAWN)


def several(invariant, seen_red, *faults):
    shown = [f"{step}: {fault or 'none'}" for step, fault in faults]
    marker = pytest.mark.matrix(
        invariant=invariant,
        fault=", then ".join(shown),
        step="any",
        seen_red=seen_red,
    )
    return pytest.param(faults, marks=marker, id="-".join(shown))


PAIRS_OF_FAULTS = [
    several(
        6,
        "unsent mark of refused connections",
        ("prefill", "connect refused"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    several(
        1,
        "StaleEngines.release",
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    several(
        1,
        "StaleEngines.release",
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "caller cancels"),
    ),
    several(
        6,
        "CompletionRun.sent",
        ("mid-stream", "crash"),
        ("schedule", ""),
        ("schedule", "refused"),
    ),
    several(
        6,
        "CompletionRun.sent",
        ("mid-stream", "silence"),
        ("resume", "silence"),
    ),
    several(
        6,
        "CompletionRun.sent",
        ("mid-stream", "silence"),
        ("resume", "unknown-request"),
    ),
    several(
        6,
        "CompletionRun.sent",
        ("mid-stream", "crash"),
        ("first token", ""),
        ("first token", "crash"),
    ),
    several(
        6,
        "CompletionRun.sent",
        ("transfer", "export-expired"),
        ("transfer", "export-expired"),
    ),
    several(
        1,
        "CompletionRun.cancel",
        ("transfer", "export-expired"),
        ("mid-stream", "caller cancels"),
    ),
    several(
        1,
        "CompletionRun.cancel",
        ("mid-stream", "silence"),
        ("resume", "caller cancels"),
    ),
    several(
        1,
        "end of an answer without its end mark",
        ("end mark", "silence"),
        ("resume", "crash"),
    ),
    several(
        1, "CANCEL_ATTEMPTS", ("prefill", "silence"), ("cancel", "silence")
    ),
    several(
        1,
        "engines kept by CompletionRun.placed_engines",
        ("first token", "register loses d1"),
        ("mid-stream", "caller cancels"),
    ),
    several(
        1,
        "CANCEL_ATTEMPTS",
        ("first token", "silence"),
        ("cancel", "silence"),
        ("cancel", "silence"),
    ),
]


@pytest.mark.parametrize("faults", PAIRS_OF_FAULTS)
def test_pairs_of_faults_keep_the_invariants(faults):
    World(faults).run().check()


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn",
    step="schedule again",
    seen_red="failures.EXTERNAL_END_CODES",
)
def test_end_during_a_replacement_keeps_its_code():
    faults = [
        ("prefill", "silence"),
        ("schedule", ""),
        ("schedule", "key withdrawn"),
    ]
    world = World(faults).run()

    world.check()
    assert world.error.code == results.KEY_WITHDRAWN


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="mid-stream",
    seen_red="CompletionRun.can_resume",
)
def test_silent_stream_is_resumed_without_another_prefill():
    world = World([("mid-stream", "silence")] * 2).run()

    world.check()
    assert world.finished()
    assert len(world.scheduler.assigned) == 1


@pytest.mark.matrix(
    invariant=6,
    fault="connect refused everywhere",
    step="prefill",
    seen_red="unsent mark of refused connections",
)
def test_not_run_is_said_when_no_engine_accepted_a_connection():
    world = World([("prefill", "connect refused")] * 9).run()

    world.check()
    assert world.error.code == results.UPSTREAM_CONNECT_FAILED


def caller_leaves(stream, seen_red):
    marker = pytest.mark.matrix(
        invariant=1,
        fault="caller leaves",
        step="mid-stream",
        seen_red=seen_red,
    )
    return pytest.param(stream, marks=marker)


@pytest.mark.parametrize(
    "stream",
    [
        caller_leaves(True, "CompletionPipeline.cancel_later_unless_resumed"),
        caller_leaves(False, "CompletionRun.cancel"),
    ],
)
def test_caller_that_leaves_frees_the_engine(stream):
    world = World().run(stream=stream, leave_after=2)

    assert world.engines.held == {}
    assert world.engines.open_streams == 0
    assert world.limiter.settled == [
        (1, PROMPT_TOKENS + (TOKENS if stream else 2))
    ]


@pytest.mark.matrix(
    invariant=1,
    fault="caller leaves after a replacement on the same engine",
    step="mid-stream",
    seen_red="StaleEngines.forget of a placement left for resume",
)
def test_answer_left_for_resume_is_not_cancelled_as_a_leftover():
    world = World([("transfer", "export-expired")], pairs=[("p1", "d1")])
    cancelled_at = []
    cancel = world.engines.cancel

    def record(address, request_id):
        cancelled_at.append(world.clock.monotonic())
        cancel(address, request_id)

    world.engines.cancel = record
    started_at = world.clock.monotonic()
    world.run(leave_after=2)

    world.check()
    grace = completion_pipeline.RESUME_GRACE.total_seconds()
    assert cancelled_at == [started_at + grace]


@pytest.mark.matrix(
    invariant=1,
    fault="slow cancellation",
    step="mid-stream",
    seen_red="exclusion of engines being cancelled",
)
def test_engine_with_a_cancellation_under_way_gets_no_new_attempt():
    pairs = [("p1", "d1"), ("p2", "d2")]
    world = World(
        [
            ("transfer", "export-expired"),
            ("schedule", ""),
            ("prefill", ""),
            ("prefill", "silence"),
        ],
        pairs=pairs,
    )
    release = gevent.event.Event()
    cancel = world.engines.cancel

    def slow(address, request_id):
        release.wait(WAIT_SECONDS)
        cancel(address, request_id)

    world.engines.cancel = slow
    schedule = world.scheduler.schedule

    def rotate(service, item):
        if item.attempt == 2:
            world.scheduler.pairs = pairs[::-1]
        if item.attempt == 3:
            assert {"p1", "d1"} <= item.excluded
            release.set()
        return schedule(service, item)

    world.scheduler.schedule = rotate
    world.run()

    world.check()


def resumed(step, fault, seen_red, leave_after=None):
    marker = pytest.mark.matrix(
        invariant=1,
        fault=fault or "caller leaves",
        step=f"resume after a lost host, {step}",
        seen_red=seen_red,
    )
    return pytest.param(step, fault, leave_after, marks=marker)


RESUME_CANCEL = "cancellation of a replaced or ended resume"
RESUMED = [
    resumed("resume", "silence", RESUME_CANCEL),
    resumed("mid-stream", "silence", "resume of a stalled attach"),
    resumed("mid-stream", "missing", "completion_pipeline.check_event"),
    resumed("mid-stream", "other request", "completion_pipeline.check_event"),
    resumed("mid-stream", "caller cancels", RESUME_CANCEL),
    resumed(
        "mid-stream", "", "CompletionPipeline.cancel_later_unless_resumed", 4
    ),
]


@pytest.mark.parametrize(("step", "fault", "leave_after"), RESUMED)
def test_resumed_answer_leaves_no_memory_behind(step, fault, leave_after):
    world = World()
    world.pipeline.cancel_later_unless_resumed = lambda *_: None
    world.run(leave_after=2)
    assert world.engines.held
    del world.pipeline.cancel_later_unless_resumed
    token = world.events[0].resume_token
    skipped = [""] if step == "mid-stream" else []
    world.script.faults[step].extend([*skipped, fault])

    world.resume(token, offset=2, leave_after=leave_after)

    assert world.engines.held == {}
    assert world.engines.open_streams == 0
    if fault not in ("", "caller cancels"):
        assert world.finished()
        assert world.restarted() == (step == "resume")
        text = "".join(event.text for event in world.tokens()[-TOKENS:])
        assert text == engines.text_at(0, TOKENS)


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
    seen_red="completions.closing",
)
@settings(max_examples=300)
@given(
    faults=strategies.lists(FAULTS, max_size=12),
    leave_after=strategies.sampled_from([None, None, None, 1, 3, TOKENS]),
)
def test_random_faults_keep_the_invariants(faults, leave_after):
    World(faults).run(leave_after=leave_after).check()
