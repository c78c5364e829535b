"""Property-based tests of the pool scheduler over random event histories.

They guard against attempts that get no decision or two, capacity that is never
released, and assignments to draining engines.
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

NEXT_STEP = {"new": "prefilled", "prefilled": "transferred"}
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
        self.decisions = {}
        self.active = {}
        self.draining_names = set()

    def poll(self):
        for decision in self.scheduler.poll():
            key = items.AttemptKey(decision.request_id, decision.attempt)
            assert key in self.submitted
            assert key not in self.decisions
            self.decisions[key] = decision
            if isinstance(decision, items.Assignment):
                assert (
                    not {decision.prefill, decision.decode}
                    & self.draining_names
                )
                self.active[key] = ("new", decision)

    @stateful.rule(
        account=strategies.sampled_from("abc"),
        prompt=strategies.integers(1, 9000),
        resubmit=strategies.booleans(),
    )
    def submit(self, account, prompt, resubmit):
        item = pools.make_item(
            len(self.submitted), self.clock, account, prompt_tokens=prompt
        )
        self.submitted[item.key] = item
        self.scheduler.submit(item)
        self.poll()
        refused = item.key in self.decisions and item.key not in self.active
        if resubmit and not refused:
            self.scheduler.submit(item)
        self.poll()

    @stateful.precondition(lambda self: self.active)
    @stateful.rule(
        data=strategies.data(),
        ending=strategies.sampled_from(
            [None, None, None, "finished", "failed", "cancelled"]
        ),
    )
    def step(self, data, ending):
        key = data.draw(strategies.sampled_from(sorted(self.active)))
        state, decision = self.active[key]
        step = ending or NEXT_STEP.get(state, "finished")
        event = pools.make_event(decision, step, decision.decode, 10)
        self.scheduler.apply(event)
        if step in items.TERMINAL_STEPS:
            del self.active[key]
            self.scheduler.apply(event)
        else:
            self.active[key] = (step, decision)
        self.poll()

    @stateful.rule(name=strategies.sampled_from(["p1", "d1", ""]))
    def drain(self, name):
        self.draining_names = {name} if name else set()
        draining = register.UpstreamState.DRAINING
        self.scheduler.set_upstreams(
            [
                entry._replace(state=draining)
                if entry.name in self.draining_names
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
    def reservations_match_the_active_attempts(self):
        held = {
            key
            for capacity in self.scheduler.decodes.values()
            for key in capacity.reservations
        }
        assert held <= set(self.active)
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
            overcommitted = max(0, len(capacity.reservations) - SLOTS)
            assert (
                not overcommitted
                or overcommitted <= decode.MAX_REQUIRED_COMPLETIONS
            )
            # An engine that runs nothing must not be overcommitted, since no
            # slot can become free in time.
            if not capacity.recently_released and not capacity.running:
                assert not overcommitted

    @stateful.invariant()
    def every_attempt_is_decided_by_its_deadline(self):
        now = self.clock.monotonic()
        for key, item in self.submitted.items():
            assert key in self.decisions or item.deadline >= now

    def teardown(self):
        for _, decision in list(self.active.values()):
            self.scheduler.apply(pools.make_event(decision, "cancelled"))
        self.clock.advance(datetime.timedelta(seconds=2))
        self.poll()
        for _, decision in list(self.active.values()):
            self.scheduler.apply(pools.make_event(decision, "cancelled"))
        assert set(self.decisions) == set(self.submitted)
        assert not self.scheduler.assigned
        assert not any(
            reserved for reserved in self.scheduler.links.reservations.values()
        )


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancel",
    step="any",
    fails_without="release of the reservation at the end of an attempt",
)
def test_histories_keep_decisions_and_capacity_consistent():
    stateful.run_state_machine_as_test(
        PoolHistory,
        settings=settings(
            max_examples=60, stateful_step_count=40, derandomize=True
        ),
    )
