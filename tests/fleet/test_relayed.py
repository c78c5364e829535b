"""Tests which messages of other hosts are applied, and which are dropped."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import envelopes
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import report_exchange
from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import load_view
from tests.fleet import builders

RELAY = "10.0.0.2:7500"
Kind = envelopes.Kind


class Member:
    """A host that has joined the relay "north-2"."""

    def __init__(self, clock):
        self.clock = clock
        self.own = hosts.HostRecord("north-1", "10.0.0.1:7500", "north", 77, 1)
        self.directory = hosts.HostDirectory(self.own, clock)
        self.loads = load_view.LoadView(clock)
        self.tracker = active_policy.PolicyTracker(clock)
        self.tracker.apply(
            active_policy.PolicyReadResult(
                builders.make_policy(5), 1, clock.monotonic() - 4.0, True
            )
        )
        self.exchange = report_exchange.ReportExchange(
            self.directory, [self.loads], clock, self.tracker
        )
        self.relayed = self.exchange.relayed
        self.relayed.choice.joining = "north-2"
        self.sequence = 0

    def receive(self, tokens=0, sent_ago=0.0, **fields):
        self.sequence += 1
        report = reports.empty_report("north-2", 9, self.sequence)
        if tokens:
            report.loads.append(("d-1", 1, tokens))
        values = {
            "version": envelopes.PROTOCOL_VERSION,
            "kind": Kind.FLEET,
            "sender": "north-2",
            "availability_zone": "north",
            "incarnation": 9,
            "sequence": self.sequence,
            "sent_ms": 5,
            "echo_incarnation": 77,
            "echo_ms": int((self.clock.monotonic() - sent_ago) * 1000),
            "hosts": 40,
            "expected": 40,
            "report": reports.encode(report),
        }
        values.update(fields)
        for page in envelopes.encode(envelopes.Envelope(**values)):
            self.exchange.receive(page, RELAY)

    @property
    def tokens(self):
        return self.loads.load("d-1").tokens

    @property
    def dropped(self):
        return dict(self.relayed.counts.dropped)


@pytest.fixture
def member(manual_clock):
    return Member(manual_clock)


def test_sum_of_the_relay_replaces_the_previous_one(member):
    member.receive(tokens=70)
    member.receive(tokens=30)

    assert member.tokens == 30
    assert member.directory.reached() == 40


def test_replayed_message_is_dropped(member):
    member.receive(tokens=70)
    member.receive(tokens=30, sequence=1)

    assert member.tokens == 70
    assert member.dropped == {"outdated": 1}


def test_late_message_is_dropped(member):
    """A resumed host finds old messages in its socket."""
    member.receive(tokens=70)
    member.receive(tokens=30, sent_ago=hosts.REPORT_TIMEOUT_S + 0.1)

    assert member.tokens == 70
    assert member.dropped == {"late": 1}


def test_message_of_a_foreign_relay_is_not_applied(member):
    member.receive(tokens=70)
    member.receive(tokens=30, sender="north-3")

    assert member.tokens == 70


def test_message_of_a_newer_version_is_dropped(member):
    member.receive(tokens=70)
    member.receive(tokens=30, version=3)

    assert member.tokens == 70
    assert member.dropped == {"version": 1}


@pytest.mark.parametrize("report", [b"\x00", b"\x95\x01", b"\xff" * 40])
def test_unreadable_report_is_dropped(member, report):
    member.receive(report=report)

    assert member.dropped == {"report": 1}


def test_own_message_is_dropped(member):
    member.receive(sender="north-1")

    assert member.dropped == {"own": 1}


def test_error_while_a_message_is_applied_does_not_end_the_receiving(
    member, monkeypatch
):
    monkeypatch.setattr(member.loads, "apply_report", lambda *arguments: 1 / 0)
    member.receive(tokens=70)
    monkeypatch.undo()

    member.receive(tokens=30)

    assert member.tokens == 30
    assert member.dropped == {"error": 1}


def test_confirmation_counts_from_the_echo_and_not_from_its_arrival(
    member, manual_clock
):
    """The message was under way for a second; the key may be gone since."""
    member.receive(
        sent_ago=1.0, held_ms=300, policy_version=5, policy_age_ms=200
    )

    age = manual_clock.monotonic() - member.tracker.confirmed_at
    assert age == pytest.approx(1.0 - 0.3 + 0.2, abs=0.002)


@pytest.mark.parametrize(
    "fields",
    [
        {"echo_incarnation": 76},
        {"policy_version": 4},
        {"policy_version": 6},
        {"policy_age_ms": -1},
        {"held_ms": 5000},
    ],
)
def test_confirmation_that_proves_nothing_is_ignored(member, fields):
    """Of another incarnation's clock, another version, or of the future."""
    confirmed_at = member.tracker.confirmed_at

    values = {"policy_version": 5, "policy_age_ms": 0, "sent_ago": 0.1}
    member.receive(**(values | fields))

    assert member.tracker.confirmed_at == confirmed_at


def test_relay_that_takes_its_member_for_a_relay_keeps_counting(
    member, manual_clock
):
    """It sends it sums of its group as well, as their views of relays differ.

    If the sums of the fleet did not continue each other then, the member would
    subtract nothing of what others admit, and use each limit by itself.
    """
    continuity = []
    member.loads.apply_report = lambda report, continuous: continuity.append(
        continuous
    )
    for kind in (Kind.FLEET, Kind.GROUP, Kind.FLEET, Kind.GROUP, Kind.FLEET):
        manual_clock.advance(datetime.timedelta(seconds=0.1))
        member.receive(tokens=5, kind=kind)

    assert continuity == [False, True, True]


def test_relay_that_restarts_begins_anew(member, manual_clock):
    """Its counters start from zero, which must not give usage back."""
    continuity = []
    original = member.loads.apply_report
    member.loads.apply_report = lambda report, continuous: (
        continuity.append(continuous),
        original(report, continuous),
    )
    for incarnation in (9, 9, 10, 10):
        manual_clock.advance(datetime.timedelta(seconds=0.25))
        member.receive(tokens=5, incarnation=incarnation)

    assert continuity == [False, True, False, True]
