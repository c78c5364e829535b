"""Guards against lost, mismatched and late answers and unbounded waits."""

from __future__ import annotations

import datetime
import itertools
import socket

import gevent
import gevent.event
import pytest
import zmq

from coltsfootarch import clock
from coltsfootarch import errors
from coltsfootarch.protocol import codec
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import transport

LONG = datetime.timedelta(seconds=10)
SHORT = datetime.timedelta(milliseconds=100)
ACK = messages.Ack()


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.fixture
def networks():
    opened = []

    def open_network(host, **options):
        sender = messages.Sender(host, 1, "regina", free_address())
        opened.append(
            transport.ZmqPeerNetwork(sender, clock.SystemClock(), **options)
        )
        opened[-1].start()
        return opened[-1]

    yield open_network
    for network in opened:
        network.close()


def wait_until(condition):
    with gevent.Timeout(10):
        while not condition():
            gevent.idle()


def answer_ack(sender, message):
    return ACK


def test_many_requests_get_their_own_answers(networks):
    one, two = networks("one"), networks("two")
    two.register(
        messages.ConfigRequest,
        lambda sender, message: messages.ConfigReply(
            message.known_version, sender.host, 0.0
        ),
    )

    def send_numbered_request(number):
        return one.request(
            two.sender.address, messages.ConfigRequest(number), LONG
        )

    answers = [
        gevent.spawn(send_numbered_request, number) for number in range(300)
    ]
    gevent.joinall(answers, raise_error=True)

    versions = [answer.value.version for answer in answers]
    assert versions == list(range(300))
    assert answers[0].value.document == "one"
    assert not one.dropped


def test_sent_messages_arrive_without_an_answer(networks):
    one, two = networks("one"), networks("two")
    arrived = gevent.event.Event()
    two.register(messages.Ack, lambda sender, message: arrived.set())

    one.send(two.sender.address, ACK)

    assert arrived.wait(10)


def test_late_answer_is_dropped_and_the_connection_replaced(networks):
    one, two = networks("one"), networks("two")
    releases = [gevent.event.Event(), gevent.event.Event()]
    calls = itertools.count()

    def answer_after_release(sender, message):
        call = next(calls)
        if call < len(releases):
            releases[call].wait(10)
        return ACK

    two.register(messages.Probe, answer_after_release, blocking=True)
    address = two.sender.address
    long_request = gevent.spawn(one.request, address, messages.Probe(), LONG)
    gevent.idle()
    first = one.connections[address]

    with pytest.raises(errors.PeerTimeoutError):
        one.request(address, messages.Probe(), SHORT)
    assert address not in one.connections
    # The late answer arrives while the long request keeps the old connection
    # open. If both were released at once, the connection could close first.
    releases[1].set()
    wait_until(lambda: one.late == 1)
    assert not first.socket.closed
    releases[0].set()

    # The request that still waits on the old connection gets its answer.
    assert long_request.get(timeout=10) == ACK
    wait_until(lambda: first.socket.closed)
    assert one.request(address, messages.Probe(), LONG) == ACK
    assert one.connections[address] is not first
    assert (one.timeouts, one.replaced, one.late) == (1, 1, 1)


def test_connection_is_not_reused_after_a_timeout(networks):
    one = networks("one")
    unresponsive_server = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{unresponsive_server.getsockname()[1]}"

    with pytest.raises(errors.PeerTimeoutError):
        one.request(address, messages.Probe(), SHORT)
    unresponsive_server.close()
    healthy = transport.ZmqPeerNetwork(
        messages.Sender("two", 1, "regina", address), clock.SystemClock()
    )
    healthy.register(messages.Probe, answer_ack)
    healthy.start()
    try:
        assert one.request(address, messages.Probe(), LONG) == ACK
    finally:
        healthy.close()


@pytest.mark.matrix(
    invariant=5,
    fault="answer from another host",
    step="a request between hosts waits",
    fails_without="sender check of answers",
)
def test_answer_of_another_host_is_refused(networks):
    one = networks("one")
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    port = router.bind_to_random_port("tcp://127.0.0.1")
    address = f"127.0.0.1:{port}"

    def answer_twice():
        while not router.poll(0):
            gevent.idle()
        identity, data = router.recv_multipart()
        correlation = -codec.decode(data).correlation
        for host, accepted in ((address + "0", False), (address, True)):
            sender = messages.Sender("x", 1, "regina", host)
            answer = messages.Ack(accepted)
            router.send_multipart(
                [identity, codec.encode(sender, correlation, answer)]
            )

    responder = gevent.spawn(answer_twice)
    try:
        assert one.request(address, messages.Probe(), LONG).accepted
        responder.get(timeout=10)
    finally:
        router.close(linger=0)
        context.term()
    assert one.mismatched == 1


def test_probe_closes_its_own_connection(networks):
    one, two = networks("one"), networks("two")
    two.register(messages.Probe, answer_ack)

    assert one.probe(two.sender.address, messages.Probe(), LONG) == ACK
    assert not one.connections


def test_failing_handlers_send_no_answer_and_later_requests_succeed(networks):
    one, two = networks("one"), networks("two")
    failures = iter([errors.NotHomeError(), ValueError("broken")])

    def fail_twice(sender, message):
        for failure in failures:
            raise failure
        return ACK

    two.register(messages.Probe, fail_twice)
    for _ in range(2):
        with pytest.raises(errors.PeerTimeoutError):
            one.request(two.sender.address, messages.Probe(), SHORT)

    assert one.request(two.sender.address, messages.Probe(), LONG) == ACK
    assert two.refused == 2


def test_full_queue_drops_and_counts(networks):
    one = networks("one", send_queue=10)
    address = free_address()

    for _ in range(50):
        one.send(address, ACK)

    assert one.dropped >= 30


def test_number_of_blocking_handlers_is_bounded(networks):
    one, two = networks("one"), networks("two", max_blocking=1)
    release = gevent.event.Event()
    two.register(
        messages.Ack, lambda sender, message: release.wait(10), blocking=True
    )

    for _ in range(3):
        one.send(two.sender.address, ACK)

    wait_until(lambda: two.refused == 2)
    release.set()


def test_undecodable_messages_are_counted(networks):
    two = networks("two")
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.connect(f"tcp://{two.sender.address}")
    dealer.send(b"garbage")

    wait_until(lambda: two.undecodable == 1)
    dealer.close(linger=0)
    context.term()


def test_idle_connections_are_closed(networks):
    one, two = networks("one"), networks("two")
    two.register(messages.Probe, answer_ack)
    one.request(two.sender.address, messages.Probe(), LONG)
    one.connections[two.sender.address].last_used_at -= (
        2 * transport.IDLE_SECONDS
    )

    one.close_idle_connections()

    assert not one.connections
