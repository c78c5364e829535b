"""Guards against joined streams at a host cut off during a release."""

from __future__ import annotations

import gevent
import pytest

from soak import proxy as proxies
from tests.forwarding import edge_host as edge_hosts
from tests.forwarding import test_stream_versions
from tests.platform import documents

ROUTE = "/public/"
PROMPT = "aa:900,bb:100"
# Longest wait until streams begin at a version while a host is cut off.
OPEN_S = 10.0


class OutOfStepFleet:
    """Two hosts of one store; the first one can be cut off from all else.

    Attributes:
        first: The host that can be cut off.
        second: The other one.
    """

    def __init__(self, edge_host):
        self.edge_host = edge_host
        self.proxy = proxies.Proxy(edge_host.store.address)
        self.proxy.start()
        self.first = self.second = None

    def start(self):
        edge_host = self.edge_host
        edge_host.store_address = self.proxy.address
        self.first = edge_host.start()
        edge_host.host_name, edge_host.store_address = "host-2", ""
        self.second = edge_host.start()
        for host in (self.first, self.second):
            edge_host.wait(lambda host=host: host.hosts.reached() == 2)
            edge_host.wait(lambda host=host: host.versions.is_single("llm"))

    def cut_off(self, mode):
        """Cuts the first host off from the store and the other host."""
        self.proxy.mode = mode
        self.proxy.reset()
        for host in (self.first, self.second):
            host.report_exchange.send_datagram = lambda data, address: None

    def heal(self):
        self.proxy.mode = "pass"
        self.proxy.reset()
        for host in (self.first, self.second):
            del host.report_exchange.send_datagram

    def begin_at_new_version(self):
        """Begins a stream at v2, of which the first host can't know."""
        edge_host = self.edge_host
        edge_host.add_runner("d-2", "llm", "decode", version="v2")
        versions = self.second.versions
        upstreams = self.second.upstreams.upstreams
        with gevent.Timeout(OPEN_S):
            while "d-2" not in upstreams or not versions.is_open(
                upstreams["d-2"]
            ):
                gevent.sleep(0.05)
        for runner in edge_host.runners.values():
            runner.event_gap_s = 0.05
            runner.events = 6
        test_stream_versions.prefer(edge_host, "d-2")
        engine = test_stream_versions.begin(
            edge_host, target=f"{ROUTE}a", X_Prefix_Hash=PROMPT
        )
        assert engine == "d-2"

    def take_up(self, request_id):
        """Takes the stream up at the first host."""
        caller = edge_hosts.Caller(self.first.settings.listen)
        try:
            return caller.ask(
                f"{ROUTE}a",
                "POST",
                b"prompt",
                request_id=request_id,
                Authorization="",
                Last_Event_Id="2",
                Resumes="r1",
                X_Prefix_Hash=PROMPT,
                **test_stream_versions.SIZES,
            )
        finally:
            caller.close()

    def close(self):
        self.first.close()
        self.proxy.close()


@pytest.fixture
def fleet(edge_host):
    """Two hosts and engines of v1; streams on a route without keys."""
    document = documents.configuration()
    document["routes"].append(
        documents.route(
            "public", ROUTE, "streaming", "llm", resumable=True, public=True
        )
    )
    edge_host.configure(document)
    edge_host.add_runner("p-1", "llm", "prefill")
    edge_host.add_runner("d-1", "llm", "decode")
    fleet = OutOfStepFleet(edge_host)
    fleet.start()
    yield fleet
    fleet.close()


@pytest.mark.parametrize("mode", ["block_both", "refuse"])
def test_host_cut_off_from_store_and_others_joins_no_stream(fleet, mode):
    """Guards against a stream of v2 that goes on at the only version known."""
    fleet.cut_off(mode)
    fleet.begin_at_new_version()

    response = fleet.take_up("r2")

    assert response.status == 503
    assert response.code == "stream-version-unknown"
    assert not test_stream_versions.engine_of(fleet.edge_host, "r2")


def test_stream_goes_on_at_a_host_that_was_cut_off(fleet):
    """Guards against take-ups that are refused once a host is connected."""
    fleet.cut_off("refuse")
    fleet.begin_at_new_version()
    fleet.heal()

    response = fleet.take_up("r2")

    assert response.status == 200
    assert test_stream_versions.engine_of(fleet.edge_host, "r2") == "d-2"
