"""Tests that a host without descriptors or memory blames no upstream."""

from __future__ import annotations

import datetime
import errno
import json

import pytest
import urllib3.util.connection

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.config import register as registers
from coltsfootarch.config import routes
from coltsfootarch.gateway import call_pipeline
from coltsfootarch.gateway import crashing_calls
from coltsfootarch.gateway import failures
from coltsfootarch.observability import metrics
from coltsfootarch.retries import budget
from coltsfootarch.scheduling import plain_balancer
from coltsfootarch.upstreams import connection
from coltsfootarch.upstreams import plain_client
from tests.fakes import engines
from tests.fakes import gateways
from tests.fakes import pools

REQUEST = {"model": "summary", "prompt": gateways.PROMPT, "max_tokens": 4}
LOCAL = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


@pytest.fixture
def exhausted(monkeypatch):
    """Lets connections fail with an errno, as often as it is listed."""
    pending = []
    create_connection = urllib3.util.connection.create_connection

    def create(*arguments, **options):
        if pending:
            raise OSError(pending.pop(0), "local error")
        return create_connection(*arguments, **options)

    monkeypatch.setattr(urllib3.util.connection, "create_connection", create)
    return pending


class AllowingGuard:
    def allows(self, _name):
        return True


def raise_once(function, error):
    """Returns the function, whose first call raises an error."""
    pending = [error]

    def call(*arguments):
        if pending:
            raise pending.pop()
        return function(*arguments)

    return call


def raise_in_first_stream(function, error):
    """Returns the generator function, whose first stream raises an error."""
    pending = [error]

    def stream(*arguments):
        if pending:
            raise pending.pop()
        yield from function(*arguments)

    return stream


@pytest.mark.parametrize("number", LOCAL)
def test_local_error_is_told_from_an_unreachable_upstream(exhausted, number):
    """Guards against an upstream that is avoided for a fault of the host."""
    exhausted.append(number)

    with pytest.raises(errors.LocalConnectError):
        connection.UpstreamConnection("127.0.0.1:9", SECOND)


def test_refused_connection_is_an_error_of_the_upstream():
    """Guards against an upstream that is down and still used."""
    with pytest.raises(errors.UpstreamConnectError) as caught:
        connection.UpstreamConnection("127.0.0.1:9", SECOND)

    assert not isinstance(caught.value, errors.LocalConnectError)


@pytest.mark.parametrize(
    ("call", "fail"),
    [("prefill", raise_once), ("decode", raise_in_first_stream)],
)
def test_local_error_is_no_crash_of_an_engine(gateway, monkeypatch, call, fail):
    """Guards against sound engines that are reported as crashed."""
    error = errors.LocalConnectError("no descriptors")
    monkeypatch.setattr(
        gateway.engines, call, fail(getattr(gateway.engines, call), error)
    )
    monkeypatch.setattr(
        gateway.engines,
        "requests",
        raise_once(gateway.engines.requests, error),
    )

    answer = gateway.request("POST", "/v1/completions", REQUEST)

    assert answer.status == 200
    assert json.loads(answer.read())["text"] == engines.expected_text(0, 4)
    scheduler = gateway.pipeline.scheduler
    steps = {event.step for event in scheduler.events}
    assert not steps & {"crashed", "failed"}
    assert [item.excluded for item in scheduler.items] == [frozenset()] * 2
    assert gateway.pipeline.reachability.failed_at == {}


def test_broken_stream_is_no_crash_if_the_engine_can_t_be_asked():
    """Guards against a crash concluded from a fault of the host."""

    def ask():
        raise errors.LocalConnectError("no descriptors")

    broken = failures.classify("d1", errors.UpstreamError("reset"), ask, ask)
    silent = failures.classify("d1", errors.UpstreamTimeoutError(), ask, ask)

    assert (broken.step, silent.step) == (failures.FAILED, failures.FAILED)


def test_local_error_is_no_crash_of_an_instance(exhausted):
    """Guards against calls refused since the host had no descriptors."""
    exhausted.extend([errno.EMFILE] * 10)
    clock = clocks.SystemClock()
    calls = crashing_calls.CrashingCalls(
        clock, plain_client.PlainConnector(clock)
    )

    for number in range(10):
        upstream = pools.make_upstream(f"s{number}", "plain", number)
        calls.record_crash("digest", upstream)

    calls.check("digest")


def test_instance_is_used_again_after_a_local_error(exhausted, raw_server):
    """Guards against instances excluded one after another for a host fault."""
    address = raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    clock = clocks.SystemClock()
    upstream = pools.make_upstream("s1", "plain", 1)._replace(
        address=address, service="stock"
    )
    service = registers.Service(
        "stock", registers.ServiceKind.PLAIN, path_prefix="/stock"
    )
    register = pools.make_register([upstream])._replace(
        services={"stock": service}
    )
    balancer = plain_balancer.PlainBalancer(clock, lambda: register)
    pipeline = call_pipeline.CallPipeline(
        clock,
        lambda: register,
        balancer,
        plain_client.PlainConnector(clock),
        AllowingGuard(),
        None,
        budget.RetryBudget(clock, 0.2),
        lambda _attempt: datetime.timedelta(milliseconds=1),
        metrics.NullMetrics(),
    )
    route = routes.RouteTable(register).match("GET", "/stock/x")
    request = plain_client.PlainRequest("GET", "/stock/x", (), b"")
    exhausted.append(errno.EMFILE)

    answer = pipeline.open_connection(
        call_pipeline.Call("r1", "a", route, request, "k")
    )

    assert answer[0].name == "s1"
    answer[1].close()
