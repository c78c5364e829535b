"""Tests calls to plain services under faults.

They guard against a call that is executed twice, against "not run" for a call
that was sent, and against calls to leaving instances or with withdrawn keys.
The claim store is the real one, on in-memory tables. Instances count
executions.
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
from coltsfootarch.gateway import crashing_calls
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
INSTANCES = ("i1", "i2", "i3")


class Connection:
    """Connection to an instance that executes requests and injects faults."""

    def __init__(self, cluster, address):
        self.cluster = cluster
        self.address = address
        self.open = True

    def send(self, _request, _timeout):
        cluster = self.cluster
        cluster.check_send(self.address)
        cluster.sent += 1
        if cluster.crashes:
            raise errors.UpstreamError("connection reset")
        fault = cluster.fault_plan.next_fault("send")
        if fault == "breaks":
            raise errors.UpstreamError("connection reset")
        if fault == "unavailable":
            return BUSY
        cluster.executions += 1
        fault = cluster.fault_plan.next_fault("answer")
        if fault == "timeout":
            raise errors.UpstreamTimeoutError("no answer in time")
        if fault == "breaks":
            raise errors.UpstreamError("connection reset")
        return ANSWER

    def close(self):
        self.cluster.connections -= self.open
        self.open = False


class FaultyTableClient(tables.FakeTableClient):
    """Table client whose calls are steps of the fault plan."""

    def __init__(self, cluster, shared):
        super().__init__(shared)
        self.cluster = cluster

    def transact(self, checks, writes):
        is_record = b"booked" in (writes[0].value or b"")
        step = "record" if is_record else "claim"
        fault = self.cluster.fault_plan.next_fault(step)
        if fault == "store down":
            raise errors.TableUnavailableError("down")
        written = super().transact(checks, writes)
        if fault == "answer lost":
            raise errors.TableOutcomeUnknownError("lost")
        self.cluster.fault_plan.next_fault(f"{step} written")
        return written

    def get(self, table, key):
        if self.cluster.fault_plan.next_fault("read") == "store down":
            raise errors.TableUnavailableError("down")
        return super().get(table, key)


class Host:
    """Call pipeline of one entry host."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.claim_store = claims.ClaimStore(
            FaultyTableClient(cluster, cluster.tables),
            cluster.objects,
            cluster.clock,
            name,
            1,
            lambda _host, _incarnation: True,
        )
        self.balancer = plain_balancer.PlainBalancer(
            cluster.clock,
            lambda: cluster.configuration.register,
            generator=random.Random(1),
        )
        self.requests = inflight.InflightRequests(name, 1, cluster.clock)
        self.pipeline = call_pipeline.CallPipeline(
            cluster.clock,
            lambda: cluster.configuration.register,
            self.balancer,
            cluster,
            dispatch_guard.DispatchGuard(
                cluster.configuration,
                engines.FakeHostList(cluster.configuration),
            ),
            self.claim_store,
            budget.RetryBudget(cluster.clock, 0.2),
            lambda _attempt: datetime.timedelta(milliseconds=10),
            metrics.NullMetrics(),
        )


class Cluster:
    """Two entry hosts and three instances.

    It is also the connector of both hosts.

    Attributes:
        executions: Number of requests that instances executed.
        sent: Number of requests sent to instances.
        connections: Number of open connections.
        handle: Handle of the request in progress.
        crashes: Whether each request crashes the instance that runs it.
    """

    def __init__(self, faults=()):
        self.clock = clocks.ManualClock()
        self.fault_plan = engines.FaultPlan(faults)
        self.tables = tables.FakeTables()
        self.objects = objects.FakeObjects()
        self.upstreams = {
            name: pools.make_upstream(name, "plain", number)
            for number, name in enumerate(INSTANCES)
        }
        self.configuration = engines.FakeTracker(
            self.fault_plan, pools.make_register(self.upstreams.values())
        )
        self.configuration.on_withdrawal = lambda: self.end_request(
            results.KEY_WITHDRAWN
        )
        self.hosts = [Host(self, "gw-a"), Host(self, "gw-b")]
        self.executions = 0
        self.sent = 0
        self.connections = 0
        self.connected_address = ""
        self.handle = None
        self.crashes = False
        self.fault_plan.actions = {
            "caller cancels": lambda: self.end_request(
                results.CLIENT_CANCELLED
            ),
            "pause, key withdrawn": self.withdraw_key,
            "pause, instance leaves": self.start_leaving,
            "pause, all leave": self.start_leaving_all,
        }

    def connect(self, address, timeout):
        if timeout == crashing_calls.CHECK_TIMEOUT:
            return self.connect_to_check(address)
        self.connected_address = address
        fault = self.fault_plan.next_fault("connect")
        if fault == "connect refused":
            raise errors.UpstreamConnectError("refused")
        self.connections += 1
        return Connection(self, address)

    def connect_to_check(self, address):
        """Connects to find out whether an instance has crashed."""
        if self.crashes:
            raise errors.UpstreamConnectError("refused")
        self.connections += 1
        return Connection(self, address)

    def end_request(self, code):
        if self.handle is not None:
            self.handle.end(code)

    def withdraw_key(self):
        self.configuration.withdrawn = True

    def start_leaving(self):
        self.configuration.pending_leaving.add(self.connected_address)

    def start_leaving_all(self):
        self.configuration.pending_leaving.update(
            upstream.address for upstream in self.upstreams.values()
        )

    def check_send(self, address):
        if address in self.configuration.pending_leaving:
            self.fault_plan.violations.append("call sent to a leaving instance")
        if self.configuration.withdrawn:
            self.fault_plan.violations.append("call sent for a withdrawn key")

    def call(self, host=0, key="7f0c", idempotent=False):
        """Sends one call through a host; returns its answer or the refusal."""
        route = routes.Route(
            pools.PLAIN, "/book", idempotent, False, 3 if idempotent else 1
        )
        request = plain_client.PlainRequest("POST", "/book", (), b"{}")
        entry = self.hosts[host]
        request_id = entry.requests.new_request_id()
        call = call_pipeline.Call(request_id, "a", route, request, key)
        sent_before = self.sent

        def run_call():
            info = inflight.RequestInfo(request_id, "a", "k1")
            self.handle = entry.requests.open(info)
            try:
                return entry.pipeline.run(call)
            except errors.RefusedError as error:
                return error
            finally:
                entry.requests.close(self.handle)

        result = gevent.spawn(run_call).get(timeout=WAIT_SECONDS)
        self.check(result, sent_before)
        return result

    def check(self, result, sent_before):
        """Checks the invariants after a finished call."""
        assert self.fault_plan.violations == []
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
        """Runs the background work of all hosts for 160 s of clock time."""
        for _ in range(4):
            self.clock.advance(datetime.timedelta(seconds=40))
            for host in self.hosts:
                host.claim_store.tick()


def fault_case(step, fault, invariant, code, fails_without, repetition=""):
    marker = pytest.mark.matrix(
        invariant=invariant, fault=fault, step=step, fails_without=fails_without
    )
    values = (
        (step, fault, code, repetition) if repetition else (step, fault, code)
    )
    return pytest.param(*values, marks=marker, id=f"{step}-{fault}")


EXECUTED = "run now"
REPLAYED = "replayed"
STILL_IN_PROGRESS = "in progress"
CANCELLED = results.CLIENT_CANCELLED
WITHDRAWN = results.KEY_WITHDRAWN
CLAIMED_CALL_CASES = [
    fault_case(
        "connect",
        "connect refused",
        6,
        None,
        "connection attempts on other instances",
        REPLAYED,
    ),
    fault_case(
        "connect",
        "caller cancels",
        6,
        CANCELLED,
        "RequestHandle.interrupt",
        EXECUTED,
    ),
    fault_case(
        "claim",
        "store down",
        6,
        results.CLAIM_UNAVAILABLE,
        "ClaimStore.claim",
        EXECUTED,
    ),
    fault_case("claim", "answer lost", 7, None, "ClaimStore.record", REPLAYED),
    fault_case(
        "claim",
        "caller cancels",
        7,
        CANCELLED,
        "RequestHandle.interrupt",
        EXECUTED,
    ),
    fault_case(
        "claim written",
        "caller cancels",
        7,
        CANCELLED,
        "ClaimStore.abandon after an interrupted write",
        EXECUTED,
    ),
    fault_case(
        "claim written",
        "pause, key withdrawn",
        3,
        WITHDRAWN,
        "release of an unsent claim",
        EXECUTED,
    ),
    fault_case(
        "claim written",
        "pause, instance leaves",
        8,
        None,
        "other instances after a denied one",
        REPLAYED,
    ),
    fault_case(
        "claim written",
        "pause, all leave",
        8,
        results.NO_UPSTREAM,
        "release of an unsent claim",
        EXECUTED,
    ),
    fault_case(
        "send",
        "breaks",
        7,
        results.UPSTREAM_FAILED,
        "may_have_run",
        STILL_IN_PROGRESS,
    ),
    fault_case(
        "answer",
        "breaks",
        7,
        results.UPSTREAM_FAILED,
        "may_have_run",
        STILL_IN_PROGRESS,
    ),
    fault_case(
        "answer",
        "timeout",
        7,
        results.UPSTREAM_TIMEOUT,
        "may_have_run",
        STILL_IN_PROGRESS,
    ),
    fault_case(
        "answer",
        "caller cancels",
        7,
        CANCELLED,
        "one send per claim",
        STILL_IN_PROGRESS,
    ),
    fault_case(
        "record", "store down", 7, None, "ClaimStore.record_later", REPLAYED
    ),
    fault_case("record", "answer lost", 7, None, "ClaimStore.record", REPLAYED),
    fault_case(
        "record",
        "caller cancels",
        7,
        CANCELLED,
        "ClaimStore.record_later",
        REPLAYED,
    ),
    fault_case(
        "guard",
        "pause, key withdrawn",
        3,
        WITHDRAWN,
        "dispatch guard after the claim",
        EXECUTED,
    ),
]


@pytest.mark.parametrize(
    ("step", "fault", "code", "repetition"), CLAIMED_CALL_CASES
)
def test_claimed_call_is_executed_once_and_its_repetition_is_answered(
    step, fault, code, repetition
):
    cluster = Cluster([(step, fault)])

    first = cluster.call()
    cluster.tick()
    cluster.configuration.withdrawn = False
    cluster.configuration.pending_leaving.clear()
    second = cluster.call(host=1)

    assert result_code(first) == code
    assert cluster.executions <= 1
    if repetition == STILL_IN_PROGRESS:
        assert result_code(second) == results.IN_PROGRESS
    else:
        assert second.response == ANSWER
        assert second.replayed == (repetition == REPLAYED)


def result_code(result):
    return result.code if isinstance(result, errors.RefusedError) else None


@pytest.mark.matrix(
    invariant=6,
    fault="connect refused everywhere",
    step="connect",
    fails_without="connect before the claim",
)
def test_no_claim_is_written_without_a_connection():
    cluster = Cluster([("connect", "connect refused")] * 3)

    refusal = cluster.call()

    assert refusal.code == results.UPSTREAM_CONNECT_FAILED
    assert cluster.tables.rows == {}


IDEMPOTENT_CALL_CASES = [
    fault_case(
        "connect", "connect refused", 6, None, "CallPipeline.check_retry"
    ),
    fault_case("send", "breaks", 6, None, "CallPipeline.check_retry"),
    fault_case("send", "unavailable", 6, None, "UNAVAILABLE_STATUSES"),
    fault_case("answer", "timeout", 6, None, "CallPipeline.check_retry"),
    fault_case(
        "connect",
        "pause, instance leaves",
        8,
        None,
        "other instances after a denied one",
    ),
    fault_case(
        "guard",
        "pause, key withdrawn",
        3,
        results.KEY_WITHDRAWN,
        "wait of DispatchGuard for a pending end",
    ),
    fault_case(
        "answer",
        "caller cancels",
        6,
        results.CLIENT_CANCELLED,
        "RequestHandle.interrupt",
    ),
]


@pytest.mark.parametrize(("step", "fault", "code"), IDEMPOTENT_CALL_CASES)
def test_idempotent_call_is_answered_despite_one_fault(step, fault, code):
    cluster = Cluster([(step, fault)])

    result = cluster.call(key="", idempotent=True)

    if code is None:
        assert result.response == ANSWER
    else:
        assert result.code == code


@pytest.mark.matrix(
    invariant=6,
    fault="sent, then connect refused",
    step="connect",
    fails_without="call_pipeline.failure_to_report",
)
def test_call_that_was_sent_is_not_reported_as_not_run():
    cluster = Cluster(
        [
            ("send", "breaks"),
            ("connect", ""),
            ("connect", "connect refused"),
            ("connect", "connect refused"),
        ]
    )

    refusal = cluster.call(key="", idempotent=True)

    assert refusal.code == results.UPSTREAM_FAILED


@pytest.mark.matrix(
    invariant=6,
    fault="sent, then all leave",
    step="guard",
    fails_without="failure kept in run_idempotent",
)
def test_call_without_another_instance_reports_its_first_failure():
    cluster = Cluster(
        [("send", "breaks"), ("guard", ""), ("guard", "pause, all leave")]
    )

    refusal = cluster.call(key="", idempotent=True)

    assert refusal.code == results.UPSTREAM_FAILED


@pytest.mark.matrix(
    invariant=2,
    fault="retry budget spent",
    step="send",
    fails_without="RetryBudget.spend",
)
@pytest.mark.parametrize("idempotent", [True, False])
def test_call_that_crashes_each_instance_is_refused(idempotent):
    """Guards against a call that crashes instances as often as it is sent."""
    cluster = Cluster()
    cluster.crashes = True
    for number in range(8):
        result = cluster.call(key=f"key-{number}", idempotent=idempotent)
        gevent.sleep(0.01)  # The crash is found out in the background.
        cluster.clock.advance(datetime.timedelta(seconds=5))
    sent = cluster.sent

    result = cluster.call(key="other", idempotent=idempotent)

    assert result.code is results.QUARANTINED
    assert cluster.sent == sent <= 4


def test_retries_are_limited_by_the_budget():
    cluster = Cluster([("send", "unavailable")] * 99)
    codes = [cluster.call(key="", idempotent=True).code for _ in range(8)]

    assert codes[-1] == results.RETRY_BUDGET_SPENT
    assert cluster.sent <= 8 + 8 * 0.2 + 2


@pytest.mark.matrix(
    invariant=7,
    fault="instance fails often",
    step="send",
    fails_without="failed count of CallPipeline.send",
)
def test_failing_instance_is_also_ejected_by_claimed_calls():
    cluster = Cluster([("answer", "timeout")] * 30)

    for number in range(9):
        cluster.call(key=f"k{number}")

    with pytest.raises(errors.RefusedError):
        cluster.hosts[0].balancer.choose("records")


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
    fails_without="one send per claim",
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
def test_random_faults_never_execute_a_claimed_call_twice(faults, hosts):
    cluster = Cluster(faults)

    for host in hosts:
        cluster.call(host=host)
        cluster.configuration.withdrawn = False
        cluster.tick()

    assert cluster.executions <= 1
    assert cluster.sent <= 1
