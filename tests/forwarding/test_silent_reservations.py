"""Tests generations whose decode engines answer reservations late."""

from __future__ import annotations

import time

import gevent
import pytest

from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}


def ask(edge_host, target="/write/a", request_id="r1"):
    body = f"prompt of {request_id}".encode()
    return edge_host.ask(target, "POST", body, request_id=request_id, **SIZES)


def tokens(response):
    return [
        int(line.rpartition(b" ")[2])
        for line in response.body.splitlines()
        if line.startswith(b"data:")
    ]


def silence(edge_host, name, seconds):
    edge_host.runners[name].silent_until = time.monotonic() + seconds


@pytest.fixture
def reserving(engines, monkeypatch):
    """Engines whose host reserves memory; it chooses d-1 first."""
    context = engines.daemon.context
    monkeypatch.setattr(context.engine_placer.sampler, "hosts", lambda: 70)
    context.loads.add("d-2", 500)
    return engines


@pytest.fixture
def no_retries(reserving, monkeypatch):
    """The retry budget is spent."""
    monkeypatch.setattr(
        reserving.daemon.context.budget, "spend", lambda service: False
    )


def test_another_engine_takes_the_request_of_a_silent_one(reserving):
    """Guards against a late reservation that occupies memory."""
    silence(reserving, "d-1", 1.0)

    with gevent.Timeout(0.9):
        response = ask(reserving)

    assert tokens(response) == [1, 2, 3, 4]
    assert reserving.runs() == {"d-2": ["r1"]}
    reserving.wait(lambda: reserving.runners["d-1"].dropped)
    assert reserving.runners["d-1"].dropped == ["k1"]
    assert not reserving.runners["d-2"].dropped


def test_silence_is_no_refusal(reserving):
    """Guards against an engine that is avoided as if it had said it is full."""
    silence(reserving, "d-1", 0.5)

    ask(reserving)

    entry = reserving.daemon.context.outcome_tracker.records["d-1"]
    assert entry.refusals == 0


@pytest.mark.usefixtures("no_retries")
@pytest.mark.parametrize("seconds", [0.5, 1.2, 2.0, 3.0])
def test_request_outlasts_a_silence_of_all_engines(reserving, seconds):
    """Guards against a refusal while the caller still waits."""
    for name in ("d-1", "d-2"):
        silence(reserving, name, seconds)

    response = ask(reserving)

    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])


@pytest.mark.usefixtures("no_retries")
def test_request_outlasts_silences_one_after_another(reserving):
    """Guards against a refusal when the other engine becomes silent as well."""
    silence(reserving, "d-1", 0.8)
    pending = gevent.spawn(ask, reserving)
    gevent.sleep(0.2)
    silence(reserving, "d-2", 1.4)

    response = pending.get(timeout=4)

    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])


@pytest.mark.usefixtures("no_retries")
def test_engine_that_is_full_after_a_silence_is_replaced(reserving):
    """Guards against silences that use up the number of refusals."""
    reserving.runners["d-1"].fault = "full"
    for name in ("d-1", "d-2"):
        silence(reserving, name, 1.5)

    response = ask(reserving)

    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])
    assert reserving.runs() == {"d-2": ["r1"]}


def test_request_reserves_once_at_a_silent_engine(reserving):
    """Guards against memory that one request reserves several times."""
    for name in ("d-1", "d-2"):
        silence(reserving, name, 1.5)

    response = ask(reserving)

    assert tokens(response) == [1, 2, 3, 4]
    (used,) = reserving.runs()
    (unused,) = {"d-1", "d-2"} - {used}
    reserving.wait(lambda: reserving.runners[unused].dropped)
    for name in ("d-1", "d-2"):
        assert len(reserving.runners[name].reservations) == 1
    assert reserving.runners[unused].dropped == ["k1"]
    assert not reserving.runners[used].dropped


@pytest.mark.usefixtures("no_retries")
def test_requests_of_many_callers_outlast_a_silence_and_a_configuration(
    reserving,
):
    """Guards against requests lost when all of them need an engine at once."""
    for name in ("d-1", "d-2"):
        silence(reserving, name, 1.5)
    pending = []
    for number in range(10):
        pending.append(gevent.spawn(ask, reserving, request_id=f"r{number}"))
        gevent.sleep(0.05)
    reserving.configure(documents.configuration(version=2))

    responses = [each.get(timeout=5) for each in pending]

    assert [each.status for each in responses] == [200] * 10
    assert [tokens(each) for each in responses] == [[1, 2, 3, 4]] * 10
    ran = [request for runs in reserving.runs().values() for request in runs]
    assert sorted(ran) == sorted(f"r{number}" for number in range(10))


def test_reservation_whose_connection_breaks_is_no_refusal(reserving):
    """Guards against an engine that is avoided as if it had said it is full."""
    silence(reserving, "d-1", 0.2)
    pending = gevent.spawn(ask, reserving)
    reserving.wait(lambda: reserving.runners["d-1"].arrivals)

    reserving.runners["d-1"].server.close_connections()

    assert tokens(pending.get(timeout=3)) == [1, 2, 3, 4]
    entry = reserving.daemon.context.outcome_tracker.records["d-1"]
    assert entry.refusals == 0


def test_engines_that_say_that_they_are_full_are_believed(reserving):
    """Guards against a request that is held though no engine has room."""
    for name in ("d-1", "d-2"):
        reserving.runners[name].fault = "full"

    with gevent.Timeout(1.5):
        response = ask(reserving)

    assert response.status == 503
    assert response.code == "overloaded"
    assert float(response.fields["retry-after"]) > 0
    assert not reserving.runners["p-1"].handles


def test_unused_reservation_is_dropped(reserving):
    """Guards against memory reserved for a caller that has left."""
    reserving.runners["p-1"].work_s = 1.0
    caller = reserving.caller()
    caller.send("/write/a", "POST", b"prompt", **SIZES)
    reserving.wait(lambda: reserving.runners["p-1"].arrivals)

    caller.close()

    reserving.wait(lambda: reserving.runners["d-1"].dropped)
    assert reserving.runners["d-1"].dropped == ["k1"]


def test_silent_engine_without_an_answer_ends_in_a_refusal(reserving):
    """Guards against a request that is held beyond its caller's deadline."""
    for name in ("d-1", "d-2"):
        silence(reserving, name, 10.0)

    with gevent.Timeout(4.5):
        response = ask(reserving)

    assert response.status == 503
    assert not reserving.runs()
