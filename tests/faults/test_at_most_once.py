"""Guards invariants 6 and 7: a request runs twice, or "not run" is untrue."""

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
    """One host's table client, whose writes can also land late."""

    def __init__(self, shared):
        super().__init__(shared)
        self.delay_writes = 0
        self.lose_reads = 0
        self.late = []

    def get(self, table, key):
        if self.lose_reads:
            self.lose_reads -= 1
            raise errors.TableUnavailableError("slow")
        return super().get(table, key)

    def transact(self, checks, writes):
        if self.delay_writes:
            self.delay_writes -= 1
            self.late.append((checks, writes))
            raise errors.TableOutcomeUnknownError("the answer is late")
        return super().transact(checks, writes)

    def land(self):
        """Lets the delayed writes take effect."""
        for checks, writes in self.late:
            try:
                self.shared.apply(checks, writes)
            except errors.TransactionConflictError:
                continue
        self.late.clear()


class Attempt:
    def __init__(self, host, key):
        self.host = host
        self.key = key
        self.claim = None
        self.outcome = None
        self.sent = False
        self.code = None


class World:
    """Hosts h0 to h2, an upstream that counts, and all attempts."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.tables = tables.FakeTables()
        self.objects = objects.FakeObjects()
        self.incarnations = dict.fromkeys(("h0", "h1", "h2"), 1)
        self.claim_stores = {}
        self.connections = {}
        self.runs = collections.Counter()
        self.answers = {}
        self.recorded = {}
        self.attempts = []
        for host in self.incarnations:
            self.start(host)

    def start(self, host):
        late = self.connections.get(host)
        self.connections[host] = Connection(self.tables)
        if late is not None:
            self.connections[host].late = late.late
        self.claim_stores[host] = claims.ClaimStore(
            self.connections[host],
            self.objects,
            self.clock,
            host,
            self.incarnations[host],
            lambda name, number: self.incarnations[name] == number,
        )

    def crash(self, host):
        self.incarnations[host] += 1
        self.attempts = [
            attempt
            for attempt in self.attempts
            if attempt.host != host or attempt.code is not None
        ]
        self.start(host)

    def begin(self, host, key):
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
        self.runs[attempt.key] += 1
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
        assert all(runs == 1 for runs in self.runs.values()), self.runs
        for attempt in self.attempts:
            not_run = (results.CLAIM_UNAVAILABLE,)
            assert not (attempt.sent and attempt.code in not_run)
            assert not (attempt.claim is None and attempt.sent)


HOSTS = strategies.sampled_from(["h0", "h1", "h2"])


class ClaimMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()

    def open_attempts(self, sent):
        return [
            attempt
            for attempt in self.world.attempts
            if attempt.code is None and attempt.sent == sent
        ]

    @stateful.rule(host=HOSTS, key=strategies.sampled_from(["k", "large"]))
    def begin(self, host, key):
        recorded = key in self.world.recorded
        attempt = self.world.begin(host, key)
        connection = self.world.connections[host]
        healthy = not (
            self.world.objects.down or connection.cut or connection.lose_reads
        )
        if recorded and healthy:
            connection.delay_writes = connection.lose_answers = 0
            retried = self.world.begin(host, key)
            assert retried.code == results.Execution.RUN
        assert not (recorded and attempt.claim is not None)

    @stateful.rule()
    def send(self):
        for attempt in self.open_attempts(sent=False)[:1]:
            self.world.send(attempt)

    @stateful.rule()
    def record(self):
        for attempt in self.open_attempts(sent=True)[:1]:
            self.world.record(attempt)

    @stateful.rule()
    def release(self):
        for attempt in self.open_attempts(sent=False)[:1]:
            self.world.release(attempt)

    @stateful.rule(host=HOSTS)
    def crash(self, host):
        self.world.crash(host)

    @stateful.rule(host=HOSTS, cut=strategies.booleans())
    def cut_store(self, host, cut):
        self.world.connections[host].cut = cut

    @stateful.rule(host=HOSTS, reads=strategies.integers(0, 1))
    def lose_answer(self, host, reads):
        self.world.connections[host].lose_answers = 1
        self.world.connections[host].lose_reads = reads

    @stateful.rule(host=HOSTS)
    def delay_write(self, host):
        self.world.connections[host].delay_writes = 1

    @stateful.rule(host=HOSTS)
    def land(self, host):
        self.world.connections[host].land()

    @stateful.rule(down=strategies.booleans())
    def object_store(self, down):
        self.world.objects.down = down

    @stateful.rule(seconds=strategies.sampled_from([1.0, 40.0, 700.0]))
    def advance(self, seconds):
        self.world.clock.advance(datetime.timedelta(seconds=seconds))
        for claim_store in self.world.claim_stores.values():
            claim_store.tick()

    @stateful.invariant()
    def ran_at_most_once(self):
        self.world.check()


TestAtMostOnce = pytest.mark.matrix(
    invariant=7,
    fault="any of all",
    step="any",
    seen_red="reading back",
)(ClaimMachine.TestCase)
TestAtMostOnce.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


def crash_after_claim(world):
    world.begin("h0", "k")
    world.crash("h0")


def crash_after_send(world):
    world.send(world.begin("h0", "k"))
    world.crash("h0")


def record_lost(world):
    attempt = world.begin("h0", "k")
    world.send(attempt)
    world.connections["h0"].lose_answers = 1
    world.record(attempt)


def claim_answer_lost(world):
    world.connections["h0"].lose_answers = 1
    world.finish(world.begin("h0", "k"))


def claim_answer_and_read_lost(world):
    world.connections["h0"].lose_answers = 1
    world.connections["h0"].lose_reads = 1
    assert world.begin("h0", "k").code == results.CLAIM_UNAVAILABLE


def claim_lands_late(world):
    world.connections["h0"].delay_writes = 1
    assert world.begin("h0", "k").code == results.CLAIM_UNAVAILABLE
    world.connections["h0"].land()


def store_down_at_record(world):
    attempt = world.begin("h0", "k")
    world.send(attempt)
    world.tables.down = True
    world.record(attempt)
    world.tables.down = False


def store_down_at_claim(world):
    world.tables.down = True
    assert world.begin("h0", "k").code == results.CLAIM_UNAVAILABLE
    world.tables.down = False


def concurrent_claim(world):
    def meanwhile(checks, writes):
        world.connections["h0"].before_transact = None
        world.finish(world.begin("h1", "k"))

    world.connections["h0"].before_transact = meanwhile
    attempt = world.begin("h0", "k")
    if attempt.claim is not None:
        world.send(attempt)


def connect_failure(world):
    world.release(world.begin("h0", "k"))


def release_answer_lost(world):
    attempt = world.begin("h0", "k")
    world.connections["h0"].lose_answers = 1
    world.release(attempt)


CASES = {
    ("kill", "after claim"): crash_after_claim,
    ("kill", "after send"): crash_after_send,
    ("store answer lost", "record"): record_lost,
    ("store answer lost", "claim"): claim_answer_lost,
    ("store answer lost twice", "claim"): claim_answer_and_read_lost,
    ("store slow", "claim lands late"): claim_lands_late,
    ("store down", "record"): store_down_at_record,
    ("store down", "claim"): store_down_at_claim,
    ("concurrent hosts", "claim"): concurrent_claim,
    ("connect failure", "release"): connect_failure,
    ("store answer lost", "release"): release_answer_lost,
}

SEEN_RED = {
    ("kill", "after claim"): "dead attempts stay claimed",
    ("kill", "after send"): "dead attempts stay claimed",
    ("store answer lost", "record"): "check of the row version",
    ("store answer lost", "claim"): "check of the row version",
    ("store answer lost twice", "claim"): "reading back",
    ("store slow", "claim lands late"): "giving up late claims",
    ("store down", "record"): "check of the row version",
    ("store down", "claim"): "claim before sending",
    ("concurrent hosts", "claim"): "check of the row version",
    ("connect failure", "release"): "removal of abandoned claims",
    ("store answer lost", "release"): "owner check at removal",
}
INVARIANTS = {"claim lands late": 6, "release": 6}


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
                seen_red=SEEN_RED.get(case, "not shown"),
            ),
        )
        for case in CASES
    ],
)
def test_resends_to_all_hosts_run_it_at_most_once(case):
    world = World()

    CASES[case](world)
    for _ in range(3):
        for host in world.claim_stores:
            attempt = world.begin(host, "k")
            if attempt.claim is not None:
                world.finish(attempt)
            world.clock.advance(datetime.timedelta(seconds=40))
            world.claim_stores[host].tick()
            world.connections[host].land()

    world.check()
    never_ran = case == ("kill", "after claim")
    assert world.runs["k"] == (0 if never_ran else 1)
    killed = case[0] == "kill"
    expected = results.OUTCOME_UNKNOWN if killed else results.Execution.RUN
    assert world.begin("h2", "k").code == expected
