"""Guards streams: prefill and decode, whole events, resume and release."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.forwarding import decode_stage
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}


def ask(fleet, target="/write/a", **fields):
    return fleet.ask(target, "POST", b"prompt", **SIZES, **fields)


def tokens(response):
    return [
        int(line.rpartition(b" ")[2])
        for line in response.body.splitlines()
        if line.startswith(b"data:")
    ]


def prefer(fleet, name):
    """Makes all other decode engines look busy."""
    for other, found in fleet.runners.items():
        if found.stage == "decode" and other != name:
            fleet.daemon.parts.loads.add(other, 500)


def test_prompt_is_read_at_one_engine_and_generated_at_another(engines):
    response = ask(engines)

    assert response.status == 200
    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]
    (name,) = engines.runs()
    (run,) = engines.runners[name].runs
    prefill = engines.runners["p-1"]
    (handle,) = prefill.handles
    assert run["fields"]["x-kv-source"] == f"{prefill.address}/{handle}"
    assert response.fields["x-server-seal"] == f"seal-{name}-r1"


def test_events_are_relayed_as_they_come(engines):
    for found in engines.runners.values():
        found.event_gap_s = 0.2
    caller = engines.caller()
    caller.send("/write/a", "POST", b"prompt", **SIZES)

    parts = caller.read_parts()
    next(parts)
    first = next(parts)

    assert first == b"id: 1\ndata: token 1\n\n"


@pytest.mark.parametrize("fault", ["crash", "stall"])
def test_resumable_stream_goes_on_without_a_gap_or_a_repeat(
    engines, fault, monkeypatch
):
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.2)
    monkeypatch.setattr(decode_stage, "STALL_GAPS", 0.1)
    engines.runners["d-1"].fault = fault
    prefer(engines, "d-1")

    response = ask(engines)

    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]
    assert response.fields["x-server-seal"] == "seal-d-1-r1"
    (run,) = engines.runners["d-2"].runs
    assert run["fields"]["last-event-id"] == "2"


def test_stream_that_ran_long_waits_for_room_to_go_on(engines, monkeypatch):
    """The caller's patience counts from the last event, not its request."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.6)
    monkeypatch.setattr(decode_stage, "STALL_GAPS", 0.1)
    monkeypatch.setattr(decode_stage, "FIRST_EVENT_PART", 1.0)
    route = engines.daemon.tracker.policy.find_route("api.example", "/write/")
    monkeypatch.setattr(type(route), "patience_s", 1.0)
    engines.runners["d-1"].fault = "stall"
    engines.runners["d-1"].event_gap_s = 0.5
    prefer(engines, "d-1")
    loads = engines.daemon.parts.loads
    asked = gevent.spawn(ask, engines)
    engines.wait(lambda: engines.runs())
    loads.add("d-2", 9000)
    engines.wait(lambda: engines.daemon.parts.queue.waiters)
    assert not asked.ready()

    loads.remove("d-2", 9000)

    response = asked.get(timeout=3)
    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]


def test_stream_that_may_not_be_resumed_is_cut_and_looks_cut(engines):
    engines.runners["d-1"].fault = "crash"
    prefer(engines, "d-1")

    response = ask(engines, "/once/a")

    assert not response.complete
    assert tokens(response) == [1, 2]
    assert engines.runs() == {"d-1": ["r1"]}


def test_caller_s_own_resume_is_passed_on(engines):
    response = ask(engines, Last_Event_Id="2")

    assert tokens(response) == [3, 4]


def test_engine_that_is_down_costs_no_prompt(engines):
    engines.runners["d-1"].close()
    prefer(engines, "d-1")

    response = ask(engines)

    assert response.complete
    assert len(engines.runners["p-1"].handles) == 1


@pytest.fixture
def many_hosts(engines, monkeypatch):
    """The host believes that many others choose engines beside it."""
    monkeypatch.setattr(
        engines.daemon.parts.engine_placer.sampler, "hosts", lambda: 70
    )


@pytest.mark.usefixtures("many_hosts")
def test_room_is_reserved_before_the_prompt_is_read(engines):
    response = ask(engines)

    assert response.complete
    (name,) = engines.runs()
    runner = engines.runners[name]
    assert runner.held == [{"tokens": 1000, "ttl_ms": 2000}]
    assert runner.runs[0]["fields"]["x-kv-hold"] == "k1"


@pytest.mark.usefixtures("many_hosts")
def test_full_engine_costs_no_prompt_and_no_attempt(engines):
    engines.runners["d-1"].fault = "full"
    prefer(engines, "d-1")

    response = ask(engines, "/once/a")

    assert response.complete
    assert engines.runs() == {"d-2": ["r1"]}
    assert len(engines.runners["p-1"].handles) == 1


def test_prompt_of_an_engine_that_refuses_is_used_at_another(engines):
    engines.runners["d-1"].fault = "full"
    prefer(engines, "d-1")

    response = ask(engines)

    assert response.complete
    assert engines.runs() == {"d-2": ["r1"]}
    assert len(engines.runners["p-1"].handles) == 1


def test_decode_engine_reads_the_prompt_without_a_prefill_engine(engines):
    engines.runners["p-1"].close()

    response = ask(engines)

    assert response.complete
    (name,) = engines.runs()
    (run,) = engines.runners[name].runs
    assert "x-kv-source" not in run["fields"]


def test_next_prompt_waits_until_the_engine_s_streams_went_on(fleet):
    """Two prompts in a row would double the pause of the engine's streams."""
    fleet.add_runner("d-1", "llm", "decode").event_gap_s = 0.2
    fleet.start()
    caller = fleet.caller()
    caller.send("/write/a", "POST", b"prompt", **SIZES)
    parts = caller.read_parts()
    loads = fleet.daemon.parts.loads

    for _ in ("head", "first event"):
        next(parts)
    assert loads.load("d-1/prompt").requests == 1

    next(parts)
    fleet.wait(lambda: not loads.load("d-1/prompt").requests)
    assert loads.load("d-1").requests == 1


def test_hanging_engine_is_given_up_before_the_caller_leaves(engines):
    engines.runners["d-1"].fault = "hang"
    prefer(engines, "d-1")

    with gevent.Timeout(1.5):
        response = ask(engines)

    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]
    engines.wait(lambda: engines.runners["d-1"].running == 0)


def test_engine_is_released_when_the_caller_leaves(engines):
    for found in engines.runners.values():
        found.events = 100
        found.event_gap_s = 0.05
    caller = engines.caller()
    caller.send("/write/a", "POST", b"prompt", **SIZES)
    engines.wait(lambda: len(engines.runs()) == 1)

    caller.close()

    (name,) = engines.runs()
    ended = engines.runners[name].ended
    engines.wait(lambda: ("r1", "closed") in ended)
    engines.wait(lambda: not engines.daemon.parts.loads.own)


def test_unused_prompt_memory_is_freed(engines):
    engines.runners["p-1"].work_s = 0.2
    for name in ("d-1", "d-2"):
        engines.runners[name].fault = "full"

    response = ask(engines, "/once/a")

    assert response.status == 503
    engines.wait(lambda: len(engines.runners["p-1"].freed) == 1)


def test_request_that_can_t_be_in_time_is_refused_at_once(engines):
    for name in ("d-1", "d-2"):
        for _ in range(8):
            engines.daemon.parts.loads.add(name, 1000)
    for _ in range(20):
        engines.daemon.parts.queue.backlog.enter("llm")

    with gevent.Timeout(0.5):
        response = ask(engines)

    assert response.status == 503
    assert response.code == "overloaded"
    assert 0 < float(response.fields["retry-after"]) <= 4.0 / 3
    assert not engines.runners["p-1"].handles


@pytest.fixture
def crowded(engines):
    """Engines without room, for which many requests wait."""
    loads = engines.daemon.parts.loads
    for name in ("d-1", "d-2"):
        for _ in range(8):
            loads.add(name, 1000)
    for _ in range(20):
        engines.daemon.parts.queue.backlog.enter("llm")
    return engines


def test_new_request_with_a_short_deadline_is_refused_at_once(crowded):
    """Callers choose deadlines shorter than the route's longest."""
    with gevent.Timeout(0.5):
        response = ask(crowded, X_Deadline_Ms="3000")

    assert response.status == 503


def test_request_that_comes_back_waits_while_its_caller_does(crowded):
    """It was told to come back; newer ones would always go first."""
    assert ask(crowded, request_id="r1").status == 503
    again = gevent.spawn(ask, crowded, request_id="r2")
    crowded.wait(lambda: crowded.daemon.parts.queue.waiters)
    gevent.sleep(1.0)
    assert not again.ready()

    for _ in range(20):
        crowded.daemon.parts.queue.backlog.leave("llm")
    for _ in range(8):
        crowded.daemon.parts.loads.remove("d-1", 1000)

    assert again.get(timeout=2).complete


def test_request_that_comes_back_lets_those_in_time_go_first(crowded):
    """Room that it takes from them would make their answers late as well."""
    assert ask(crowded, request_id="r1").status == 503
    again = gevent.spawn(ask, crowded, request_id="r2")
    crowded.wait(lambda: crowded.daemon.parts.queue.waiters)
    for _ in range(20):
        crowded.daemon.parts.queue.backlog.leave("llm")
    new = gevent.spawn(ask, crowded, "/write/b", request_id="r3")
    crowded.wait(lambda: len(crowded.daemon.parts.queue.waiters) == 2)

    crowded.daemon.parts.loads.remove("d-1", 1000)

    assert new.get(timeout=2).complete
    assert again.get(timeout=4).complete
    (runner,) = [each for each in crowded.runners.values() if each.runs]
    assert [run["id"] for run in runner.runs] == ["r3", "r2"]


def test_request_waits_for_room_within_its_objective(engines):
    loads = engines.daemon.parts.loads
    for name in ("d-1", "d-2"):
        loads.add(name, 9000)
    asked = gevent.spawn(ask, engines)
    gevent.sleep(0.1)
    assert not engines.runs()

    loads.remove("d-1", 9000)

    assert asked.get(timeout=2).complete
    assert engines.runs() == {"d-1": ["r1"]}


def test_request_that_breaks_every_engine_is_stopped(engines):
    """The same content comes again and again, from any caller's attempt."""
    for name in ("d-1", "d-2"):
        engines.runners[name].fault = "crash"
    statuses = [
        ask(engines, request_id=f"r{number}").complete for number in range(2)
    ]
    assert statuses == [False, False]
    ran = sum(len(found.runs) for found in engines.runners.values())

    response = ask(engines, request_id="r9")

    assert response.status == 503
    assert response.code == "repeated-breaks"
    assert sum(len(found.runs) for found in engines.runners.values()) == ran


def test_stream_of_a_service_without_stages_is_relayed(fleet):
    runner = fleet.add_runner("i-1", "llm", "decode")
    entry = runner.registration()
    del entry["stage"]
    fleet.store.put("servers", "i-1", documents.encoded(entry))
    fleet.start()

    response = ask(fleet)

    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]
