"""In-memory network between hosts with cuts and pauses."""

from __future__ import annotations

import collections

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import network


class FakeNetwork:
    """Delivers messages at once, unless a cut, pause or drop rule forbids it.

    `cuts` holds ordered pairs (from address, to address); `paused` and `dead`
    hold addresses. `drop` is called with (from, to, message) and returns True
    to lose that message; `drop_answer` does the same for answers.
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
        """Leaves only messages of one type to be replayed."""
        self.recent = collections.deque(
            item for item in self.recent if isinstance(item[2], message_type)
        )

    def replay(self, index):
        """Delivers a recent message once more; its answer is lost."""
        if self.recent:
            endpoint, address, message = self.recent[index % len(self.recent)]
            endpoint.send(address, message)

    def endpoint(self, host, incarnation, availability_zone, address):
        sender = messages.Sender(host, incarnation, availability_zone, address)
        endpoint = FakeEndpoint(self, sender)
        self.endpoints[address] = endpoint
        return endpoint

    def cut_between(self, first, second):
        """Cuts both directions between two groups of addresses."""
        for a in first:
            for b in second:
                self.cuts.add((a, b))
                self.cuts.add((b, a))

    def reaches(self, source, target):
        blocked = self.paused | self.dead
        return (source, target) not in self.cuts and target not in blocked


class FakeEndpoint:
    """One host's `PeerNetwork`."""

    def __init__(self, fake, sender):
        self.fake = fake
        self.sender = sender
        self.registrations = {}

    def register(self, message_type, handler, blocking=False):
        self.registrations[message_type] = network.Registration(
            handler, blocking
        )

    def deliver(self, address, message):
        self.fake.sent += 1
        self.fake.recent.append((self, address, message))
        source = self.sender.address
        target = self.fake.endpoints.get(address)
        if target is None or not self.fake.reaches(source, address):
            raise errors.PeerTimeoutError(f"no answer from {address}")
        if self.fake.drop(source, address, message):
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
        lost = not self.fake.reaches(address, source)
        if (
            lost
            or answer is None
            or self.fake.drop_answer(address, source, answer)
        ):
            raise errors.PeerTimeoutError(f"no answer from {address}")
        return answer

    probe = request
