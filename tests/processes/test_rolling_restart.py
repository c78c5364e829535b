"""Tests graceful stops of all hosts under load."""

from __future__ import annotations

import signal

import gevent
import pytest

from standins import engine
from tests.processes import support

CALLERS = 6
READINESS_SECONDS = 0.1
TOKENS = 30
# With these values, the last stream of a host takes longer than the host keeps
# its listening socket open, so that the host has to wait for the stream.
SLOW_FACTOR = 4
LAST_TOKENS = 150


class Load:
    """Callers that send requests to hosts that report that they are ready.

    Attributes:
        ready: Hosts that were ready at the last check, as in a load balancer.
        faults: (step, host, request name, error) of each failed request.
        answered: Number of complete answers by kind of request.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.caller = support.Caller(fleet)
        self.ready = list(support.HOSTS)
        self.faults = []
        self.answered = {"stream": 0, "unstreamed": 0, "booking": 0, "stock": 0}
        self.stopping = False
        self.step = ""
        self.greenlets = [gevent.spawn(self.check_readiness)]
        self.greenlets += [
            gevent.spawn(self.send, number) for number in range(CALLERS)
        ]

    def check_readiness(self):
        while not self.stopping:
            for host in support.HOSTS:
                url = f"{self.fleet.url(host)}/-/ready"
                is_ready = self.fleet.status_of(url) == 200
                if is_ready and host not in self.ready:
                    self.ready.append(host)
                if not is_ready and host in self.ready:
                    self.ready.remove(host)
            gevent.sleep(READINESS_SECONDS)

    def send(self, number):
        kinds = [self.stream, self.unstreamed, self.book, self.read_stock]
        count = 0
        while not self.stopping:
            count += 1
            name = f"{number}-{count}"
            host = self.ready[count % len(self.ready)]
            function = kinds[count % len(kinds)]
            try:
                self.answered[function(host, name)] += 1
            except (AssertionError, support.HTTPError) as error:
                self.faults.append((self.step, host, name, str(error)))

    def stream(self, host, name):
        prompt = f"{support.PROMPT} {name}"
        reader = support.StreamReader(
            self.caller.stream_completion(host, prompt, TOKENS)
        )
        done = reader.read_until("done")
        assert done is not None, "cut"
        assert reader.text == engine.expected_text(prompt, TOKENS)
        return "stream"

    def unstreamed(self, host, name):
        answer = self.caller.request_completion(host, support.PROMPT, TOKENS)
        assert answer.status == 200, answer.data
        return "unstreamed"

    def book(self, host, name):
        answer = self.caller.book(host, name)
        assert answer.status == 201, answer.data
        assert support.count_executions(self.fleet, name) == 1
        return "booking"

    def read_stock(self, host, name):
        answer = self.caller.read_stock(host)
        assert answer.status == 200, answer.data
        return "stock"

    def stop(self):
        self.stopping = True
        gevent.joinall(self.greenlets, raise_error=True)


@pytest.mark.matrix(
    invariant=9,
    fault="rolling restart",
    step="any",
    fails_without="wait for requests in progress",
)
@pytest.mark.matrix(
    invariant=5, fault="rolling restart", step="any", fails_without=""
)
def test_rolling_restart_loses_truncates_and_refuses_no_request(running_fleet):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    for address in support.upstream_addresses(fleet, "decode"):
        fleet.set_faults(address, slow_factor=SLOW_FACTOR)
    load = Load(fleet)

    exit_codes = []
    for host in support.HOSTS:
        process = fleet.processes[host]
        load.step = f"{host} stops"
        last = support.StreamReader(
            load.caller.stream_completion(host, support.PROMPT, LAST_TOKENS)
        )
        last.read_tokens(1)
        process.send_signal(signal.SIGTERM)
        fleet.wait_until(
            lambda process=process: process.poll() is not None,
            f"{host} does not stop",
        )
        exit_codes.append(process.returncode)
        assert last.read_until("done") is not None, "cut"
        load.step = f"{host} starts"
        fleet.start_host(host)
        fleet.wait_ready(host)
        fleet.wait_until(
            lambda host=host: host in load.ready, f"{host} gets no requests"
        )
    load.stop()

    print(load.answered)
    logs = [fleet.log(host)[-3000:] for host in support.HOSTS]
    assert load.faults == [], logs
    assert exit_codes == [0] * len(support.HOSTS)
    assert all(load.answered.values())
