"""Tests invariant 4: an account never gets more than its rate and burst.

All admissions of a test are checked: the requests that are admitted in an
interval of T seconds use at most burst + rate * T tokens.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from coltsfootarch.protocol import messages
from tests.fakes import limits_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTS = strategies.sampled_from(["a1", "a2", "b1", "b2"])


class RateMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.fleet = limits_fleet.Fleet(rate=200.0)
        self.lost_messages = 0
        self.lost_answers = 0
        self.answer_delay = 0.0
        self.fleet.network.drop = self.drop
        self.fleet.network.drop_answer = self.drop_answer
        self.fleet.advance(10.0)

    def drop(self, source, target, message):
        self.lost_messages -= 1
        return self.lost_messages >= 0

    def drop_answer(self, source, target, message):
        delay, self.answer_delay = self.answer_delay, 0.0
        self.fleet.clock.advance(datetime.timedelta(seconds=delay))
        self.lost_answers -= 1
        return self.lost_answers >= 0

    @stateful.rule(host=HOSTS, tokens=strategies.integers(1, 400))
    def reserve(self, host, tokens):
        if host not in self.fleet.paused:
            self.fleet.reserve(host, tokens)

    @stateful.rule(host=HOSTS, tokens=strategies.sampled_from([100, 190]))
    def hold_tokens(self, host, tokens):
        if host not in self.fleet.paused:
            self.fleet.hold_tokens(host, tokens)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 3.0, 6.0]))
    def wait(self, seconds):
        self.fleet.advance_without_reports(seconds)

    @stateful.rule()
    def drain(self):
        self.fleet.spend_all(*self.fleet.running())

    @stateful.rule(
        index=strategies.integers(0, 30), part=strategies.floats(0, 1)
    )
    def settle(self, index, part):
        if self.fleet.admissions:
            admission = self.fleet.admissions[
                -1 - index % len(self.fleet.admissions)
            ]
            unsettled = not admission.reservation.settled
            if unsettled and admission.host not in self.fleet.paused:
                self.fleet.settle(admission, int(admission.used * part))

    @stateful.rule(
        seconds=strategies.sampled_from([0.01, 0.3, 1.0, 3.0, 5.5, 9.0])
    )
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(host=HOSTS)
    def pause(self, host):
        self.fleet.pause(host)

    @stateful.rule()
    def resume(self):
        for host in sorted(self.fleet.paused):
            self.fleet.resume(host)

    @stateful.rule(host=HOSTS)
    def kill_and_restart(self, host):
        self.fleet.restart(host)

    @stateful.rule()
    def take_over(self):
        self.fleet.directory.take_over(self.fleet.running())

    @stateful.rule(host=HOSTS, lost=strategies.booleans())
    def hand_over(self, host, lost):
        if host not in self.fleet.paused:
            self.fleet.hand_over(host, lost)

    @stateful.rule(index=strategies.integers(0, 19))
    def replay(self, index):
        self.fleet.network.replay(index)

    @stateful.rule()
    def lose_message(self):
        self.lost_messages = 1

    @stateful.rule()
    def lose_answer(self):
        self.lost_answers = 1

    @stateful.rule(delay=strategies.sampled_from([0.2, 2.0, 6.0]))
    def delay_answer(self, delay):
        self.answer_delay = delay

    @stateful.rule(cut=strategies.booleans())
    def partition(self, cut):
        self.fleet.network.cuts.clear()
        if cut:
            self.fleet.network.cut_between(["a1", "a2"], ["b1", "b2"])

    @stateful.rule(down=strategies.booleans())
    def store(self, down):
        self.fleet.directory.store_down = down

    @stateful.rule(rate=strategies.sampled_from([50.0, 200.0, 600.0]))
    def edit_rate(self, rate):
        self.fleet.edit_rate(rate)

    def teardown(self):
        self.resume()
        self.drain()
        self.bound_holds()

    @stateful.invariant()
    def bound_holds(self):
        assert self.fleet.excess() <= limits_fleet.ROUNDING


TestRateBound = pytest.mark.matrix(
    invariant=4,
    fault="any sequence of all faults",
    step="any",
    fails_without="outstanding bound",
)(RateMachine.TestCase)
TestRateBound.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None
)


def lose_answers(fleet):
    fleet.network.drop_answer = lambda source, target, message: True
    fleet.reserve("a2", 60)
    fleet.reserve("b2", 60)
    fleet.network.drop_answer = lambda source, target, message: False
    fleet.advance(1.1)


def hold_grant(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.advance_without_reports(3.0)


def replay_reports(fleet):
    fleet.hold_tokens("a2", 100)
    fleet.reserve("a2", 40)
    fleet.advance(0.3)
    fleet.network.keep_recent(messages.GrantReport)
    for index in range(6):
        fleet.network.replay(index)
    fleet.advance_without_reports(3.0)


def lose_hand_over(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.hand_over("a1", lost=True)
    fleet.advance_without_reports(3.0)


def hand_over_with_grants_in_use(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.hand_over("a1")
    fleet.advance_without_reports(3.0)


def replay_hand_over(fleet):
    fleet.hold_tokens("b1", 10)
    fleet.hand_over("a1")
    fleet.network.keep_recent(messages.LedgerHandover)
    reports = fleet.network.recent.copy()
    fleet.spend_all("a1")
    fleet.network.recent = reports
    fleet.network.replay(0)


def grant_after_export(fleet):
    fleet.reserve("a2", 10)
    message = fleet.hosts["a1"].ledger_server.export(0)
    fleet.spend_all("b2")
    fleet.hosts["a1"].endpoint.send("a2", message)
    fleet.directory.assign("a", 0, "a2")


def use_stale_holder(fleet):
    old = fleet.directory.holder("a", 0)
    fleet.reserve("a1", 1)
    fleet.pause("a1")
    fleet.advance_without_reports(8.0)
    fleet.directory.take_over(fleet.running())
    fleet.advance_without_reports(6.0)
    fleet.resume("a1")
    fleet.directory.outdated["a", 0] = old
    fleet.spend_all("b1")
    fleet.directory.outdated.clear()


def grant_at_end_of_lease(fleet):
    fleet.clock.advance(datetime.timedelta(seconds=5.5))
    for host in ("a2", "b1", "b2"):
        fleet.hosts[host].leases.renew()
    fleet.hold_tokens("a2", 180)
    fleet.pause("a1")
    fleet.advance_without_reports(1.5)
    fleet.directory.take_over(fleet.running())
    fleet.advance_without_reports(3.0)


def pause_host_with_grants(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.pause("a2")
    fleet.advance(20.0)
    fleet.spend_all("a1")
    fleet.resume("a2")


def delay_answer(fleet):
    def delay(source, target, message):
        fleet.network.drop_answer = lambda source, target, message: False
        fleet.advance_without_reports(5.5)
        fleet.reserve("a1", 1)
        fleet.advance_without_reports(4.0)
        return False

    fleet.network.drop_answer = delay
    fleet.reserve("a2", 180)


def raise_rate(fleet):
    fleet.spend_all("a1", "b1")
    fleet.advance(3.0)
    fleet.edit_rate(300.0)


def lower_rate(fleet):
    fleet.spend_all("a1", "b1")
    fleet.advance(3.0)
    fleet.edit_rate(5.0)


def cut_the_zones(fleet):
    fleet.network.cut_between(["a1", "a2"], ["b1", "b2"])


def refund_after_refill(fleet):
    admissions = [fleet.reserve("a1", 190), fleet.reserve("b1", 190)]
    fleet.advance(8.0)
    fleet.spend_all("a2", "b2")
    for admission in admissions:
        fleet.settle(admission, 0)
    fleet.advance(0.3)


def refund_reported_tokens(fleet):
    admission = fleet.reserve("a2", 150)
    fleet.advance(0.5)
    fleet.advance_without_reports(3.5)
    fleet.settle(admission, 0)


def drop_and_reacquire_lease(fleet):
    fleet.hold_tokens("a2", 180)
    fleet.hosts["a1"].ledger_server.drop(0)


class Case(NamedTuple):
    fault: str
    step: str
    fails_without: str
    cause: Callable


CASES = [
    Case("none", "grant not spent", "subtract before sending", hold_grant),
    Case("answer lost", "grant", "zone share", lose_answers),
    Case("message duplicated", "report", "totals in reports", replay_reports),
    Case(
        "message duplicated",
        "hand-over",
        "late hand-over refused",
        replay_hand_over,
    ),
    Case(
        "hand-over lost", "graceful stop", "wait after release", lose_hand_over
    ),
    Case(
        "none",
        "graceful stop",
        "outstanding in hand-over",
        hand_over_with_grants_in_use,
    ),
    Case(
        "release delayed",
        "graceful stop",
        "seal after export",
        grant_after_export,
    ),
    Case(
        "lease expired while paused", "holder", "lease check", use_stale_holder
    ),
    Case(
        "kill",
        "holder at end of lease",
        "validity bounded by lease",
        grant_at_end_of_lease,
    ),
    Case(
        "pause and resume",
        "entry host",
        "expiry at the wallet",
        pause_host_with_grants,
    ),
    Case("answer delayed", "grant", "expiry from sending", delay_answer),
    Case("register edit", "rate raised", "smaller rate", raise_rate),
    Case(
        "register edit", "rate lowered", "subtract before sending", lower_rate
    ),
    Case("zone partition", "grant", "zone share", cut_the_zones),
    Case(
        "slow request",
        "refund after refill",
        "refund bound by fills",
        refund_after_refill,
    ),
    Case(
        "slow request",
        "refund in time",
        "reuse of reported tokens",
        refund_reported_tokens,
    ),
    Case(
        "lease dropped",
        "reacquired at once",
        "wait after drop",
        drop_and_reacquire_lease,
    ),
]


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            case,
            id=f"{case.fault}, {case.step}",
            marks=pytest.mark.matrix(
                invariant=4,
                fault=case.fault,
                step=case.step,
                fails_without=case.fails_without,
            ),
        )
        for case in CASES
    ],
)
def test_bound_holds_when_all_hosts_spend_all_after_a_fault(case):
    fleet = limits_fleet.Fleet()
    fleet.advance(20.0)

    case.cause(fleet)
    fleet.spend_all(*fleet.running())

    assert sum(admission.used for admission in fleet.admissions) > 0
    assert fleet.excess() <= limits_fleet.ROUNDING
