"""An entry host's HTTP interface on a loopback socket, with fakes behind it."""

from __future__ import annotations

import datetime
import http.client
import json
import socket

import gevent
import gevent.event

from coltsfootarch import clock as clocks
from coltsfootarch import results
from coltsfootarch.config import register as registers
from coltsfootarch.config import routes
from coltsfootarch.gateway import admission
from coltsfootarch.gateway import application
from coltsfootarch.gateway import call_pipeline
from coltsfootarch.gateway import completion_pipeline
from coltsfootarch.gateway import dispatch_guard
from coltsfootarch.gateway import inflight
from coltsfootarch.gateway import reachability
from coltsfootarch.gateway import remote_cancel
from coltsfootarch.gateway import server
from coltsfootarch.keys import authenticator
from coltsfootarch.keys import key_format
from coltsfootarch.observability import metrics
from coltsfootarch.retries import budget
from coltsfootarch.upstreams import plain_client
from tests.fakes import engines
from tests.fakes import pools

WAIT = datetime.timedelta(seconds=10)
PROMPT = "Referral"


class RecordingCallPipeline:
    """Call pipeline that records calls and returns a fixed response."""

    def __init__(self):
        self.calls = []
        self.body = b"ok"

    def run(self, call):
        self.calls.append(call)
        answer = plain_client.PlainResponse(200, (), self.body)
        return call_pipeline.CallAnswer(answer, replayed=False)


class AlwaysReady:
    def check(self):
        return


class Gateway:
    """An application served over HTTP.

    Attributes:
        fault_plan: Faults of the engines; "block" waits for `unblock`.
        unblock: Event that ends the fault "block".
        blocked: Event that is set when a request reaches the fault "block".
        key: Key of account a.
        other_account_key: Key of account b.
    """

    def __init__(self, fake_network):
        self.clock = clocks.ManualClock()
        self.fault_plan = engines.FaultPlan()
        self.unblock = gevent.event.Event()
        self.blocked = gevent.event.Event()
        self.fault_plan.actions["block"] = self.block
        issued = [key_format.issue("a"), key_format.issue("b")]
        self.key, self.other_account_key = (key.plaintext for key in issued)
        names = [("p1", "prefill"), ("d1", "decode"), ("d2", "decode")]
        register = pools.make_register(
            [
                pools.make_upstream(name, role, number)
                for number, (name, role) in enumerate(names)
            ],
            resume_secret="aa" * 32,
            max_body_bytes=1000,
        )
        stock = registers.Service(
            "stock", registers.ServiceKind.PLAIN, path_prefix="/stock"
        )
        self.configuration = engines.FakeTracker(
            self.fault_plan,
            register._replace(
                services={"summaries": pools.SERVICE, "stock": stock},
                client_accounts={
                    key.account: registers.ClientAccount(
                        key.account, 1000.0, 10_000, keys=(key.key,)
                    )
                    for key in issued
                },
            ),
        )
        self.configuration.routes = routes.RouteTable(
            self.configuration.register
        )
        self.keys = authenticator.Authenticator(self.configuration)
        self.engines = engines.FakeEngineClient(self.fault_plan, PROMPT)
        self.limiter = engines.RecordingLimiter(self.fault_plan)
        self.requests = inflight.InflightRequests("gw", 1, self.clock)
        self.calls = RecordingCallPipeline()
        self.pipeline = completion_pipeline.CompletionPipeline(
            self.clock,
            lambda: self.configuration.register,
            lambda: self.configuration.routes,
            self.limiter,
            engines.FakeScheduler(
                self.fault_plan, [("p1", "d1"), ("p1", "d2")]
            ),
            self.engines,
            dispatch_guard.DispatchGuard(
                self.configuration,
                engines.FakeHostList(self.configuration),
            ),
            reachability.Reachability(self.clock),
            budget.RetryBudget(self.clock, 0.2),
            metrics.NullMetrics(),
            "gw/1",
        )
        self.application = application.GatewayApplication(
            admission.Admission(self.configuration, self.keys, AlwaysReady()),
            self.pipeline,
            self.calls,
            self.requests,
            remote_cancel.RemoteCanceller(
                self.requests,
                fake_network.endpoint("gw", 1, "regina", "peer"),
                lambda _host, _incarnation: None,
                lambda: None,
            ),
            lambda: application.HostStatus(
                "gw", "regina", 1, 1, 0.0, [], 0, True
            ),
            metrics.NullMetrics(),
        )
        self.server = server.GatewayServer(
            "127.0.0.1:0", self.application.wsgi, max_connections=100
        )
        self.server.start()
        self.port = int(self.server.address.rpartition(":")[2])
        self.sockets = []

    def block(self):
        self.blocked.set()
        assert self.unblock.wait(WAIT.total_seconds())

    def block_at(self, step):
        """Blocks the request at a step until `unblock` is set."""
        self.fault_plan.faults[step].append("block")

    def withdraw(self):
        """Applies a register without keys in the same way as the daemon."""
        register = self.configuration.register
        self.configuration.register = register._replace(client_accounts={})
        self.requests.end_invalid_keys(
            self.keys.is_valid, results.KEY_WITHDRAWN
        )

    def connect(self, receive_buffer=0):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(WAIT.total_seconds())
        sock.connect(("127.0.0.1", self.port))
        self.sockets.append(sock)
        return sock

    def send_raw(self, *parts):
        """Sends bytes on a new connection; returns a response and its body."""
        sock = self.connect()
        sock.sendall(b"".join(parts))
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        return answer, answer.read()

    def http(self):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=WAIT.total_seconds()
        )
        self.sockets.append(connection)
        return connection

    def request(self, method, path, body=None, key="", headers=(), via=None):
        """Sends a request; returns its response with an unread body."""
        connection = via or self.http()
        fields = {"Authorization": f"Bearer {key or self.key}"}
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {**fields, **dict(headers)})
        return connection.getresponse()

    def request_head(self, method, path, *fields):
        """Returns the encoded head of a request with the key of account a."""
        lines = [f"{method} {path} HTTP/1.1", "Host: gateway"]
        lines += [f"Authorization: Bearer {self.key}", *fields, "", ""]
        return "\r\n".join(lines).encode("latin-1")

    def wait_settled(self):
        assert self.requests.wait_idle(WAIT)
        assert self.pipeline.background.join(WAIT.total_seconds())

    def check_unchanged(self):
        """Checks that nothing was executed, charged or left in progress."""
        assert self.requests.handles == {}
        assert self.limiter.reserved == []
        assert self.engines.sent == []
        assert self.calls.calls == []

    def check_released(self):
        """Checks that finished requests released memory, streams and tokens."""
        assert self.requests.handles == {}
        assert self.engines.held_memory == {}
        assert self.engines.open_streams == 0
        assert len(self.limiter.settled) == len(self.limiter.reserved)

    def close(self):
        self.unblock.set()
        for resource in self.sockets:
            resource.close()
        self.server.close()
