"""Tests that no stream goes on at another version of the software."""

from __future__ import annotations

import gevent
import pytest

from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}


def prefer(edge_host, name):
    """Adds load to all other decode engines, so that this one is chosen."""
    loads = edge_host.daemon.context.loads
    for other, runner in edge_host.runners.items():
        if runner.stage == "decode" and other != name:
            loads.add(other, 500)


def unload(edge_host):
    """Takes the load of `prefer` away."""
    loads = edge_host.daemon.context.loads
    for other, runner in edge_host.runners.items():
        while runner.stage == "decode" and loads.load(other).requests:
            loads.remove(other, 500)


@pytest.fixture
def two_versions(edge_host):
    """A host and engines: d-1 and d-3 with v1, d-2 and d-4 with v2."""
    edge_host.add_runner("p-1", "llm", "prefill")
    for name in ("d-1", "d-3"):
        edge_host.add_runner(name, "llm", "decode")
    edge_host.start()
    for name in ("d-2", "d-4"):
        edge_host.add_runner(name, "llm", "decode", version="v2")
    await_versions(edge_host)
    for runner in edge_host.runners.values():
        runner.event_gap_s = 0.05
        runner.events = 6
    return edge_host


def await_versions(edge_host):
    """Waits until new streams may begin at all registered engines."""
    edge_host.wait(lambda: len(edge_host.daemon.upstreams.upstreams) >= 5)
    gevent.sleep(2.0)


def begin(edge_host, request_id="r1", events=2, target="/write/a", **fields):
    """Begins a stream, takes some events and leaves; returns its engine."""
    caller = edge_host.caller()
    caller.send(
        target, "POST", b"prompt", request_id=request_id, **SIZES, **fields
    )
    received = b""
    for part in caller.read_parts():
        if isinstance(part, bytes):
            received += part
        if received.count(b"data:") >= events:
            break
    caller.close()
    assert received.count(b"data:") >= events, received
    return engine_of(edge_host, request_id)


def engine_of(edge_host, request_id):
    """Returns the engine that ran a request last; empty if none did."""
    found = [
        name for name, ids in edge_host.runs().items() if request_id in ids
    ]
    return found[-1] if found else ""


def take_up(edge_host, resumes="r1", request_id="r2", after="2", **fields):
    return edge_host.ask(
        "/write/a",
        "POST",
        b"prompt",
        request_id=request_id,
        Last_Event_Id=after,
        Resumes=resumes,
        **SIZES,
        **fields,
    )


@pytest.mark.parametrize(("engine", "others"), [("d-1", "d-2"), ("d-2", "d-1")])
@pytest.mark.parametrize("is_restarted", [False, True])
def test_stream_is_taken_up_at_the_version_that_began_it(
    two_versions, engine, others, is_restarted
):
    """Guards against joined streams, also after all hosts were killed."""
    prefer(two_versions, engine)
    assert begin(two_versions) == engine
    unload(two_versions)
    if is_restarted:
        two_versions.restart()
    prefer(two_versions, others)

    response = take_up(two_versions)

    assert response.status == 200
    versions = {"d-1": "v1", "d-3": "v1", "d-2": "v2", "d-4": "v2"}
    assert versions[engine_of(two_versions, "r2")] == versions[engine]


@pytest.mark.parametrize("is_restarted", [False, True])
def test_stream_whose_version_has_left_is_refused_at_once(
    two_versions, is_restarted
):
    prefer(two_versions, "d-2")
    assert begin(two_versions) == "d-2"
    for name in ("d-2", "d-4"):
        two_versions.remove(name)
    upstreams = two_versions.daemon.upstreams
    two_versions.wait(lambda: len(upstreams.upstreams) == 3)
    if is_restarted:
        two_versions.restart()

    response = take_up(two_versions)

    assert response.status == 503
    assert not engine_of(two_versions, "r2")


def test_stream_that_breaks_goes_on_at_its_version_only(two_versions):
    two_versions.runners["d-1"].fault = "crash"
    prefer(two_versions, "d-1")
    two_versions.daemon.context.loads.add("d-3", 500)

    response = two_versions.ask("/write/a", "POST", b"prompt", **SIZES)

    assert response.complete
    assert two_versions.runs() == {"d-1": ["r1"], "d-3": ["r1"]}


def test_stream_that_breaks_is_cut_if_its_version_has_no_other_engine(
    two_versions,
):
    two_versions.remove("d-3")
    upstreams = two_versions.daemon.upstreams
    two_versions.wait(lambda: len(upstreams.upstreams) == 4)
    two_versions.runners["d-1"].fault = "crash"
    two_versions.runners["d-1"].down_s = 30.0
    prefer(two_versions, "d-1")

    response = two_versions.ask("/write/a", "POST", b"prompt", **SIZES)

    assert not response.complete
    assert "d-2" not in two_versions.runs()
    assert "d-4" not in two_versions.runs()


def test_attempt_without_an_event_may_change_its_version(two_versions):
    two_versions.runners["d-1"].fault = "reset"
    prefer(two_versions, "d-1")
    two_versions.remove("d-3")
    unload_other = two_versions.daemon.upstreams
    two_versions.wait(lambda: len(unload_other.upstreams) == 4)

    response = two_versions.ask("/write/a", "POST", b"prompt", **SIZES)

    assert response.complete
    engine = engine_of(two_versions, "r1")
    unload(two_versions)
    two_versions.restart()
    prefer(two_versions, "d-1")
    assert take_up(two_versions).status == 200
    assert {engine, engine_of(two_versions, "r2")} <= {"d-2", "d-4"}


def test_streams_that_can_not_be_taken_up_need_no_version(two_versions):
    document = documents.configuration(2)
    two_versions.configure(document)
    prefer(two_versions, "d-2")

    response = two_versions.ask("/once/a", "POST", b"prompt", **SIZES)

    assert response.complete
