"""Tests generations whose decode engines accept no connections for a while."""

from __future__ import annotations

import socket

import gevent
import pytest

from coltsfootarch.forwarding import silences
from coltsfootarch.http1 import client
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}
DECODE = ("d-1", "d-2")


def ask(edge_host, target="/write/a", request_id="r1"):
    body = f"prompt of {request_id}".encode()
    return edge_host.ask(target, "POST", body, request_id=request_id, **SIZES)


def tokens(response):
    return [
        int(line.rpartition(b" ")[2])
        for line in response.body.splitlines()
        if line.startswith(b"data:")
    ]


class Silence:
    """Lets connections to a runner time out by filling its accept queue."""

    def __init__(self, runner):
        self.server = runner.server
        self.fillers = []

    def start(self):
        self.server.acceptor.kill()
        self.server.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(client.split_address(self.server.address))
            self.fillers.append(filler)

    def end(self):
        for filler in self.fillers:
            filler.close()
        self.server.start()


def silence(edge_host, name, seconds):
    period = Silence(edge_host.runners[name])
    period.start()
    return gevent.spawn_later(seconds, period.end)


@pytest.fixture
def no_retries(engines, monkeypatch):
    """The retry budget is spent; d-1 is chosen first."""
    context = engines.daemon.context
    monkeypatch.setattr(context.budget, "spend", lambda service: False)
    context.loads.add("d-2", 500)
    return engines


@pytest.mark.parametrize("seconds", [0.5, 1.5, 2.0, 2.9])
def test_request_outlasts_a_silence_of_all_engines(no_retries, seconds):
    """Guards against a refusal while the caller still waits."""
    for name in DECODE:
        silence(no_retries, name, seconds)

    response = ask(no_retries)

    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])


def test_request_outlasts_silences_one_after_another(no_retries):
    """Guards against a refusal when the other engine becomes silent as well."""
    silence(no_retries, "d-1", 2.0)
    silence(no_retries, "d-2", 0.3).join()
    pending = gevent.spawn(ask, no_retries)
    gevent.sleep(0.2)
    silence(no_retries, "d-2", 2.5)

    response = pending.get(timeout=4)

    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])


def test_requests_of_many_callers_outlast_a_silence_and_a_configuration(
    no_retries,
):
    """Guards against requests lost when all of them need an engine at once."""
    for name in DECODE:
        silence(no_retries, name, 1.5)
    pending = []
    for number in range(10):
        pending.append(gevent.spawn(ask, no_retries, request_id=f"r{number}"))
        gevent.sleep(0.05)
    no_retries.configure(documents.configuration(version=2))

    responses = [each.get(timeout=5) for each in pending]

    assert [each.status for each in responses] == [200] * 10
    assert [tokens(each) for each in responses] == [[1, 2, 3, 4]] * 10


def test_request_is_refused_at_once_if_all_engines_refuse_connections(
    no_retries,
):
    """Guards against a request that is held though it can't be served."""
    for name in DECODE:
        no_retries.runners[name].close()

    with gevent.Timeout(0.5):
        response = ask(no_retries)

    assert (response.status, response.code) == (503, "overloaded")
    assert float(response.fields["retry-after"]) > 0


def test_silence_that_goes_on_is_an_outage(no_retries, monkeypatch):
    """Guards against requests that are held for engines that stay away."""
    monkeypatch.setattr(silences, "MAX_SILENCE_S", 0.6)
    for name in DECODE:
        silence(no_retries, name, 10.0)
    first = ask(no_retries, request_id="r1")

    with gevent.Timeout(1.5):
        second = ask(no_retries, request_id="r2")

    assert (first.status, second.status) == (503, 503)
    assert float(second.fields["retry-after"]) > 0
