"""Tests calls whose upstreams are silent for a while and then go on."""

from __future__ import annotations

import math
import time

import gevent
import pytest

from coltsfootarch.forwarding import call_attempts
from coltsfootarch.forwarding import call_pipeline
from coltsfootarch.http1 import client
from tests.platform import documents

OBJECTIVE_S = 0.3
PATIENCE_S = call_pipeline.ATTEMPT_FRACTION * OBJECTIVE_S


def configuration(version=2, **changes):
    """Returns a configuration with a route that expects quick responses."""
    changes = {"target_latency_ms": OBJECTIVE_S * 1000, **changes}
    return documents.configuration(
        version,
        routes=[
            documents.route("read", "/read/", "idempotent", "app", **changes),
            documents.route("book", "/book/", "non_idempotent", "app"),
        ],
    )


@pytest.fixture
def start(edge_host):
    """Returns a function that starts a host with runners that work so long."""

    def start(*work_s, **changes):
        edge_host.configure(configuration(**changes))
        for number, seconds in enumerate(work_s, 1):
            edge_host.add_runner(f"i-{number}", "app", work_s=seconds)
        edge_host.start()
        for number in range(2, len(work_s) + 1):
            # So that they are chosen in the order of their numbers.
            for _ in range(number - 1):
                edge_host.daemon.context.loads.add(f"i-{number}", 0)
        return edge_host

    return start


def total_runs(host):
    return sum(len(runs) for runs in host.runs().values())


def end_of(host, name):
    return host.runners[name].ended_executions


def assert_nothing_left(host):
    """Asserts that no attempt of a finished call holds anything."""
    host.wait(lambda: not any(each.running for each in host.runners.values()))
    context = host.daemon.context
    assert context.response_memory.used == 0
    assert host.daemon.forwarder.in_progress == 0
    assert not host.daemon.forwarder.calls


@pytest.mark.parametrize("silence_s", [0.5, 3.0])
def test_only_upstream_that_is_silent_for_a_while_answers(start, silence_s):
    """Guards against giving up an upstream that nothing replaces."""
    host = start(silence_s)

    response = host.ask("/read/a")

    assert (response.status, response.body) == (200, b"answer of i-1 to r1")
    assert host.runs() == {"i-1": ["r1"]}


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 2.0, 3.0])
def test_answer_within_a_silence_of_all_upstreams(start, silence_s):
    """Guards against a call that fails though both would have answered."""
    host = start(silence_s, silence_s)
    started = time.monotonic()

    response = host.ask("/read/a")

    assert response.status == 200
    assert time.monotonic() - started < silence_s + 0.15
    assert total_runs(host) == 2
    assert_nothing_left(host)


@pytest.mark.parametrize("silence_s", [0.5, 3.0])
def test_booking_waits_out_a_silence_and_is_sent_once(start, silence_s):
    """Guards against a booking that is cut for silence or sent twice."""
    host = start(silence_s, silence_s)

    assert host.ask("/book/a", "POST", b"x").status == 200

    assert total_runs(host) == 1


@pytest.mark.parametrize("fault", ["full", "reset", "cut", "garbage"])
def test_silent_upstream_answers_though_its_replacement_fails(start, fault):
    """Guards against giving up one that answers for one that doesn't."""
    host = start(0.6, 0.0)
    host.runners["i-2"].fault = fault

    response = host.ask("/read/a")

    assert (response.status, response.body) == (200, b"answer of i-1 to r1")
    assert end_of(host, "i-1") == [("r1", "answered")]


def test_silent_upstream_answers_though_its_replacement_is_down(start):
    """Guards against giving up one that answers for one without a socket."""
    host = start(0.6, 0.0)
    host.runners["i-2"].close()

    assert host.ask("/read/a").body == b"answer of i-1 to r1"


@pytest.mark.parametrize("status", [429, 500, 502, 503])
def test_silent_upstream_answers_though_its_replacement_errs(start, status):
    """Guards against relaying a failure while a success is on its way."""
    host = start(0.6, 0.0)
    host.runners["i-2"].status = status

    assert host.ask("/read/a").body == b"answer of i-1 to r1"


def test_status_that_implies_not_run_does_not_hide_an_answer(start):
    """Guards against a failure of the host where an upstream answers."""
    host = start(0.0, 0.0)
    host.runners["i-1"].status = 429

    assert host.ask("/read/a").body == b"answer of i-2 to r1"


def test_error_is_relayed_though_a_later_status_implies_not_run(start):
    """Guards against an answer that a useless one replaces."""
    host = start(0.0, 0.0)
    host.runners["i-1"].status = 500
    host.runners["i-2"].status = 429

    response = host.ask("/read/a")

    assert response.status == 500
    assert response.fields["x-server-seal"] == "seal-i-1-r1"


def test_first_answers_though_its_replacement_is_silent_too(start):
    """Guards against waiting only for the upstream that got the call last."""
    host = start(0.6, 0.0)
    host.runners["i-2"].fault = "mute"
    started = time.monotonic()

    assert host.ask("/read/a").body == b"answer of i-1 to r1"

    assert time.monotonic() - started < 0.75
    assert host.runners["i-2"].arrivals == 1
    host.wait(lambda: not host.runners["i-2"].server.connections)


def test_replacement_answers_and_the_silent_one_is_closed(start):
    """Guards against work that goes on after a call was answered."""
    host = start(3.0, 0.0)
    started = time.monotonic()

    assert host.ask("/read/a").body == b"answer of i-2 to r1"

    assert PATIENCE_S <= time.monotonic() - started < PATIENCE_S + 0.15
    host.wait(lambda: end_of(host, "i-1") == [("r1", "closed")])


def test_silent_upstream_answers_though_the_budget_is_spent(start):
    """Guards against giving up one that answers when none may follow."""
    host = start(0.6, 0.0)
    host.daemon.context.budget.minimum = 0.0

    assert host.ask("/read/a").body == b"answer of i-1 to r1"
    assert total_runs(host) == 1


def test_replacement_that_is_not_reached_costs_no_budget(start):
    """Guards against a budget that is spent on calls that were not sent."""
    host = start(0.6, 0.0)
    host.runners["i-2"].close()

    assert host.ask("/read/a").status == 200
    assert not host.daemon.context.budget.window("app").retries


@pytest.mark.parametrize(("limit", "runs"), [(1, 1), (2, 2), (3, 3)])
def test_call_is_sent_to_no_more_upstreams_than_allowed(start, limit, runs):
    """Guards against more upstreams than the route allows."""
    host = start(1.2, 1.2, 1.2, 1.2, max_attempts=limit)

    assert host.ask("/read/a").status == 200
    assert total_runs(host) == runs


def test_upstream_that_refuses_counts_as_an_attempt(start):
    """Guards against a third upstream after a silent and a full one."""
    host = start(0.8, 0.0, 0.0)
    host.runners["i-2"].fault = "full"
    host.runners["i-3"].fault = "full"

    assert host.ask("/read/a").status == 200
    assert sum(each.arrivals for each in host.runners.values()) == 2


def test_call_ends_at_its_deadline_if_both_stay_silent(start):
    """Guards against a call that is held beyond its deadline."""
    host = start(5.0, 5.0)
    started = time.monotonic()

    response = host.ask("/read/a", X_Deadline_Ms="900")

    assert response.status == 504
    assert 0.85 < time.monotonic() - started < 1.2
    assert_nothing_left(host)


def test_caller_that_leaves_ends_both_attempts(start):
    """Guards against work that goes on for a caller who has left."""
    host = start(4.0, 4.0)
    caller = host.caller()
    caller.send("/read/a")
    host.wait(lambda: total_runs(host) == 2)

    left_at = time.monotonic()
    caller.close()

    for name in ("i-1", "i-2"):
        host.wait(lambda name=name: end_of(host, name) == [("r1", "closed")])
    assert time.monotonic() - left_at < 0.3
    assert_nothing_left(host)


def test_caller_that_leaves_during_a_connect_ends_both_attempts(
    start, monkeypatch
):
    """Guards against a call that is sent after its caller has left."""
    host = start(4.0, 0.0)
    connect = client.Connection.start

    def connect_slowly(connection, timeout):
        if connection.address == host.runners["i-2"].address:
            gevent.sleep(0.3)
        connect(connection, timeout)

    monkeypatch.setattr(client.Connection, "start", connect_slowly)
    caller = host.caller()
    caller.send("/read/a")
    host.wait(lambda: total_runs(host) == 1)
    gevent.sleep(PATIENCE_S + 0.1)

    caller.close()

    host.wait(lambda: end_of(host, "i-1") == [("r1", "closed")])
    gevent.sleep(0.4)
    assert host.runners["i-2"].arrivals == 0
    assert_nothing_left(host)


def slow_connections(monkeypatch, host, name, seconds, error=None):
    """Lets connections to a runner take so long and then fail by an error."""
    start = client.Connection.start
    address = host.runners[name].address

    def start_slowly(connection, timeout):
        if connection.address == address:
            gevent.sleep(seconds)
            if error is not None:
                raise error
        start(connection, timeout)

    monkeypatch.setattr(client.Connection, "start", start_slowly)


def test_slow_connection_is_not_used_once_another_upstream_works(
    start, monkeypatch
):
    """Guards against a second run that nobody waits for."""
    host = start(0.0, 0.4)
    slow_connections(monkeypatch, host, "i-1", 0.3)

    assert host.ask("/read/a").body == b"answer of i-2 to r1"

    gevent.sleep(0.3)
    assert host.runs() == {"i-2": ["r1"]}
    assert not host.daemon.context.budget.window("app").retries


def test_slow_connection_is_used_if_the_other_upstream_breaks(
    start, monkeypatch
):
    """Guards against an upstream that is lost for a call it never got."""
    host = start(0.0, 0.15)
    host.runners["i-2"].fault = "reset"
    slow_connections(monkeypatch, host, "i-1", 0.3)

    assert host.ask("/read/a").body == b"answer of i-1 to r1"


def test_slow_connection_is_used_while_the_other_is_not_open(
    start, monkeypatch
):
    """Guards against a connection that waits for one that fails."""
    host = start(0.0, 0.0)
    slow_connections(monkeypatch, host, "i-1", 0.3)
    error = client.ConnectError("timed out")
    slow_connections(monkeypatch, host, "i-2", 0.2, error)
    started = time.monotonic()

    assert host.ask("/read/a").body == b"answer of i-1 to r1"

    assert time.monotonic() - started < 0.36


def test_second_connection_is_not_used_once_the_slow_one_is_open(
    start, monkeypatch
):
    """Guards against a second run while the first one has just begun."""
    host = start(0.15, 0.0)
    slow_connections(monkeypatch, host, "i-1", 0.25)
    slow_connections(monkeypatch, host, "i-2", 0.2)

    assert host.ask("/read/a").body == b"answer of i-1 to r1"

    gevent.sleep(0.2)
    assert host.runs() == {"i-1": ["r1"]}


def test_upstream_that_accepts_no_connection_in_time_is_ejected(
    start, monkeypatch
):
    """Guards against calls that wait for an unreachable upstream in turn."""
    host = start(0.0)
    error = client.ConnectError("timed out")
    slow_connections(monkeypatch, host, "i-1", 0.3, error)

    assert host.ask("/read/a", X_Deadline_Ms="310").status == 503
    assert not host.daemon.context.outcome_tracker.is_usable("i-1")


def test_exit_of_the_host_ends_both_attempts_with_an_answer(start):
    """Guards against a connection that is closed without an answer."""
    host = start(4.0, 4.0)
    caller = host.caller()
    caller.send("/read/a")
    host.wait(lambda: total_runs(host) == 2)

    host.daemon.forwarder.interrupt_calls()

    assert caller.read().status == 502
    assert_nothing_left(host)


@pytest.mark.parametrize("offset_ms", range(-8, 9, 4))
@pytest.mark.parametrize("size", [10, 60_000])
def test_one_whole_answer_if_both_answer_at_once(start, offset_ms, size):
    """Guards against an answer that is put together from two."""
    first_s = PATIENCE_S + 0.1
    host = start(first_s, first_s - PATIENCE_S + offset_ms / 1000)
    for name, upstream in host.runners.items():
        upstream.call = answer_of_size(upstream, name[-1:].encode(), size)
    caller = host.caller()

    for number in range(3):
        host.daemon.context.outcome_tracker.records.clear()
        response = caller.ask("/read/a", request_id=f"r{number}")
        assert response.status == 200
        assert response.complete
        (letter,) = set(response.body)
        assert len(response.body) == size
        seal = f"seal-i-{chr(letter)}-r{number}"
        assert response.fields["x-server-seal"] == seal
    assert_nothing_left(host)


def answer_of_size(upstream, letter, size):
    """Returns a handler that answers a call with so many letters."""

    def call(request_id, connection):
        gevent.sleep(upstream.work_s)
        connection.respond(
            200, upstream.response_fields(request_id), letter * size
        )

    return call


def test_silent_upstream_is_used_again_once_it_answers(start):
    """Guards against a sound upstream that stays unused after a silence."""
    host = start(0.5)
    for number in range(3):
        assert host.ask("/read/a", request_id=f"r{number}").status == 200

    host.runners["i-1"].work_s = 0.0

    assert host.ask("/read/a", request_id="r9").status == 200


def test_probe_that_told_nothing_does_not_prevent_another(start):
    """Guards against an upstream that is unused after an abandoned probe."""
    host = start(0.4, 4.0)
    tracker = host.daemon.context.outcome_tracker
    for _ in range(2):
        tracker.record("i-2", call_pipeline.outcomes.Outcome.BROKEN)
    health = tracker.records["i-2"].health
    health.ejected_until = 0.0

    assert host.ask("/read/a").body == b"answer of i-1 to r1"

    assert host.runners["i-2"].arrivals == 1
    host.wait(lambda: health.probe_started is None)
    assert tracker.is_usable("i-2")


def changed_timeout():
    return configuration(3, timeout_ms=3000)


def removed_route():
    document = configuration(3)
    del document["routes"][0]
    return document


def changed_tenant():
    document = configuration(3)
    document["tenants"][0] |= {"rate_per_s": 5.0, "burst": 5.0}
    return document


def removed_key():
    document = configuration(3)
    document["tenants"][0]["api_keys"] = ["another-key"]
    return document


@pytest.mark.parametrize("work_s", [(1.0, 1.0), (1.0,)])
@pytest.mark.parametrize(
    "change", [changed_timeout, removed_route, changed_tenant, removed_key]
)
def test_call_outlasts_a_silence_beside_a_configuration(start, work_s, change):
    """Guards against a call that is lost beside a new configuration."""
    host = start(*work_s)
    callers = [host.caller() for _ in range(6)]
    for number, caller in enumerate(callers):
        caller.send("/read/a", request_id=f"r{number}")
    gevent.sleep(PATIENCE_S / 2)

    host.configure(change())

    answers = [caller.read() for caller in callers]
    assert [answer and answer.status for answer in answers] == [200] * 6
    assert host.daemon.policy_tracker.policy.version == 3


def test_upstream_that_begins_to_drain_gets_no_second_attempt(start):
    """Guards against a second attempt at an upstream that leaves."""
    host = start(1.6, 0.0, target_latency_ms=2000)
    caller = host.caller()
    caller.send("/read/a")
    host.wait(lambda: total_runs(host) == 1)
    draining = host.runners["i-2"]
    draining.state = "draining"
    host.register(draining)
    host.wait(lambda: not host.daemon.upstreams.is_serving("i-2"))

    assert caller.read().body == b"answer of i-1 to r1"
    assert draining.arrivals == 0


def test_upstream_that_leaves_during_a_connect_gets_no_call(start, monkeypatch):
    """Guards against a call that is sent by what was known before a connect."""
    host = start(0.8, 0.0)
    connect = client.Connection.start

    def connect_as_it_leaves(connection, timeout):
        connect(connection, timeout)
        if connection.address == host.runners["i-2"].address:
            host.daemon.upstreams.reject("i-2")

    monkeypatch.setattr(client.Connection, "start", connect_as_it_leaves)

    assert host.ask("/read/a").body == b"answer of i-1 to r1"
    assert host.runners["i-2"].arrivals == 0
    assert host.daemon.context.outcome_tracker.is_usable("i-2")


def test_call_that_found_no_other_upstream_waits_without_a_loop(
    start, monkeypatch
):
    """Guards against a busy loop after a look that found no other upstream."""
    host = start(1.2, 0.6)
    budget = host.daemon.context.budget
    minimum = budget.minimum
    monkeypatch.setattr(budget, "minimum", 0.0)
    waits = []
    wait = call_attempts.AttemptGroup.wait

    def count(group):
        waits.append(group)
        # The budget has room again at the second look.
        if group.next_look_at < math.inf:
            budget.minimum = minimum
        wait(group)

    monkeypatch.setattr(call_attempts.AttemptGroup, "wait", count)

    assert host.ask("/read/a").body == b"answer of i-2 to r1"
    assert len(waits) < 10


def test_answer_that_crosses_the_end_of_the_caller_is_freed(app, monkeypatch):
    """Guards against responses that fill the memory for all of them."""
    run = call_attempts.AttemptGroup.run

    def run_and_leave(group, attempt, runner):
        run(group, attempt, runner)
        attempt.call.cancellation.cancel()

    monkeypatch.setattr(call_attempts.AttemptGroup, "run", run_and_leave)
    for runner in app.runners.values():
        monkeypatch.setattr(runner, "call", respond_at_length(runner))
    caller = app.caller()
    caller.send("/read/a")

    assert caller.read() is None
    assert app.daemon.context.response_memory.used == 0


def respond_at_length(runner):
    """Returns a handler of calls with responses that take a place in memory."""

    def call(request_id, connection):
        body = b"x" * 200_000
        connection.respond(200, runner.response_fields(request_id), body)

    return call
