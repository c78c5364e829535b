"""Guards, over random histories, against attempts that get no decision or two,
capacity that is never freed, and work for draining engines.
"""

from __future__ import annotations

import datetime

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from coltsfootarch import clock
from coltsfootarch.config import register
from coltsfootarch.scheduling import decode
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool
from tests.fakes import pools

STEPS = {"new": "prefilled", "prefilled": "transferred"}
SLOTS = 3


class PoolHistory(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.engines = pools.make_pool(slots=SLOTS)
        self.scheduler = pool.PoolScheduler(
            self.clock, pools.SERVICE, self.engines
        )
        self.submitted = {}
        self.decided = {}
        self.open = {}
        self.leaving = set()

    def poll(self):
        for decision in self.scheduler.poll():
            key = items.AttemptKey(decision.request_id, decision.attempt)
            assert key in self.submitted
            assert key not in self.decided
            self.decided[key] = decision
            if isinstance(decision, items.Assignment):
                assert not {decision.prefill, decision.decode} & self.leaving
                self.open[key] = ("new", decision)

    @stateful.rule(
        account=strategies.sampled_from("abc"),
        prompt=strategies.integers(1, 9000),
        twice=strategies.booleans(),
    )
    def submit(self, account, prompt, twice):
        item = pools.make_item(
            len(self.submitted), self.clock, account, prompt_tokens=prompt
        )
        self.submitted[item.key] = item
        self.scheduler.submit(item)
        self.poll()
        refused = item.key in self.decided and item.key not in self.open
        if twice and not refused:
            self.scheduler.submit(item)
        self.poll()

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        data=strategies.data(),
        ending=strategies.sampled_from(
            [None, None, None, "finished", "failed", "cancelled"]
        ),
    )
    def step(self, data, ending):
        key = data.draw(strategies.sampled_from(sorted(self.open)))
        state, decision = self.open[key]
        step = ending or STEPS.get(state, "finished")
        event = pools.make_event(decision, step, decision.decode, 10)
        self.scheduler.apply(event)
        if step in items.ENDING_STEPS:
            del self.open[key]
            self.scheduler.apply(event)
        else:
            self.open[key] = (step, decision)
        self.poll()

    @stateful.rule(name=strategies.sampled_from(["p1", "d1", ""]))
    def drain(self, name):
        self.leaving = {name} if name else set()
        draining = register.UpstreamState.DRAINING
        self.scheduler.set_upstreams(
            [
                entry._replace(state=draining)
                if entry.name in self.leaving
                else entry
                for entry in self.engines
            ]
        )
        self.poll()

    @stateful.rule(milliseconds=strategies.integers(1, 700))
    def wait(self, milliseconds):
        self.clock.advance(datetime.timedelta(milliseconds=milliseconds))
        self.poll()

    @stateful.invariant()
    def reservations_match_the_open_attempts(self):
        held = {
            key
            for capacity in self.scheduler.decodes.values()
            for key in capacity.reservations
        }
        assert held <= set(self.open)
        for capacity in self.scheduler.decodes.values():
            pieces = sum(
                entry.pieces for entry in capacity.reservations.values()
            )
            assert capacity.used_pieces == pieces
            running = sum(
                entry.transferred_at is not None
                for entry in capacity.reservations.values()
            )
            assert capacity.running == running
            ahead = max(0, len(capacity.reservations) - SLOTS)
            assert not ahead or ahead <= decode.MOST_AHEAD
            # Nothing can end soon enough on an engine that runs nothing.
            if not capacity.recent and not capacity.running:
                assert not ahead

    @stateful.invariant()
    def no_attempt_waits_past_its_deadline(self):
        now = self.clock.monotonic()
        for key, item in self.submitted.items():
            assert key in self.decided or item.deadline >= now

    def teardown(self):
        for _, decision in list(self.open.values()):
            self.scheduler.apply(pools.make_event(decision, "cancelled"))
        self.clock.advance(datetime.timedelta(seconds=2))
        self.poll()
        for _, decision in list(self.open.values()):
            self.scheduler.apply(pools.make_event(decision, "cancelled"))
        assert set(self.decided) == set(self.submitted)
        assert not self.scheduler.assigned
        assert not any(
            booked for booked in self.scheduler.links.bookings.values()
        )


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancel",
    step="any",
    seen_red="release of the reservation at the end of an attempt",
)
def test_histories_keep_decisions_and_capacity_consistent():
    stateful.run_state_machine_as_test(
        PoolHistory,
        settings=settings(
            max_examples=60, stateful_step_count=40, derandomize=True
        ),
    )
