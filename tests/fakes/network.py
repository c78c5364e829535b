"""In-memory network between hosts, with partitions and lost messages."""

from __future__ import annotations

import collections

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import network


class FakeNetwork:
    """Network that delivers messages synchronously.

    Attributes:
        endpoints: Endpoint by address.
        cuts: (source address, target address) whose messages are lost.
        paused: Addresses of paused hosts.
        dead: Addresses of stopped hosts.
        drop: Called with (source, target, message); returns whether the message
            is lost.
        drop_answer: Like `drop`, for answers.
        sent: Number of messages sent.
        recent: The last messages, as (endpoint, target, message).
    """

    def __init__(self):
        self.endpoints = {}
        self.cuts = set()
        self.paused = set()
        self.dead = set()
        self.drop = lambda source, target, message: False
        self.drop_answer = lambda source, target, message: False
        self.sent = 0
        self.recent = collections.deque(maxlen=20)

    def keep_recent(self, message_type):
        """Keeps only the recent messages of one type, for `replay`."""
        self.recent = collections.deque(
            item for item in self.recent if isinstance(item[2], message_type)
        )

    def replay(self, index):
        """Delivers a recent message again and discards the answer."""
        if self.recent:
            endpoint, address, message = self.recent[index % len(self.recent)]
            endpoint.send(address, message)

    def endpoint(self, host, incarnation, availability_zone, address):
        sender = messages.Sender(host, incarnation, availability_zone, address)
        endpoint = FakeEndpoint(self, sender)
        self.endpoints[address] = endpoint
        return endpoint

    def cut_between(self, first, second):
        """Cuts the connections between two groups of addresses."""
        for a in first:
            for b in second:
                self.cuts.add((a, b))
                self.cuts.add((b, a))

    def can_reach(self, source, target):
        blocked = self.paused | self.dead
        return (source, target) not in self.cuts and target not in blocked


class FakeEndpoint:
    """One host's `PeerNetwork`."""

    def __init__(self, fake_network, sender):
        self.fake_network = fake_network
        self.sender = sender
        self.registrations = {}

    def register(self, message_type, handler, blocking=False):
        self.registrations[message_type] = network.Registration(
            handler, blocking
        )

    def deliver(self, address, message):
        self.fake_network.sent += 1
        self.fake_network.recent.append((self, address, message))
        source = self.sender.address
        target = self.fake_network.endpoints.get(address)
        if target is None or not self.fake_network.can_reach(source, address):
            raise errors.PeerTimeoutError(f"no answer from {address}")
        if self.fake_network.drop(source, address, message):
            raise errors.PeerTimeoutError(f"no answer from {address}")
        registration = target.registrations.get(type(message))
        if registration is None:
            raise errors.PeerTimeoutError(f"no handler at {address}")
        return registration.handler(self.sender, message)

    def send(self, address, message):
        try:
            self.deliver(address, message)
        except errors.PeerTimeoutError:
            return

    def request(self, address, message, timeout):
        answer = self.deliver(address, message)
        source = self.sender.address
        answer_lost = not self.fake_network.can_reach(address, source)
        if (
            answer_lost
            or answer is None
            or self.fake_network.drop_answer(address, source, answer)
        ):
            raise errors.PeerTimeoutError(f"no answer from {address}")
        return answer

    probe = request
