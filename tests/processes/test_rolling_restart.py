"""Guards graceful stops of all hosts under load."""

from __future__ import annotations

import signal

import gevent
import pytest

from standins import engine
from tests.processes import support

CALLERS = 6
READINESS_SECONDS = 0.1
TOKENS = 30
# With these, the last stream of a host takes longer than the host waits before
# it closes its listening socket, so that it has to be waited for.
SLOW_FACTOR = 4
LAST_TOKENS = 150


class Load:
    """Callers that send to hosts which say that they are ready.

    Attributes:
        ready: Hosts that were ready when last asked, as a load balancer sees.
        faults: What went wrong with a request.
        answered: Number of whole answers by kind.
    """

    def __init__(self, running):
        self.running = running
        self.caller = support.Caller(running)
        self.ready = list(support.HOSTS)
        self.faults = []
        self.answered = {"stream": 0, "whole": 0, "booking": 0, "stock": 0}
        self.stopping = False
        self.step = ""
        self.greenlets = [gevent.spawn(self.watch)]
        self.greenlets += [
            gevent.spawn(self.send, number) for number in range(CALLERS)
        ]

    def watch(self):
        while not self.stopping:
            for host in support.HOSTS:
                url = f"{self.running.url(host)}/-/ready"
                is_ready = self.running.status_of(url) == 200
                if is_ready and host not in self.ready:
                    self.ready.append(host)
                if not is_ready and host in self.ready:
                    self.ready.remove(host)
            gevent.sleep(READINESS_SECONDS)

    def send(self, number):
        kinds = [self.stream, self.whole, self.book, self.read_stock]
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
            self.caller.complete(host, prompt, TOKENS)
        )
        done = reader.read_until("done")
        assert done is not None, "cut"
        assert reader.text == engine.expected_text(prompt, TOKENS)
        return "stream"

    def whole(self, host, name):
        answer = self.caller.complete_whole(host, support.PROMPT, TOKENS)
        assert answer.status == 200, answer.data
        return "whole"

    def book(self, host, name):
        answer = self.caller.book(host, name)
        assert answer.status == 201, answer.data
        assert support.runs(self.running, name) == 1
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
    seen_red="wait for requests in progress",
)
@pytest.mark.matrix(
    invariant=5, fault="rolling restart", step="any", seen_red=""
)
def test_rolling_restart_loses_cuts_and_refuses_no_request(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    for address in support.upstream_addresses(running, "decode"):
        running.fault(address, slow_factor=SLOW_FACTOR)
    load = Load(running)

    exit_codes = []
    for host in support.HOSTS:
        process = running.processes[host]
        load.step = f"{host} stops"
        last = support.StreamReader(
            load.caller.complete(host, support.PROMPT, LAST_TOKENS)
        )
        last.read_tokens(1)
        process.send_signal(signal.SIGTERM)
        running.wait_until(
            lambda process=process: process.poll() is not None,
            f"{host} does not stop",
        )
        exit_codes.append(process.returncode)
        assert last.read_until("done") is not None, "cut"
        load.step = f"{host} starts"
        running.start_host(host)
        running.wait_ready(host)
        running.wait_until(
            lambda host=host: host in load.ready, f"{host} gets no requests"
        )
    load.stop()

    print(load.answered)
    logs = [running.log(host)[-3000:] for host in support.HOSTS]
    assert load.faults == [], logs
    assert exit_codes == [0] * len(support.HOSTS)
    assert all(load.answered.values())
