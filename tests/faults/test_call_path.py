"""Guards plain calls: run twice, "not run" untrue, sent to the wrong place.

The claim store is the real one on in-memory tables; instances count what they
run.
"""

from __future__ import annotations

import datetime
import random

import gevent
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import routes
from coltsfootarch.gateway import call_pipeline
from coltsfootarch.gateway import dispatch_guard
from coltsfootarch.gateway import inflight
from coltsfootarch.idempotency import claims
from coltsfootarch.observability import metrics
from coltsfootarch.retries import budget
from coltsfootarch.scheduling import plain_balancer
from coltsfootarch.upstreams import plain_client
from tests.fakes import engines
from tests.fakes import objects
from tests.fakes import pools
from tests.fakes import tables

ANSWER = plain_client.PlainResponse(200, (("X-Booking", "b-1"),), b"booked")
BUSY = plain_client.PlainResponse(503, (), b"busy")
WAIT_SECONDS = 10
NAMES = ("i1", "i2", "i3")


class Connection:
    """Connection to an instance; `send` runs a request unless a fault says."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.open = True

    def send(self, _request, _timeout):
        world = self.world
        world.check_send(self.address)
        world.sent += 1
        fault = world.script.at("send")
        if fault == "breaks":
            raise errors.UpstreamError("connection reset")
        if fault == "unavailable":
            return BUSY
        world.runs += 1
        fault = world.script.at("answer")
        if fault == "timeout":
            raise errors.UpstreamTimeoutError("no answer in time")
        if fault == "breaks":
            raise errors.UpstreamError("connection reset")
        return ANSWER

    def close(self):
        self.world.connections -= self.open
        self.open = False


class StepTables(tables.FakeTableClient):
    """Tables whose transactions are steps of the script."""

    def __init__(self, world, shared):
        super().__init__(shared)
        self.world = world

    def transact(self, checks, writes):
        done = b"booked" in (writes[0].value or b"")
        step = "record" if done else "claim"
        fault = self.world.script.at(step)
        if fault == "store down":
            raise errors.TableUnavailableError("down")
        written = super().transact(checks, writes)
        if fault == "answer lost":
            raise errors.TableOutcomeUnknownError("lost")
        self.world.script.at(f"{step} written")
        return written

    def get(self, table, key):
        if self.world.script.at("read") == "store down":
            raise errors.TableUnavailableError("down")
        return super().get(table, key)


class Host:
    """One entry host's pipeline."""

    def __init__(self, world, name):
        self.world = world
        self.claim_store = claims.ClaimStore(
            StepTables(world, world.tables),
            world.objects,
            world.clock,
            name,
            1,
            lambda _host, _incarnation: True,
        )
        self.balancer = plain_balancer.PlainBalancer(
            world.clock,
            lambda: world.configuration.register,
            generator=random.Random(1),
        )
        self.requests = inflight.InflightRequests(name, 1, world.clock)
        self.pipeline = call_pipeline.CallPipeline(
            world.clock,
            lambda: world.configuration.register,
            self.balancer,
            world,
            dispatch_guard.DispatchGuard(
                world.configuration,
                engines.ScriptedHostList(world.configuration),
            ),
            self.claim_store,
            budget.RetryBudget(world.clock, 0.2),
            lambda _attempt: datetime.timedelta(milliseconds=10),
            metrics.NullMetrics(),
        )


class World:
    """Two hosts and three instances; also the connector of both hosts."""

    def __init__(self, faults=()):
        self.clock = clocks.ManualClock()
        self.script = engines.Script(faults)
        self.tables = tables.FakeTables()
        self.objects = objects.FakeObjects()
        self.upstreams = {
            name: pools.make_upstream(name, "plain", number)
            for number, name in enumerate(NAMES)
        }
        self.configuration = engines.ScriptedConfiguration(
            self.script, pools.make_register(self.upstreams.values())
        )
        self.configuration.on_withdrawal = lambda: self.end(
            results.KEY_WITHDRAWN
        )
        self.hosts = [Host(self, "gw-a"), Host(self, "gw-b")]
        self.runs = 0
        self.sent = 0
        self.connections = 0
        self.connected = ""
        self.handle = None
        self.script.actions = {
            "caller cancels": lambda: self.end(results.CLIENT_CANCELLED),
            "pause, key withdrawn": self.withdraw,
            "pause, instance leaves": self.leave,
            "pause, all leave": self.leave_all,
        }

    def connect(self, address, _timeout):
        self.connected = address
        fault = self.script.at("connect")
        if fault == "connect refused":
            raise errors.UpstreamConnectError("refused")
        self.connections += 1
        return Connection(self, address)

    def end(self, code):
        if self.handle is not None:
            self.handle.end(code)

    def withdraw(self):
        self.configuration.withdrawn = True

    def leave(self):
        self.configuration.coming_leaving.add(self.connected)

    def leave_all(self):
        self.configuration.coming_leaving.update(
            upstream.address for upstream in self.upstreams.values()
        )

    def check_send(self, address):
        if address in self.configuration.coming_leaving:
            self.script.violations.append("call sent to a leaving instance")
        if self.configuration.withdrawn:
            self.script.violations.append("call sent for a withdrawn key")

    def call(self, host=0, key="7f0c", idempotent=False):
        """Runs one call; returns its answer or the refusal."""
        route = routes.Route(
            pools.PLAIN, "/book", idempotent, False, 3 if idempotent else 1
        )
        request = plain_client.PlainRequest("POST", "/book", (), b"{}")
        entry = self.hosts[host]
        request_id = entry.requests.new_request_id()
        call = call_pipeline.Call(request_id, "a", route, request, key)
        sent_before = self.sent

        def serve():
            info = inflight.RequestInfo(request_id, "a", "k1")
            self.handle = entry.requests.open(info)
            try:
                return entry.pipeline.run(call)
            except errors.RefusedError as error:
                return error
            finally:
                entry.requests.close(self.handle)

        result = gevent.spawn(serve).get(timeout=WAIT_SECONDS)
        self.check(result, sent_before)
        return result

    def check(self, result, sent_before):
        """Compares a finished call with the invariants."""
        assert self.script.violations == []
        assert self.connections == 0
        for host in self.hosts:
            assert host.balancer.in_flight == {}
        if isinstance(result, errors.RefusedError):
            if self.sent > sent_before:
                execution = result.code.execution
                assert execution is not results.Execution.NOT_RUN
        else:
            assert result.response in (ANSWER, BUSY)

    def tick(self):
        """Lets the background work of all hosts run for a while."""
        for _ in range(4):
            self.clock.advance(datetime.timedelta(seconds=40))
            for host in self.hosts:
                host.claim_store.tick()


def row(step, fault, invariant, code, seen_red, repeat=""):
    marker = pytest.mark.matrix(
        invariant=invariant, fault=fault, step=step, seen_red=seen_red
    )
    values = (step, fault, code, repeat) if repeat else (step, fault, code)
    return pytest.param(*values, marks=marker, id=f"{step}-{fault}")


RUN = "run now"
REPLAYED = "replayed"
UNKNOWN = "in progress"
CANCELLED = results.CLIENT_CANCELLED
WITHDRAWN = results.KEY_WITHDRAWN
ONCE = [
    row(
        "connect",
        "connect refused",
        6,
        None,
        "connection attempts on other instances",
        REPLAYED,
    ),
    row(
        "connect",
        "caller cancels",
        6,
        CANCELLED,
        "RequestHandle.interrupt",
        RUN,
    ),
    row(
        "claim",
        "store down",
        6,
        results.CLAIM_UNAVAILABLE,
        "ClaimStore.claim",
        RUN,
    ),
    row("claim", "answer lost", 7, None, "ClaimStore.record", REPLAYED),
    row(
        "claim", "caller cancels", 7, CANCELLED, "RequestHandle.interrupt", RUN
    ),
    row(
        "claim written",
        "caller cancels",
        7,
        CANCELLED,
        "ClaimStore.abandon after an interrupted write",
        RUN,
    ),
    row(
        "claim written",
        "pause, key withdrawn",
        3,
        WITHDRAWN,
        "release of an unsent claim",
        RUN,
    ),
    row(
        "claim written",
        "pause, instance leaves",
        8,
        None,
        "other instances after a denied one",
        REPLAYED,
    ),
    row(
        "claim written",
        "pause, all leave",
        8,
        results.NO_UPSTREAM,
        "release of an unsent claim",
        RUN,
    ),
    row("send", "breaks", 7, results.UPSTREAM_FAILED, "may_have_run", UNKNOWN),
    row(
        "answer", "breaks", 7, results.UPSTREAM_FAILED, "may_have_run", UNKNOWN
    ),
    row(
        "answer",
        "timeout",
        7,
        results.UPSTREAM_TIMEOUT,
        "may_have_run",
        UNKNOWN,
    ),
    row(
        "answer", "caller cancels", 7, CANCELLED, "one send per claim", UNKNOWN
    ),
    row("record", "store down", 7, None, "ClaimStore.record_later", REPLAYED),
    row("record", "answer lost", 7, None, "ClaimStore.record", REPLAYED),
    row(
        "record",
        "caller cancels",
        7,
        CANCELLED,
        "ClaimStore.record_later",
        REPLAYED,
    ),
    row(
        "guard",
        "pause, key withdrawn",
        3,
        WITHDRAWN,
        "dispatch guard after the claim",
        RUN,
    ),
]


@pytest.mark.parametrize(("step", "fault", "code", "repeat"), ONCE)
def test_claimed_call_runs_at_most_once_and_its_repeat_is_answered(
    step, fault, code, repeat
):
    world = World([(step, fault)])

    first = world.call()
    world.tick()
    world.configuration.withdrawn = False
    world.configuration.coming_leaving.clear()
    second = world.call(host=1)

    assert code_of(first) == code
    assert world.runs <= 1
    if repeat == UNKNOWN:
        assert code_of(second) == results.IN_PROGRESS
    else:
        assert second.response == ANSWER
        assert second.replayed == (repeat == REPLAYED)


def code_of(result):
    return result.code if isinstance(result, errors.RefusedError) else None


@pytest.mark.matrix(
    invariant=6,
    fault="connect refused everywhere",
    step="connect",
    seen_red="connect before the claim",
)
def test_claim_is_not_taken_without_a_connection():
    world = World([("connect", "connect refused")] * 3)

    refusal = world.call()

    assert refusal.code == results.UPSTREAM_CONNECT_FAILED
    assert world.tables.rows == {}


FREE = [
    row("connect", "connect refused", 6, None, "CallPipeline.check_retry"),
    row("send", "breaks", 6, None, "CallPipeline.check_retry"),
    row("send", "unavailable", 6, None, "UNAVAILABLE_STATUSES"),
    row("answer", "timeout", 6, None, "CallPipeline.check_retry"),
    row(
        "connect",
        "pause, instance leaves",
        8,
        None,
        "other instances after a denied one",
    ),
    row(
        "guard",
        "pause, key withdrawn",
        3,
        results.KEY_WITHDRAWN,
        "wait of DispatchGuard for a pending end",
    ),
    row(
        "answer",
        "caller cancels",
        6,
        results.CLIENT_CANCELLED,
        "RequestHandle.interrupt",
    ),
]


@pytest.mark.parametrize(("step", "fault", "code"), FREE)
def test_idempotent_call_is_answered_in_spite_of_one_fault(step, fault, code):
    world = World([(step, fault)])

    result = world.call(key="", idempotent=True)

    if code is None:
        assert result.response == ANSWER
    else:
        assert result.code == code


@pytest.mark.matrix(
    invariant=6,
    fault="sent, then connect refused",
    step="connect",
    seen_red="call_pipeline.failure_to_report",
)
def test_call_that_was_sent_once_is_never_said_to_be_not_run():
    world = World(
        [
            ("send", "breaks"),
            ("connect", ""),
            ("connect", "connect refused"),
            ("connect", "connect refused"),
        ]
    )

    refusal = world.call(key="", idempotent=True)

    assert refusal.code == results.UPSTREAM_FAILED


@pytest.mark.matrix(
    invariant=6,
    fault="sent, then all leave",
    step="guard",
    seen_red="failure kept in run_idempotent",
)
def test_call_without_another_instance_keeps_its_first_failure():
    world = World(
        [("send", "breaks"), ("guard", ""), ("guard", "pause, all leave")]
    )

    refusal = world.call(key="", idempotent=True)

    assert refusal.code == results.UPSTREAM_FAILED


@pytest.mark.matrix(
    invariant=2,
    fault="retry budget spent",
    step="send",
    seen_red="RetryBudget.spend",
)
def test_retries_end_with_the_budget():
    world = World([("send", "unavailable")] * 99)
    codes = [world.call(key="", idempotent=True).code for _ in range(8)]

    assert codes[-1] == results.RETRY_BUDGET_SPENT
    assert world.sent <= 8 + 8 * 0.2 + 2


@pytest.mark.matrix(
    invariant=7,
    fault="instance fails often",
    step="send",
    seen_red="failed count of CallPipeline.send",
)
def test_failing_instance_is_ejected_by_claimed_calls_too():
    world = World([("answer", "timeout")] * 30)

    for number in range(9):
        world.call(key=f"k{number}")

    with pytest.raises(errors.RefusedError):
        world.hosts[0].balancer.choose("records")


STEPS = [
    "guard",
    "connect",
    "claim",
    "claim written",
    "read",
    "send",
    "answer",
    "record",
    "record written",
]
FAULTS = [
    "",
    "",
    "connect refused",
    "store down",
    "answer lost",
    "breaks",
    "timeout",
    "unavailable",
    "caller cancels",
    "pause, key withdrawn",
    "pause, instance leaves",
]


@pytest.mark.matrix(
    invariant=7,
    fault="random schedules of faults",
    step="any",
    seen_red="one send per claim",
)
@settings(max_examples=200)
@given(
    faults=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(STEPS), strategies.sampled_from(FAULTS)
        ),
        max_size=10,
    ),
    hosts=strategies.lists(strategies.integers(0, 1), min_size=1, max_size=4),
)
def test_random_faults_never_run_a_claimed_call_twice(faults, hosts):
    world = World(faults)

    for host in hosts:
        world.call(host=host)
        world.configuration.withdrawn = False
        world.tick()

    assert world.runs <= 1
    assert world.sent <= 1
