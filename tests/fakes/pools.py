"""Upstreams, registers, leases and engines for tests of scheduling."""

from __future__ import annotations

import collections
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch.config import register
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items

SERVICE = register.Service("summaries", register.ServiceKind.MODEL, "summary")
PLAIN = register.Service("records", register.ServiceKind.PLAIN)


class FakeHome(NamedTuple):
    availability_zone: str = "regina"
    shard: int = 3


def make_upstream(name, role="decode", number=0, **values):
    values.setdefault("service", "records" if role == "plain" else "summaries")
    values.setdefault("availability_zone", "regina")
    return register.Upstream(
        name=name,
        address=f"127.0.0.1:{7000 + number}",
        role=register.UpstreamRole(role),
        **values,
    )


def make_pool(**values):
    """Returns two prefill engines and two decode engines."""
    return [
        make_upstream("p1", "prefill", 1, **values),
        make_upstream("p2", "prefill", 2, **values),
        make_upstream("d1", "decode", 3, **values),
        make_upstream("d2", "decode", 4, **values),
    ]


def make_register(upstreams, **rules):
    zones = {
        name: register.AvailabilityZone(name, "prairie")
        for name in ("regina", "brandon")
    }
    return register.Register(
        availability_zones=zones,
        hosts={},
        services={"summaries": SERVICE, "records": PLAIN},
        upstreams={upstream.name: upstream for upstream in upstreams},
        client_accounts={
            "a": register.ClientAccount("a", 1000.0, 10_000, weight=2.0)
        },
        rules=register.Rules(**rules),
    )


def make_item(number, clock, account="a", within=1.4, **values):
    values.setdefault("prompt_tokens", 2000)
    values.setdefault("max_output_tokens", 100)
    return items.WorkItem(
        request_id=f"r{number}",
        attempt=values.pop("attempt", 1),
        account=account,
        deadline=clock.monotonic() + within,
        **values,
    )


def make_event(decision, step, upstream="", tokens=0):
    return messages.ScheduleEvent(
        decision.request_id, decision.attempt, step, upstream, tokens
    )


class FakeLeases:
    """Leases with the epoch and the acquisition time of each held shard."""

    def __init__(self, clock):
        self.clock = clock
        self.epochs = {}
        self.acquired = {}

    def epoch(self, shard):
        return self.epochs.get(shard)

    def remaining(self, shard):
        return 6.0 if shard in self.epochs else 0.0

    def acquired_at(self, shard):
        return self.acquired.get(shard)

    def acquired_by_takeover(self, shard):
        return True


class FakeHolders:
    def __init__(self):
        self.found = {}

    def holder(self, availability_zone, shard):
        return self.found.get((availability_zone, shard))

    def live_hosts(self, availability_zone):
        return 1

    def is_live(self, host, incarnation):
        return True


class FakeEngines:
    """Engine client and its engines; calls to addresses in `down` fail."""

    def __init__(self):
        self.entries = collections.defaultdict(list)
        self.loads = {}
        self.events = collections.defaultdict(list)
        self.fencing = {}
        self.orders = []
        self.cancelled = []
        self.down = set()
        self.calls = []

    def check(self, kind, address):
        self.calls.append((kind, address))
        if address in self.down:
            raise errors.UpstreamTimeoutError(f"{address} does not answer")

    def requests(self, address):
        self.check("requests", address)
        return list(self.entries[address])

    def cancel(self, address, request_id):
        self.check("cancel", address)
        self.cancelled.append(request_id)
        self.entries[address] = [
            entry
            for entry in self.entries[address]
            if entry.request_id != request_id
        ]

    def load(self, address):
        self.check("load", address)
        return self.loads[address]

    def cache_events(self, address, after):
        self.check("cache", address)
        return [
            event for event in self.events[address] if event.sequence > after
        ]

    def order(self, address, order):
        self.check("order", address)
        if order.fencing < self.fencing.get(address, 0):
            raise errors.StaleOrderError("a newer holder has given orders")
        self.orders.append((address, order))


def run_synchronously(function, *args):
    """Replaces `gevent.spawn`; runs the function synchronously."""
    function(*args)
