"""Tests streams whose engines fall silent for a while and go on."""

from __future__ import annotations

import math
import time

import gevent
import pytest

from coltsfootarch.forwarding import decode_stage
from coltsfootarch.http1 import messages
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}
SILENCE_S = 1.0
STREAM_TIMEOUT_S = 4.0
EVENTS = 4


@pytest.fixture
def engines(engines, monkeypatch):
    """Engines that are silent for too long after 0.2 s."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.2)
    monkeypatch.setattr(decode_stage, "STALL_GAP_MULTIPLE", 0.1)
    for name in ("d-1", "d-2"):
        engines.runners[name].event_gap_s = 0.05
    return engines


class Stream:
    """A streamed request and what its caller has received so far."""

    def __init__(self, edge_host, target="/write/a", request_id="r1", **fields):
        self.edge_host = edge_host
        self.caller = edge_host.caller()
        self.body = b""
        self.status = None
        self.complete = False
        self.caller.send(
            target,
            "POST",
            b"prompt",
            request_id=request_id,
            **SIZES,
            **fields,
        )
        self.reader = gevent.spawn(self.read)

    def read(self):
        for part in self.caller.read_parts():
            if part is None:
                self.complete = True
            elif isinstance(part, messages.ResponseHead):
                self.status = part.status
            else:
                self.body += part

    @property
    def events(self):
        lines = self.body.splitlines()
        data = [line for line in lines if line.startswith(b"data:")]
        return [int(line.rpartition(b" ")[2]) for line in data]

    def wait_for_event(self):
        self.edge_host.wait(lambda: self.events)
        return self

    def check(self, count=EVENTS):
        """Checks that it ends with each event once and in order."""
        self.reader.get(timeout=STREAM_TIMEOUT_S)
        assert self.status == 200
        assert self.complete
        assert self.events == list(range(1, count + 1))


def prefer(edge_host, name):
    """Adds load to the other decode engine, so that this one is chosen."""
    other = "d-2" if name == "d-1" else "d-1"
    edge_host.daemon.context.loads.add(other, 500)


def start_on(edge_host, name, **arguments):
    """Returns a stream that has got an event from an engine."""
    prefer(edge_host, name)
    stream = Stream(edge_host, **arguments).wait_for_event()
    assert name in edge_host.runs()
    return stream


def fill(edge_host, name):
    """Leaves no room at an engine."""
    for _ in range(8):
        edge_host.daemon.context.loads.add(name, 1000)


def empty(edge_host, name):
    """Ends what `fill` does."""
    for _ in range(8):
        edge_host.daemon.context.loads.remove(name, 1000)


def wait_for_preparation(edge_host, name):
    """Waits until a stream waits for room at another engine."""
    context = edge_host.daemon.context
    edge_host.wait(
        lambda: (
            name in context.outcome_tracker.activity.silences
            and context.queue.waiters
        )
    )


def check_released(edge_host):
    """Checks that nothing is left of the streams and their preparations."""
    context = edge_host.daemon.context
    activity = context.outcome_tracker.activity
    edge_host.wait(
        lambda: (
            not (context.queue.waiters or activity.silences or activity.streams)
        )
    )
    loads = {name: load.requests for name, load in context.loads.own.items()}
    assert all(requests in (1, 8, 9) for requests in loads.values()), loads
    assert not any("prompt" in name for name in loads), loads


def retries(edge_host):
    """Returns how many retries were taken from the budget."""
    return len(edge_host.daemon.context.budget.window("llm").retries)


def configure(edge_host, version, **write):
    """Changes the route of the streams, and waits until this is in force."""
    document = documents.configuration(version)
    for route in document["routes"]:
        if route["name"] == "write":
            route.update(write)
    edge_host.configure(document)
    tracker = edge_host.daemon.policy_tracker
    edge_host.wait(lambda: tracker.policy.version == version)


@pytest.mark.parametrize("within_event", [False, True])
def test_streams_go_on_after_a_silence_of_all_engines(engines, within_event):
    """Guards against streams that are cut since no engine has room."""
    streams = [Stream(engines, request_id=f"r{n}") for n in range(6)]
    for stream in streams:
        stream.wait_for_event()
    for name in ("d-1", "d-2"):
        fill(engines, name)
        engines.runners[name].silent_within_event = within_event
        engines.runners[name].fall_silent(SILENCE_S)

    for stream in streams:
        stream.reader.join(STREAM_TIMEOUT_S)
    cut = [stream for stream in streams if not stream.complete]
    assert not cut, f"{len(cut)} of {len(streams)} streams were cut"
    for stream in streams:
        stream.check()
    check_released(engines)
    assert retries(engines) == 0


def test_no_stream_is_moved_to_an_engine_that_is_silent_too(engines):
    """Guards against attempts that are spent on an engine without answer."""
    streams = [Stream(engines, request_id=f"r{n}") for n in range(4)]
    for stream in streams:
        stream.wait_for_event()
    assert len(engines.runs()) == 2
    for name in ("d-1", "d-2"):
        engines.runners[name].fall_silent(SILENCE_S)

    for stream in streams:
        stream.check()

    assert sum(map(len, engines.runs().values())) == 4
    assert retries(engines) == 0


def test_no_stream_is_moved_to_an_engine_that_falls_silent_soon_after(engines):
    """Guards against moves that trust in a connection, which needs no engine.

    A stopped process still gets connections. Without reservations, only its
    other streams show whether it runs.
    """
    document = documents.configuration(2)
    del document["services"][0]["engine"]["hold_ms"]
    engines.configure(document)
    tracker = engines.daemon.policy_tracker
    engines.wait(lambda: tracker.policy.version == 2)
    for name in ("d-1", "d-2"):
        engines.runners[name].events = 12
    streams = [Stream(engines, request_id=f"r{n}") for n in range(4)]
    for stream in streams:
        stream.wait_for_event()
    at_first = engines.runs()["d-2"]
    engines.runners["d-1"].fall_silent(SILENCE_S)
    gevent.sleep(0.15)
    engines.runners["d-2"].fall_silent(SILENCE_S)

    for stream in streams:
        stream.check(12)

    assert engines.runs()["d-2"] == at_first


def test_request_goes_on_after_a_silence_before_its_first_event(engines):
    """Guards against a 502 for a request that its engine still answers."""
    prefer(engines, "d-1")
    engines.runners["d-1"].event_gap_s = 0.3
    stream = Stream(engines)
    engines.wait(lambda: engines.runs())
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    check_released(engines)


def test_silent_stream_without_retry_budget_goes_on(engines):
    """Guards against streams that are given up and can't be sent again."""
    stream = start_on(engines, "d-1")
    budget = engines.daemon.context.budget
    while budget.spend("llm"):
        pass
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    check_released(engines)


def test_silent_stream_moves_once_the_retry_budget_allows_it(engines):
    """Guards against a search that ends at the first refusal."""
    stream = start_on(engines, "d-1")
    window = engines.daemon.context.budget.window("llm")
    while engines.daemon.context.budget.spend("llm"):
        pass
    engines.runners["d-1"].fall_silent(3.0)
    engines.wait(
        lambda: engines.daemon.context.outcome_tracker.activity.silences
    )

    window.retries.clear()

    stream.check()
    assert engines.runs() == {"d-1": ["r1"], "d-2": ["r1"]}


@pytest.mark.parametrize("within_event", [False, True])
def test_silent_stream_moves_to_an_engine_with_room(engines, within_event):
    """Guards against events that are lost, or sent twice, by the move."""
    stream = start_on(engines, "d-1")
    engines.runners["d-1"].silent_within_event = within_event
    engines.runners["d-1"].fall_silent(SILENCE_S)

    engines.wait(lambda: "d-2" in engines.runs())

    # The silent engine works on it beside the other one for less than 0.4 s.
    (run,) = engines.runners["d-2"].runs
    ended = engines.runners["d-1"].ended_executions
    engines.wait(lambda: ended or time.monotonic() > run["at"] + 0.35)
    assert ended == [("r1", "closed")]
    assert run["fields"]["last-event-id"] in ("1", "2")
    assert run["fields"]["x-kv-hold"] == "k1"
    stream.check()
    assert retries(engines) == 1
    check_released(engines)


def test_stream_whose_engine_goes_on_isn_t_moved(engines):
    """Guards against a late move, and against what a search leaves behind."""
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(math.inf)
    wait_for_preparation(engines, "d-1")
    engines.runners["d-1"].fall_silent(0.0)
    engines.wait(lambda: not engines.daemon.context.queue.waiters)

    empty(engines, "d-2")

    stream.check()
    assert engines.runs() == {"d-1": ["r1"]}
    assert not engines.runners["d-2"].reservations
    assert retries(engines) == 0
    check_released(engines)


def test_stream_whose_engine_goes_on_during_a_reservation_isn_t_moved(engines):
    """Guards against a move for which the other engine isn't ready."""
    stream = start_on(engines, "d-1")
    engines.runners["d-2"].fall_silent(SILENCE_S)
    engines.runners["d-1"].fall_silent(0.35)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    assert retries(engines) == 0
    check_released(engines)


@pytest.mark.parametrize("step", ["room", "reservation"])
def test_caller_that_leaves_ends_stream_and_search(engines, step):
    """Guards against work for a caller that has left a silent stream."""
    stream = start_on(engines, "d-1")
    if step == "room":
        fill(engines, "d-2")
    else:
        engines.runners["d-2"].fall_silent(SILENCE_S)
    engines.runners["d-1"].fall_silent(SILENCE_S)
    if step == "room":
        wait_for_preparation(engines, "d-1")
    else:
        loads = engines.daemon.context.loads
        engines.wait(lambda: loads.load("d-2").requests == 2)

    stream.caller.close()

    ended = engines.runners["d-1"].ended_executions
    engines.wait(lambda: ended == [("r1", "closed")])
    check_released(engines)
    assert "d-2" not in engines.runs()


def test_refused_reservation_leaves_the_stream_at_its_engine(engines):
    """Guards against streams that are cut since no other engine takes them."""
    stream = start_on(engines, "d-1")
    engines.runners["d-2"].fault = "full"
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    assert engines.runners["d-2"].arrivals > 0
    assert engines.runners["d-2"].refused == 0
    assert retries(engines) == 0
    check_released(engines)


def test_refusal_after_the_move_is_tried_again(engines):
    """Guards against a stream that ends with attempts left."""
    # One of the attempts is the second prefill.
    configure(engines, 2, max_attempts=4)
    stream = start_on(engines, "d-1")
    # It reserves memory and refuses the request nevertheless.
    engines.runners["d-2"].slots = 0
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runners["d-2"].refused == 1
    assert engines.runs() == {"d-1": ["r1", "r1"]}
    check_released(engines)


def test_stream_that_could_not_end_in_time_elsewhere_stays(engines):
    """Guards against a move after which the time of the call is too short."""
    queue = engines.daemon.context.queue
    queue.backlog.mean_durations["llm"] = 0.8
    stream = start_on(engines, "d-1", X_Deadline_Ms="1500")
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(0.8)
    wait_for_preparation(engines, "d-1")

    engines.wait(lambda: not queue.waiters)
    assert engines.daemon.context.outcome_tracker.activity.silences
    empty(engines, "d-2")

    stream.check()
    assert engines.runs() == {"d-1": ["r1"]}
    assert retries(engines) == 0
    check_released(engines)


def test_unreachable_engines_leave_the_stream_at_its_engine(engines):
    """Guards against failed connections that end a stream."""
    stream = start_on(engines, "d-1")
    engines.runners["d-2"].close()
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert retries(engines) == 0
    check_released(engines)


def test_engine_that_drains_meanwhile_gets_no_stream(engines):
    """Guards against a move to an engine that is about to stop."""
    stream = start_on(engines, "d-1")
    draining = engines.runners["d-2"]
    draining.fall_silent(SILENCE_S)
    engines.runners["d-1"].fall_silent(SILENCE_S)
    loads = engines.daemon.context.loads
    engines.wait(lambda: loads.load("d-2").requests == 2)

    draining.state = "draining"
    engines.register(draining)
    directory = engines.daemon.context.directory
    engines.wait(lambda: not directory.is_serving("d-2"))
    draining.silent_until = 0.0

    stream.check()
    assert draining.reservations
    assert engines.runs() == {"d-1": ["r1"]}
    assert retries(engines) == 0


def test_silences_one_after_another(engines):
    """Guards against a stream that is cut at its last attempt."""
    stream = start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(3.0)
    engines.wait(lambda: "d-2" in engines.runs())
    engines.runners["d-2"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"], "d-2": ["r1"]}
    assert retries(engines) == 1
    check_released(engines)


def test_engine_that_is_silent_several_times_keeps_its_stream(engines):
    """Guards against a search that the one before has left incomplete."""
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    for _ in range(2):
        engines.runners["d-1"].fall_silent(0.4)
        wait_for_preparation(engines, "d-1")
        engines.wait(lambda: not engines.daemon.context.queue.waiters)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    check_released(engines)


def test_stream_with_no_attempt_left_goes_on(engines):
    """Guards against a search beyond the attempts of the route."""
    configure(engines, 2, max_attempts=1)
    stream = start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(SILENCE_S)

    stream.check()

    assert engines.runs() == {"d-1": ["r1"]}
    assert not engines.runners["d-2"].arrivals


@pytest.mark.parametrize("room", [False, True])
@pytest.mark.parametrize(
    "change",
    [
        {"timeout_ms": 1000, "target_latency_ms": 500},
        {"max_attempts": 1, "resumable": False},
        {"gap_target_ms": 50},
        {"service": "app"},
    ],
    ids=["timeout", "attempts", "gap", "service"],
)
def test_change_of_the_configuration_ends_no_silent_stream(
    engines, change, room
):
    """Guards against a stream that ends by a route newer than itself."""
    stream = start_on(engines, "d-1")
    if not room:
        fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(SILENCE_S)

    configure(engines, 2, **change)

    stream.check()
    assert ("d-2" in engines.runs()) == room
    check_released(engines)


def test_silent_stream_whose_connection_breaks_is_sent_again(engines):
    """Guards against waiting for an engine that is gone."""
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(3.0)
    wait_for_preparation(engines, "d-1")

    engines.runners["d-1"].server.close_connections()
    activity = engines.daemon.context.outcome_tracker.activity
    engines.wait(lambda: not activity.streams)
    empty(engines, "d-2")

    stream.check()
    assert engines.runs() == {"d-1": ["r1"], "d-2": ["r1"]}
    assert retries(engines) == 1
    check_released(engines)


def test_crash_of_a_silent_engine_is_counted_once(engines):
    """Guards against crashes that are found late, or counted twice."""
    entry = {**engines.runners["d-1"].registration(), "born": 1}
    engines.store.put("servers", "d-1", documents.encoded(entry))
    known = engines.daemon.upstreams.upstreams
    engines.wait(lambda: known["d-1"].incarnation)
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    server = engines.runners["d-1"].server
    server.acceptor.kill()
    server.sock.close()
    engines.runners["d-1"].fall_silent(3.0)
    breaks = engines.daemon.context.break_counts.breaks

    engines.wait(lambda: breaks)
    server.close_connections()
    activity = engines.daemon.context.outcome_tracker.activity
    engines.wait(lambda: not activity.streams)
    (counted,) = breaks.values()
    assert len(counted.causes) == 1
    empty(engines, "d-2")

    stream.check()


def test_end_of_the_host_ends_a_silent_stream_at_once(engines):
    """Guards against a host that waits for a silent engine as it stops."""
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(3.0)
    wait_for_preparation(engines, "d-1")

    engines.daemon.forwarder.interrupt_calls()

    stream.reader.get(timeout=0.5)
    assert not stream.complete
    check_released(engines)


def test_silent_engine_gets_no_new_requests_until_it_goes_on(engines):
    """Guards against requests for a silent engine, and its loss for long."""
    configure(engines, 2, max_attempts=1)
    stream = start_on(engines, "d-1")
    fill(engines, "d-2")
    engines.runners["d-1"].fall_silent(SILENCE_S)
    activity = engines.daemon.context.outcome_tracker.activity
    # A route with further attempts, so that the silence is noticed.
    configure(engines, 3)
    silent = Stream(engines, request_id="r2")
    engines.wait(lambda: activity.is_silent("d-1"))
    empty(engines, "d-2")
    engines.daemon.context.loads.add("d-2", 3000)

    Stream(engines, request_id="r3").check()
    assert "r3" in engines.runs()["d-2"]
    stream.check()
    silent.check()

    Stream(engines, request_id="r4").check()
    assert "r4" in engines.runs()["d-1"]


def test_refusal_of_the_replacement_costs_no_stream(engines):
    """Guards against closing the old exchange before the new one is taken."""
    document = documents.configuration(2)
    del document["services"][0]["engine"]["hold_ms"]
    engines.configure(document)
    engines.wait(lambda: engines.daemon.policy_tracker.version() == 2)
    engines.runners["d-2"].fault = "full"
    stream = start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)
    engines.wait(lambda: engines.runners["d-2"].refused)
    engines.runners["d-1"].fall_silent(0.0)

    stream.check()
    assert engines.runners["d-2"].refused == 1
    assert engines.runs() == {"d-1": ["r1"]}
    check_released(engines)
