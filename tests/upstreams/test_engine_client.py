"""Guards against incomplete, foreign or repeated answers of engines."""

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
def prefiller(start):
    return start("prefill")


@pytest.fixture
def decoder(start):
    return start("decode")


@pytest.fixture
def client():
    """Client whose deadline a busy machine does not reach."""
    return engine_client.HttpEngineClient(10 * SECOND, 10 * SECOND)


@pytest.fixture
def hasty_client():
    """Client for the tests in which the deadline is to pass."""
    return engine_client.HttpEngineClient(SECOND, 0.4 * SECOND)


def request_of(prompt=PROMPT, attempt=1, max_tokens=12, **fields):
    return engine.EngineRequest(
        "request-1", attempt, OWNER, prompt, max_tokens, 0, **fields
    )


def text_of(events):
    return "".join(event.text for event in events)


def test_whole_answer_with_identity_and_offsets(client, prefiller, decoder):
    request = request_of()
    source = client.prefill(prefiller.address, request)
    events = list(client.decode(decoder.address, request, source))

    assert text_of(events) == engine_standin.expected_text(PROMPT, 12)
    assert sum(event.tokens for event in events) == 12
    assert [event.finished for event in events][-1]
    assert {(e.request_id, e.attempt) for e in events} == {("request-1", 1)}
    assert client.requests(prefiller.address) == []
    assert client.requests(decoder.address) == []


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="token stream",
    seen_red="progress deadline",
)
def test_silent_stream_times_out_and_resumes_with_the_exact_text(
    hasty_client, prefiller, decoder
):
    request = request_of(max_tokens=30)
    source = hasty_client.prefill(prefiller.address, request)
    decoder.apply_faults({"stall_after": 7})
    stream = hasty_client.decode(decoder.address, request, source)
    received = []
    with pytest.raises(errors.UpstreamTimeoutError):
        received.extend(stream)

    assert sum(event.tokens for event in received) == 7
    rest = hasty_client.resume(decoder.address, "request-1", 7)
    whole = text_of(received) + text_of(rest)
    assert whole == engine_standin.expected_text(PROMPT, 30)


@pytest.mark.matrix(
    invariant=5,
    fault="silent connection",
    step="token stream",
    seen_red="progress deadline",
)
def test_connections_that_fall_silent_do_not_affect_new_ones(
    hasty_client, prefiller, decoder
):
    request = request_of(max_tokens=30)
    source = hasty_client.prefill(prefiller.address, request)
    stream = hasty_client.decode(decoder.address, request, source)
    first = next(stream)
    decoder.apply_faults({"silence": True})
    received = [first]
    with pytest.raises(errors.UpstreamTimeoutError):
        received.extend(stream)

    offset = sum(event.tokens for event in received)
    rest = hasty_client.resume(decoder.address, "request-1", offset)
    whole = text_of(received) + text_of(rest)
    assert whole == engine_standin.expected_text(PROMPT, 30)


def test_concurrent_requests_each_get_their_own_whole_answer(
    client, prefiller, decoder
):
    def run(number):
        prompt = f"note {number}"
        request = request_of(prompt)._replace(request_id=f"r{number}")
        source = client.prefill(prefiller.address, request)
        return text_of(client.decode(decoder.address, request, source))

    answers = [gevent.spawn(run, number) for number in range(50)]
    gevent.joinall(answers, timeout=30, raise_error=True)

    assert [answer.value for answer in answers] == [
        engine_standin.expected_text(f"note {number}", 12)
        for number in range(50)
    ]
    assert decoder.memory.free == decoder.profile.pieces
    assert prefiller.memory.free == prefiller.profile.pieces


def test_prompt_with_emitted_text_continues_on_another_engine(
    client, prefiller, decoder
):
    emitted = engine_standin.expected_text(PROMPT, 5)
    request = request_of(
        PROMPT + emitted, attempt=2, max_tokens=7, first_offset=5
    )
    source = client.prefill(prefiller.address, request)
    events = list(client.decode(decoder.address, request, source))

    assert events[0].offset == 5
    whole = emitted + text_of(events)
    assert whole == engine_standin.expected_text(PROMPT, 12)


@pytest.mark.matrix(
    invariant=5,
    fault="answer of another request",
    step="token stream",
    seen_red="request id and attempt checks",
)
@pytest.mark.parametrize("fault", ["foreign_answers", "foreign_attempts"])
def test_foreign_answer_never_reaches_the_caller(
    client, prefiller, decoder, fault
):
    request = request_of()
    prefiller.apply_faults({fault: 1})
    with pytest.raises(errors.UpstreamError):
        client.prefill(prefiller.address, request)
    client.cancel(prefiller.address, "request-1")
    source = client.prefill(prefiller.address, request)
    decoder.apply_faults({fault: 1})
    received = []
    with pytest.raises(errors.UpstreamError):
        received.extend(client.decode(decoder.address, request, source))

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
    taken = []
    with pytest.raises(errors.UpstreamError) as caught:
        taken.extend(stream)

    assert type(caught.value) is errors.UpstreamError
    assert len(taken) == received


@pytest.mark.parametrize("repeated", [b": alive\n\n", b"data: x"])
def test_comments_and_parts_of_events_are_no_progress(
    hasty_client, raw_server, repeated
):
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    address = raw_server(head, repeated=repeated)

    with pytest.raises(errors.UpstreamTimeoutError):
        next(hasty_client.resume(address, "request-1", 0))


def test_request_without_tokens_is_refused(client, prefiller):
    with pytest.raises(errors.UpstreamRefusedError) as caught:
        client.prefill(prefiller.address, request_of(max_tokens=0))

    assert (caught.value.status, caught.value.reason) == (
        400,
        "invalid-request",
    )


def test_refused_connect_says_that_nothing_was_sent(client, decoder):
    decoder.close()
    with pytest.raises(errors.UpstreamConnectError):
        next(client.resume(decoder.address, "request-1", 0))
    with pytest.raises(errors.UpstreamConnectError):
        client.prefill(decoder.address, request_of())


def test_cancel_frees_memory_and_ends_the_stream(client, prefiller, decoder):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefiller.address, request)
    stream = client.decode(decoder.address, request, source)
    next(stream)
    (entry,) = client.requests(decoder.address)
    assert (entry.owner, entry.kind) == (OWNER, "decode")

    client.cancel(decoder.address, "request-1")

    assert client.requests(decoder.address) == []
    assert decoder.memory.free == decoder.profile.pieces
    with pytest.raises(errors.UpstreamRefusedError) as caught:
        list(stream)
    assert caught.value.reason == "cancelled"
    client.cancel(decoder.address, "unknown")


def test_closing_the_generator_closes_the_connection(
    client, prefiller, decoder
):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefiller.address, request)
    stream = client.decode(decoder.address, request, source)
    next(stream)
    (connection,) = decoder.connections
    stream.close()

    # Unread data at the client turns its close into a reset.
    with contextlib.suppress(ConnectionError):
        assert connection.recv(1) == b""


def test_expired_export_ends_the_decode(client, start, decoder):
    prefiller = start("prefill", PROFILE._replace(export_lifetime=0.02))
    request = request_of()
    source = client.prefill(prefiller.address, request)
    job = prefiller.prefills.jobs.get("request-1")
    if job is not None:
        job.signal.event.wait(5)

    with pytest.raises(errors.UpstreamRefusedError) as caught:
        list(client.decode(decoder.address, request, source))

    assert (caught.value.status, caught.value.reason) == (410, "export-expired")
    assert prefiller.memory.free == prefiller.profile.pieces
    assert decoder.memory.free == decoder.profile.pieces


def test_stalled_transfer_times_out_and_can_be_cancelled(
    hasty_client, prefiller, decoder
):
    decoder.apply_faults({"stall_transfers": True})
    request = request_of()
    source = hasty_client.prefill(prefiller.address, request)
    with pytest.raises(errors.UpstreamTimeoutError):
        list(hasty_client.decode(decoder.address, request, source))
    hasty_client.cancel(decoder.address, "request-1")

    assert decoder.memory.free == decoder.profile.pieces


def test_crash_breaks_the_stream_and_loses_the_state(
    client, prefiller, decoder
):
    request = request_of(max_tokens=5000)
    source = client.prefill(prefiller.address, request)
    stream = client.decode(decoder.address, request, source)
    next(stream)
    with pytest.raises(errors.UpstreamError):
        client.prefill(decoder.address, request_of("note [[crash]]"))
    with pytest.raises(errors.UpstreamError):
        list(stream)

    assert decoder.crashes == 1
    assert client.requests(decoder.address) == []
    with pytest.raises(errors.UpstreamRefusedError):
        list(client.resume(decoder.address, "request-1", 0))


def test_repeated_attempt_is_refused_and_a_newer_one_replaces_it(
    client, prefiller, decoder
):
    first = request_of(max_tokens=5000)
    source = client.prefill(prefiller.address, first)
    stream = client.decode(decoder.address, first, source)
    next(stream)
    with pytest.raises(errors.UpstreamRefusedError, match="duplicate"):
        list(client.decode(decoder.address, first, source))

    second = request_of(attempt=2)
    source = client.prefill(prefiller.address, second)
    events = list(client.decode(decoder.address, second, source))

    assert text_of(events) == engine_standin.expected_text(PROMPT, 12)
    assert decoder.memory.free == decoder.profile.pieces


def test_old_fencing_numbers_are_refused_only_where_checked(client, start):
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
    prefiller = start("prefill", PROFILE._replace(cache_chunks=3))
    long_prompt = "x" * 3000
    client.prefill(prefiller.address, request_of(long_prompt))
    client.cancel(prefiller.address, "request-1")
    again = client.prefill(prefiller.address, request_of(long_prompt))
    client.cancel(prefiller.address, "request-1")
    prefiller.apply_faults({"lose_cache_events": 1})
    client.prefill(prefiller.address, request_of("y" * 1024))
    client.cancel(prefiller.address, "request-1")
    client.prefill(prefiller.address, request_of("z" * 2048))

    assert (again.prompt_tokens, again.cached_tokens) == (750, 512)
    events = client.cache_events(prefiller.address, 0)
    assert [event.sequence for event in events] == [1, 3]
    assert len(events[0].stored) == 2
    assert len(events[1].evicted) == 2
    assert client.cache_events(prefiller.address, 1) == events[1:]
    report = client.load(prefiller.address)
    assert report.running == report.queued_prefill_tokens == 0
    assert report.age >= 0
