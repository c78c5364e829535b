"""Tests that incomplete, misdirected or repeated answers are errors."""

from __future__ import annotations

import contextlib
import datetime

import gevent
import pytest

from coltsfootarch import errors
from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import engine_client
from standins import engine as engine_standin
from standins import engine_memory

SECOND = datetime.timedelta(seconds=1)
PROMPT = "Referral note: hip fracture.\nSummarise."
PROFILE = engine_memory.EngineProfile(
    cache_event_delay=0.0, load_lag=0.01, export_lifetime=5.0
)
OWNER = "host-1/1700000000000"


@pytest.fixture
def start(running):
    def start_engine(role, profile=PROFILE, **options):
        return running(
            engine_standin.EngineStandin(
                role, profile=profile, time_scale=0.01, **options
            )
        )

    return start_engine


@pytest.fixture
def prefill_engine(start):
    return start("prefill")


@pytest.fixture
def decode_engine(start):
    return start("decode")


@pytest.fixture
def client():
    """Client with deadlines long enough for a busy machine."""
    return engine_client.HttpEngineClient(10 * SECOND, 10 * SECOND)


@pytest.fixture
def short_timeout_client():
    """Client for tests in which a deadline passes."""
    return engine_client.HttpEngineClient(SECOND, 0.4 * SECOND)


def request_of(prompt=PROMPT, attempt=1, max_tokens=12, **fields):
    return engine.EngineRequest(
        "request-1", attempt, OWNER, prompt, max_tokens, 0, **fields
    )


def text_of(events):
    return "".join(event.text for event in events)


def test_complete_answer_has_identity_and_offsets(
    client, prefill_engine, decode_engine
):
    request = request_of()
    source = client.prefill(prefill_engine.address, request)
    events = list(client.decode(decode_engine.address, request, source))

    assert text_of(events) == engine_standin.expected_text(PROMPT, 12)
    assert sum(event.tokens for event in events) == 12
    assert [event.finished for event in events][-1]
    assert {(e.request_id, e.attempt) for e in events} == {("request-1", 1)}
    assert client.requests(prefill_engine.address) == []
    assert client.requests(decode_engine.address) == []


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="token stream",
    fails_without="progress deadline",
)
def test_stalled_stream_times_out_and_resumes_with_the_exact_text(
    short_timeout_client, prefill_engine, decode_engine
):
    request = request_of(max_tokens=30)
    source = short_timeout_client.prefill(prefill_engine.address, request)
    decode_engine.apply_faults({"stall_after": 7})
    stream = short_timeout_client.decode(decode_engine.address, request, source)
    received = []
    with pytest.raises(errors.UpstreamTimeoutError):
        received.extend(stream)

    assert sum(event.tokens for event in received) == 7
    remaining_events = short_timeout_client.resume(
        decode_engine.address, "request-1", 7
    )
    full_text = text_of(received) + text_of(remaining_events)
    assert full_text == engine_standin.expected_text(PROMPT, 30)


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="token stream",
    fails_without="progress deadline",
)
def test_stalled_connections_do_not_affect_new_ones(
    short_timeout_client, prefill_engine, decode_engine
):
    request = request_of(max_tokens=30)
    source = short_timeout_client.prefill(prefill_engine.address, request)
    stream = short_timeout_client.decode(decode_engine.address, request, source)
    first = next(stream)
    decode_engine.apply_faults({"silence": True})
    received = [first]
    with pytest.raises(errors.UpstreamTimeoutError):
        received.extend(stream)

    offset = sum(event.tokens for event in received)
    remaining_events = short_timeout_client.resume(
        decode_engine.address, "request-1", offset
    )
    full_text = text_of(received) + text_of(remaining_events)
    assert full_text == engine_standin.expected_text(PROMPT, 30)


def test_concurrent_requests_get_their_own_complete_answers(
    client, prefill_engine, decode_engine
):
    def run(number):
        prompt = f"note {number}"
        request = request_of(prompt)._replace(request_id=f"r{number}")
        source = client.prefill(prefill_engine.address, request)
        return text_of(client.decode(decode_engine.address, request, source))

    answers = [gevent.spawn(run, number) for number in range(50)]
    gevent.joinall(answers, timeout=30, raise_error=True)

    assert [answer.value for answer in answers] == [
        engine_standin.expected_text(f"note {number}", 12)
        for number in range(50)
    ]
    assert decode_engine.memory.free == decode_engine.profile.pieces
    assert prefill_engine.memory.free == prefill_engine.profile.pieces


def test_prompt_with_emitted_text_continues_on_another_engine(
    client, prefill_engine, decode_engine
):
    emitted = engine_standin.expected_text(PROMPT, 5)
    request = request_of(
        PROMPT + emitted, attempt=2, max_tokens=7, first_offset=5
    )
    source = client.prefill(prefill_engine.address, request)
    events = list(client.decode(decode_engine.address, request, source))

    assert events[0].offset == 5
    full_text = emitted + text_of(events)
    assert full_text == engine_standin.expected_text(PROMPT, 12)


@pytest.mark.matrix(
    invariant=5,
    fault="answer of another request",
    step="token stream",
    fails_without="request id and attempt checks",
)
@pytest.mark.parametrize("fault", ["foreign_answers", "foreign_attempts"])
def test_answer_of_another_request_is_rejected(
    client, prefill_engine, decode_engine, fault
):
    request = request_of()
    prefill_engine.apply_faults({fault: 1})
    with pytest.raises(errors.UpstreamError):
        client.prefill(prefill_engine.address, request)
    client.cancel(prefill_engine.address, "request-1")
    source = client.prefill(prefill_engine.address, request)
    decode_engine.apply_faults({fault: 1})
    received = []
    with pytest.raises(errors.UpstreamError):
        received.extend(client.decode(decode_engine.address, request, source))

    assert received == []


TOKENS = (
    'event: tokens\ndata: {"request_id":"request-1","attempt":1,'
    '"offset":%d,"text":"x","tokens":1,"finished":%s}\n\n'
)


@pytest.mark.parametrize(
    ("events", "received"),
    [
        (TOKENS % (0, "false") + TOKENS % (2, "true"), 1),
        (TOKENS % (0, "false") + TOKENS % (0, "true"), 1),
        (TOKENS % (0, "false"), 1),
        ("event: tokens\ndata: {}\n\n", 0),
        ("event: tokens\ndata: " + "x" * 2_000_000, 0),
    ],
    ids=["gap", "repeated", "ends early", "no identity", "oversized"],
)
def test_malformed_stream_is_an_error(client, raw_server, events, received):
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    address = raw_server((head + events).encode())
    stream = client.resume(address, "request-1", 0)
    received_events = []
    with pytest.raises(errors.UpstreamError) as caught:
        received_events.extend(stream)

    assert type(caught.value) is errors.UpstreamError
    assert len(received_events) == received


@pytest.mark.parametrize("repeated", [b": alive\n\n", b"data: x"])
def test_comments_and_incomplete_events_are_no_progress(
    short_timeout_client, raw_server, repeated
):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    address = raw_server(head, repeated=repeated)

    with pytest.raises(errors.UpstreamTimeoutError):
        next(short_timeout_client.resume(address, "request-1", 0))


def test_request_without_tokens_is_refused(client, prefill_engine):
    with pytest.raises(errors.UpstreamRefusedError) as caught:
        client.prefill(prefill_engine.address, request_of(max_tokens=0))

    assert (caught.value.status, caught.value.reason) == (
        400,
        "invalid-request",
    )


def test_refused_connection_is_reported_as_not_sent(client, decode_engine):
    decode_engine.close()
    with pytest.raises(errors.UpstreamConnectError):
        next(client.resume(decode_engine.address, "request-1", 0))
    with pytest.raises(errors.UpstreamConnectError):
        client.prefill(decode_engine.address, request_of())


def test_cancel_frees_memory_and_ends_the_stream(
    client, prefill_engine, decode_engine
):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefill_engine.address, request)
    stream = client.decode(decode_engine.address, request, source)
    next(stream)
    (entry,) = client.requests(decode_engine.address)
    assert (entry.owner, entry.kind) == (OWNER, "decode")

    client.cancel(decode_engine.address, "request-1")

    assert client.requests(decode_engine.address) == []
    assert decode_engine.memory.free == decode_engine.profile.pieces
    with pytest.raises(errors.UpstreamRefusedError) as caught:
        list(stream)
    assert caught.value.reason == "cancelled"
    client.cancel(decode_engine.address, "unknown")


def test_closing_the_generator_closes_the_connection(
    client, prefill_engine, decode_engine
):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefill_engine.address, request)
    stream = client.decode(decode_engine.address, request, source)
    next(stream)
    (connection,) = decode_engine.connections
    stream.close()

    # Closing a socket with unread data resets the connection.
    with contextlib.suppress(ConnectionError):
        assert connection.recv(1) == b""


def test_expired_export_ends_the_decode(client, start, decode_engine):
    prefill_engine = start("prefill", PROFILE._replace(export_lifetime=0.02))
    request = request_of()
    source = client.prefill(prefill_engine.address, request)
    job = prefill_engine.prefills.jobs.get("request-1")
    if job is not None:
        job.signal.event.wait(5)

    with pytest.raises(errors.UpstreamRefusedError) as caught:
        list(client.decode(decode_engine.address, request, source))

    assert (caught.value.status, caught.value.reason) == (410, "export-expired")
    assert prefill_engine.memory.free == prefill_engine.profile.pieces
    assert decode_engine.memory.free == decode_engine.profile.pieces


def test_stalled_transfer_times_out_and_can_be_cancelled(
    short_timeout_client, prefill_engine, decode_engine
):
    decode_engine.apply_faults({"stall_transfers": True})
    request = request_of()
    source = short_timeout_client.prefill(prefill_engine.address, request)
    with pytest.raises(errors.UpstreamTimeoutError):
        list(
            short_timeout_client.decode(decode_engine.address, request, source)
        )
    short_timeout_client.cancel(decode_engine.address, "request-1")

    assert decode_engine.memory.free == decode_engine.profile.pieces


def test_crash_breaks_the_stream_and_loses_requests(
    client, prefill_engine, decode_engine
):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefill_engine.address, request)
    stream = client.decode(decode_engine.address, request, source)
    next(stream)
    with pytest.raises(errors.UpstreamError):
        client.prefill(decode_engine.address, request_of("note [[crash]]"))
    with pytest.raises(errors.UpstreamError):
        list(stream)

    assert decode_engine.crashes == 1
    assert client.requests(decode_engine.address) == []
    with pytest.raises(errors.UpstreamRefusedError):
        list(client.resume(decode_engine.address, "request-1", 0))


def test_repeated_attempt_is_refused_and_a_newer_replaces_it(
    client, prefill_engine, decode_engine
):
    first = request_of(max_tokens=5000)
    source = client.prefill(prefill_engine.address, first)
    stream = client.decode(decode_engine.address, first, source)
    next(stream)
    with pytest.raises(errors.UpstreamRefusedError, match="duplicate"):
        list(client.decode(decode_engine.address, first, source))

    second = request_of(attempt=2)
    source = client.prefill(prefill_engine.address, second)
    events = list(client.decode(decode_engine.address, second, source))

    assert text_of(events) == engine_standin.expected_text(PROMPT, 12)
    assert decode_engine.memory.free == decode_engine.profile.pieces


def test_old_fencing_numbers_are_refused_if_checked(client, start):
    for checks_fencing in (True, False):
        standin = start("decode", checks_fencing=checks_fencing)
        client.order(standin.address, engine.Order("load-model", "new", 7))
        expected = (
            pytest.raises(errors.StaleOrderError)
            if checks_fencing
            else contextlib.nullcontext()
        )
        with expected:
            client.order(standin.address, engine.Order("load-model", "old", 6))
        assert len(standin.orders) == (1 if checks_fencing else 2)


def test_cache_events_load_and_cached_prefix(client, start):
    prefill_engine = start("prefill", PROFILE._replace(cache_chunks=3))
    long_prompt = "x" * 3000
    client.prefill(prefill_engine.address, request_of(long_prompt))
    client.cancel(prefill_engine.address, "request-1")
    again = client.prefill(prefill_engine.address, request_of(long_prompt))
    client.cancel(prefill_engine.address, "request-1")
    prefill_engine.apply_faults({"lose_cache_events": 1})
    client.prefill(prefill_engine.address, request_of("y" * 1024))
    client.cancel(prefill_engine.address, "request-1")
    client.prefill(prefill_engine.address, request_of("z" * 2048))

    assert (again.prompt_tokens, again.cached_tokens) == (750, 512)
    events = client.cache_events(prefill_engine.address, 0)
    assert [event.sequence for event in events] == [1, 3]
    assert len(events[0].stored) == 2
    assert len(events[1].evicted) == 2
    assert client.cache_events(prefill_engine.address, 1) == events[1:]
    report = client.load(prefill_engine.address)
    assert report.running == report.queued_prefill_tokens == 0
    assert report.age >= 0
