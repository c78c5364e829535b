"""Tests invariants 6 and 7 with claim stores of several hosts under faults.

They guard against a request that is executed twice and against "not run" for a
request that was sent.
"""

from __future__ import annotations

import collections
import datetime

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import rows
from tests.fakes import objects
from tests.fakes import tables


class Connection(tables.FakeTableClient):
    """Table client of one host, whose writes can also be applied late.

    Attributes:
        delay_writes: Number of next transactions that are applied only by
            `apply_delayed_writes`; their answers are lost.
        lose_reads: Number of next reads that fail.
        delayed: Checks and writes of the delayed transactions.
    """

    def __init__(self, shared):
        super().__init__(shared)
        self.delay_writes = 0
        self.lose_reads = 0
        self.delayed = []

    def get(self, table, key):
        if self.lose_reads:
            self.lose_reads -= 1
            raise errors.TableUnavailableError("slow")
        return super().get(table, key)

    def transact(self, checks, writes):
        if self.delay_writes:
            self.delay_writes -= 1
            self.delayed.append((checks, writes))
            raise errors.TableOutcomeUnknownError("the answer is late")
        return super().transact(checks, writes)

    def apply_delayed_writes(self):
        """Applies the delayed transactions whose checks still hold."""
        for checks, writes in self.delayed:
            try:
                self.shared.apply(checks, writes)
            except errors.TransactionConflictError:
                continue
        self.delayed.clear()


class Attempt:
    """A request with an idempotency key at one host.

    Attributes:
        claim: Claim of the attempt; None without one.
        outcome: Outcome of the upstream; None before the request is sent.
        sent: Whether the request was sent to the upstream.
        code: Result of the attempt; None while it is in progress.
    """

    def __init__(self, host, key):
        self.host = host
        self.key = key
        self.claim = None
        self.outcome = None
        self.sent = False
        self.code = None


class Cluster:
    """Hosts h0 to h2, an upstream that counts executions, and all attempts."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.tables = tables.FakeTables()
        self.objects = objects.FakeObjects()
        self.incarnations = dict.fromkeys(("h0", "h1", "h2"), 1)
        self.claim_stores = {}
        self.connections = {}
        self.executions = collections.Counter()
        self.answers = {}
        self.recorded = {}
        self.attempts = []
        for host in self.incarnations:
            self.start_host(host)

    def start_host(self, host):
        previous = self.connections.get(host)
        self.connections[host] = Connection(self.tables)
        if previous is not None:
            self.connections[host].delayed = previous.delayed
        self.claim_stores[host] = claims.ClaimStore(
            self.connections[host],
            self.objects,
            self.clock,
            host,
            self.incarnations[host],
            lambda name, incarnation: self.incarnations[name] == incarnation,
        )

    def crash(self, host):
        self.incarnations[host] += 1
        self.attempts = [
            attempt
            for attempt in self.attempts
            if attempt.host != host or attempt.code is not None
        ]
        self.start_host(host)

    def start_attempt(self, host, key):
        attempt = Attempt(host, key)
        self.attempts.append(attempt)
        try:
            result = self.claim_stores[host].claim("acme", key, "digest")
        except errors.RefusedError as error:
            attempt.code = error.code
            return attempt
        if isinstance(result, claims.RecordedOutcome):
            attempt.code = results.Execution.RUN
            assert result.outcome == self.answers[key]
        else:
            attempt.claim = result
        return attempt

    def send(self, attempt):
        self.executions[attempt.key] += 1
        attempt.sent = True
        body = b"y" * (70_000 if attempt.key == "large" else 10)
        attempt.outcome = rows.Outcome(200, [], body)
        self.answers[attempt.key] = attempt.outcome

    def record(self, attempt):
        attempt.code = results.Execution.RUN
        if self.claim_stores[attempt.host].record(
            attempt.claim, attempt.outcome
        ):
            self.recorded[attempt.key] = attempt.outcome

    def finish(self, attempt):
        self.send(attempt)
        self.record(attempt)

    def release(self, attempt):
        attempt.code = results.UPSTREAM_CONNECT_FAILED
        self.claim_stores[attempt.host].release(attempt.claim)

    def check(self):
        assert all(
            executions == 1 for executions in self.executions.values()
        ), self.executions
        for attempt in self.attempts:
            not_run = (results.CLAIM_UNAVAILABLE,)
            assert not (attempt.sent and attempt.code in not_run)
            assert not (attempt.claim is None and attempt.sent)


HOSTS = strategies.sampled_from(["h0", "h1", "h2"])


class ClaimMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster()

    def open_attempts(self, sent):
        return [
            attempt
            for attempt in self.cluster.attempts
            if attempt.code is None and attempt.sent == sent
        ]

    @stateful.rule(host=HOSTS, key=strategies.sampled_from(["k", "large"]))
    def start_attempt(self, host, key):
        recorded = key in self.cluster.recorded
        attempt = self.cluster.start_attempt(host, key)
        connection = self.cluster.connections[host]
        healthy = not (
            self.cluster.objects.down or connection.cut or connection.lose_reads
        )
        if recorded and healthy:
            connection.delay_writes = connection.lose_answers = 0
            retried = self.cluster.start_attempt(host, key)
            assert retried.code == results.Execution.RUN
        assert not (recorded and attempt.claim is not None)

    @stateful.rule()
    def send(self):
        for attempt in self.open_attempts(sent=False)[:1]:
            self.cluster.send(attempt)

    @stateful.rule()
    def record(self):
        for attempt in self.open_attempts(sent=True)[:1]:
            self.cluster.record(attempt)

    @stateful.rule()
    def release(self):
        for attempt in self.open_attempts(sent=False)[:1]:
            self.cluster.release(attempt)

    @stateful.rule(host=HOSTS)
    def crash(self, host):
        self.cluster.crash(host)

    @stateful.rule(host=HOSTS, cut=strategies.booleans())
    def cut_store(self, host, cut):
        self.cluster.connections[host].cut = cut

    @stateful.rule(host=HOSTS, reads=strategies.integers(0, 1))
    def lose_answer(self, host, reads):
        self.cluster.connections[host].lose_answers = 1
        self.cluster.connections[host].lose_reads = reads

    @stateful.rule(host=HOSTS)
    def delay_write(self, host):
        self.cluster.connections[host].delay_writes = 1

    @stateful.rule(host=HOSTS)
    def apply_delayed_writes(self, host):
        self.cluster.connections[host].apply_delayed_writes()

    @stateful.rule(down=strategies.booleans())
    def object_store(self, down):
        self.cluster.objects.down = down

    @stateful.rule(seconds=strategies.sampled_from([1.0, 40.0, 700.0]))
    def advance(self, seconds):
        self.cluster.clock.advance(datetime.timedelta(seconds=seconds))
        for claim_store in self.cluster.claim_stores.values():
            claim_store.tick()

    @stateful.invariant()
    def ran_at_most_once(self):
        self.cluster.check()


TestAtMostOnce = pytest.mark.matrix(
    invariant=7,
    fault="any sequence of all faults",
    step="any",
    fails_without="reading back",
)(ClaimMachine.TestCase)
TestAtMostOnce.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


def crash_after_claim(cluster):
    cluster.start_attempt("h0", "k")
    cluster.crash("h0")


def crash_after_send(cluster):
    cluster.send(cluster.start_attempt("h0", "k"))
    cluster.crash("h0")


def lose_record_answer(cluster):
    attempt = cluster.start_attempt("h0", "k")
    cluster.send(attempt)
    cluster.connections["h0"].lose_answers = 1
    cluster.record(attempt)


def lose_claim_answer(cluster):
    cluster.connections["h0"].lose_answers = 1
    cluster.finish(cluster.start_attempt("h0", "k"))


def lose_claim_answer_and_read(cluster):
    cluster.connections["h0"].lose_answers = 1
    cluster.connections["h0"].lose_reads = 1
    assert cluster.start_attempt("h0", "k").code == results.CLAIM_UNAVAILABLE


def apply_claim_late(cluster):
    cluster.connections["h0"].delay_writes = 1
    assert cluster.start_attempt("h0", "k").code == results.CLAIM_UNAVAILABLE
    cluster.connections["h0"].apply_delayed_writes()


def stop_store_at_record(cluster):
    attempt = cluster.start_attempt("h0", "k")
    cluster.send(attempt)
    cluster.tables.down = True
    cluster.record(attempt)
    cluster.tables.down = False


def stop_store_at_claim(cluster):
    cluster.tables.down = True
    assert cluster.start_attempt("h0", "k").code == results.CLAIM_UNAVAILABLE
    cluster.tables.down = False


def claim_concurrently(cluster):
    def run_concurrent_attempt(checks, writes):
        cluster.connections["h0"].before_transact = None
        cluster.finish(cluster.start_attempt("h1", "k"))

    cluster.connections["h0"].before_transact = run_concurrent_attempt
    attempt = cluster.start_attempt("h0", "k")
    if attempt.claim is not None:
        cluster.send(attempt)


def fail_to_connect(cluster):
    cluster.release(cluster.start_attempt("h0", "k"))


def lose_release_answer(cluster):
    attempt = cluster.start_attempt("h0", "k")
    cluster.connections["h0"].lose_answers = 1
    cluster.release(attempt)


CASES = {
    ("kill", "after claim"): crash_after_claim,
    ("kill", "after send"): crash_after_send,
    ("store answer lost", "record"): lose_record_answer,
    ("store answer lost", "claim"): lose_claim_answer,
    ("store answer lost twice", "claim"): lose_claim_answer_and_read,
    ("store slow", "claim written late"): apply_claim_late,
    ("store down", "record"): stop_store_at_record,
    ("store down", "claim"): stop_store_at_claim,
    ("concurrent hosts", "claim"): claim_concurrently,
    ("connect failure", "release"): fail_to_connect,
    ("store answer lost", "release"): lose_release_answer,
}

FAILING_WITHOUT = {
    ("kill", "after claim"): "dead attempts stay claimed",
    ("kill", "after send"): "dead attempts stay claimed",
    ("store answer lost", "record"): "check of the row version",
    ("store answer lost", "claim"): "check of the row version",
    ("store answer lost twice", "claim"): "reading back",
    ("store slow", "claim written late"): "giving up late claims",
    ("store down", "record"): "check of the row version",
    ("store down", "claim"): "claim before sending",
    ("concurrent hosts", "claim"): "check of the row version",
    ("connect failure", "release"): "removal of abandoned claims",
    ("store answer lost", "release"): "owner check at removal",
}
INVARIANTS = {"claim written late": 6, "release": 6}


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            case,
            id=f"{case[0]}, {case[1]}",
            marks=pytest.mark.matrix(
                invariant=INVARIANTS.get(case[1], 7),
                fault=case[0],
                step=case[1],
                fails_without=FAILING_WITHOUT.get(case, "not shown"),
            ),
        )
        for case in CASES
    ],
)
def test_request_resent_to_all_hosts_is_executed_at_most_once(case):
    cluster = Cluster()

    CASES[case](cluster)
    for _ in range(3):
        for host in cluster.claim_stores:
            attempt = cluster.start_attempt(host, "k")
            if attempt.claim is not None:
                cluster.finish(attempt)
            cluster.clock.advance(datetime.timedelta(seconds=40))
            cluster.claim_stores[host].tick()
            cluster.connections[host].apply_delayed_writes()

    cluster.check()
    never_executed = case == ("kill", "after claim")
    assert cluster.executions["k"] == (0 if never_executed else 1)
    killed = case[0] == "kill"
    expected = results.OUTCOME_UNKNOWN if killed else results.Execution.RUN
    assert cluster.start_attempt("h2", "k").code == expected
