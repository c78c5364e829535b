"""Tests that no stream goes on at another version of the software."""

from __future__ import annotations

import pytest

from coltsfootarch.platform import stream_records
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}
VERSIONS = {"d-1": "v1", "d-3": "v1", "d-2": "v2", "d-4": "v2", "": ""}


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
    daemon = edge_host.daemon
    edge_host.wait(lambda: len(daemon.upstreams.upstreams) >= 5)
    edge_host.wait(
        lambda: all(
            map(daemon.versions.is_open, daemon.upstreams.upstreams.values())
        )
    )


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


def version_of(edge_host, request_id):
    """Returns the version that ran a request; empty if none did."""
    return VERSIONS[engine_of(edge_host, request_id)]


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
    assert version_of(two_versions, "r2") == VERSIONS[engine]


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
    two_versions.runners["d-1"].fault = "cut head"
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


def begin_at(edge_host, engine, request_id="r1"):
    """Begins a stream at an engine; takes the load away again."""
    prefer(edge_host, engine)
    assert begin(edge_host, request_id) == engine
    unload(edge_host)


def test_stream_is_taken_up_again_at_the_version_that_began_it(two_versions):
    """Callers go on to name the attempt that brought the first event."""
    begin_at(two_versions, "d-2")
    prefer(two_versions, "d-1")
    begin(two_versions, "r2", Last_Event_Id="2", Resumes="r1")
    two_versions.restart()
    prefer(two_versions, "d-1")

    response = take_up(two_versions, request_id="r3", after="4")

    assert response.status == 200
    assert version_of(two_versions, "r3") == "v2"


@pytest.mark.parametrize("resumes", ["", "r" * 300])
def test_stream_that_is_not_named_is_refused_with_two_versions(
    two_versions, resumes
):
    begin_at(two_versions, "d-2")

    response = take_up(two_versions, resumes)

    assert response.status == 503
    assert response.code == "stream-version-unknown"
    assert not engine_of(two_versions, "r2")


def test_stream_that_is_not_recorded_is_of_the_base_version(two_versions):
    prefer(two_versions, "d-2")

    response = take_up(two_versions, "begun-before")

    assert response.status == 200
    assert version_of(two_versions, "r2") == "v1"


def test_stream_is_taken_up_without_a_name_while_there_is_one_version(engines):
    response = take_up(engines, "")

    assert response.status == 200


def test_stream_begins_at_the_base_version_while_the_store_is_away(
    two_versions,
):
    """Without a record any host would take it for one of the base version."""
    two_versions.store.mode = "reset"
    prefer(two_versions, "d-2")

    response = two_versions.ask("/write/a", "POST", b"prompt", **SIZES)

    assert response.complete
    engine = response.fields["x-server-seal"].removeprefix("seal-")[:3]
    assert VERSIONS[engine] == "v1"


def test_take_up_is_refused_while_its_version_can_not_be_looked_up(
    two_versions,
):
    begin_at(two_versions, "d-2")
    two_versions.restart()
    two_versions.store.mode = "reset"

    response = take_up(two_versions)

    assert response.code == "stream-version-unknown"
    assert "retry-after" in response.fields
    assert not engine_of(two_versions, "r2")


def test_stream_whose_record_was_lost_is_not_taken_for_another_version(
    two_versions,
):
    """Guards against joined streams after the store was restored."""
    copied = two_versions.store.revision
    begin_at(two_versions, "d-2")
    two_versions.daemon.close()
    two_versions.store.restore(copied)
    two_versions.start()

    response = take_up(two_versions)

    assert response.code == "stream-version-unknown"
    assert not engine_of(two_versions, "r2")


def test_prompt_is_looked_for_at_the_engines_while_the_store_is_away(
    two_versions,
):
    """Guards against take-ups that are all refused meanwhile."""
    prefer(two_versions, "d-2")
    assert begin(two_versions, X_Prefix_Hash="aa:900,bb:100") == "d-2"
    two_versions.restart()
    two_versions.store.mode = "reset"
    prefer(two_versions, "d-1")

    response = take_up(two_versions, X_Prefix_Hash="aa:900,bb:100")

    assert response.status == 200
    assert version_of(two_versions, "r2") == "v2"


@pytest.mark.parametrize(
    ("also_held", "code"), [((), None), (("d-1",), "stream-version-unknown")]
)
def test_stream_whose_record_was_lost_goes_on_where_its_prompt_is_held(
    two_versions, also_held, code
):
    """Guards against take-ups that are all refused after a restoration."""
    copied = two_versions.store.revision
    prefer(two_versions, "d-2")
    assert begin(two_versions, X_Prefix_Hash="aa:900,bb:100") == "d-2"
    two_versions.daemon.close()
    two_versions.store.restore(copied)
    two_versions.start()
    for name in also_held:
        two_versions.runners[name].held.add("bb")
    prefer(two_versions, "d-1")

    response = take_up(two_versions, X_Prefix_Hash="aa:900,bb:100")

    if code:
        assert response.code == code
    else:
        assert response.status == 200
        assert version_of(two_versions, "r2") == "v2"


def test_record_that_was_lost_is_written_again(two_versions):
    store = two_versions.store
    copied = store.revision
    begin_at(two_versions, "d-2")
    store.restore(copied)
    two_versions.wait(
        lambda: any(
            table == stream_records.STREAM_TABLE for table, _, _ in store.rows
        )
    )
    two_versions.restart()

    response = take_up(two_versions)

    assert response.status == 200
    assert version_of(two_versions, "r2") == "v2"


def test_nothing_is_recorded_while_there_is_one_version(engines):
    """Guards against calls to the store for each stream."""
    for number in range(3):
        engines.ask(
            "/write/a", "POST", b"prompt", request_id=f"r{number}", **SIZES
        )

    assert stream_records.STREAM_TABLE not in {
        row.table for row in engines.store.history
    }
