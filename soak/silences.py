"""Sound runners that fall silent and go on, beside planned changes."""

from __future__ import annotations

import random
import signal
import time
from typing import TYPE_CHECKING

import gevent

from soak import callers
from soak import changes
from soak import processes

if TYPE_CHECKING:
    from soak import faults

RUNNERS = (
    *processes.RUNNERS,
    ("b-1", "spare", ""),
    ("b-2", "spare", ""),
)
MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 3.0
# Time between two silences of one runner, in seconds.
REST_S = 1.0
# Longest time from the beginning of a silence to a change beside it.
CHANGE_DELAY_S = 0.5
STORM_CHANGES = 5
STORM_INTERVAL_S = 0.3
MAX_BURST = 16
RETRY_RATIOS = (0.0, 0.02, 0.2)
RETRY_MINIMUM = 4.0
EVENTS = (8, 10, 12)
EVENT_GAPS_S = (0.1, 0.2, 0.25)
WORK_S = (0.05, 0.2, 0.3)
PLAIN_SLOTS = 6
CALLERS = (6, 14, 24)
MIN_TIMEOUT_S = 3.0
TIMEOUT_S = 10.0
# Silence after which callers give up a stream: four times the objective.
PATIENCE_S = 3.6
PAUSE_S = 1.5


class Silences:
    """Silences of sound runners with full engines and small retry budgets.

    Callers must not notice them, so that they excuse no request.

    Args:
        base: Builds the configuration that is changed.
        seed: Seed of the random choices.

    Attributes:
        generator: Source of the random choices.
        callers: Number of callers.
        habits: How the callers behave.
        budget: Retry budget of the hosts.
        changes: Configuration that is changed beside the silences.
    """

    def __init__(self, base: changes.Base, seed: int) -> None:
        self.generator = random.Random(f"silence {seed}")
        self.habits = callers.Habits(
            timeout_s=TIMEOUT_S,
            min_timeout_s=MIN_TIMEOUT_S,
            patience_s=PATIENCE_S,
            events=self.generator.choice(EVENTS),
            pause_s=PAUSE_S,
        )
        self.callers = self.generator.choice(CALLERS)
        self.budget = processes.RetryBudget(
            self.generator.choice(RETRY_RATIOS), RETRY_MINIMUM
        )
        self.changes = changes.Changes(base, self.generator)

    def prepare(self, fleet: processes.Fleet) -> None:
        """Gives the runners of a fleet few slots and longer work."""
        gap_s = self.generator.choice(EVENT_GAPS_S)
        work_s = self.generator.choice(WORK_S)
        for runner in fleet.runners:
            if runner.stage == "decode":
                fleet.set_runner(
                    runner,
                    slots=changes.ENGINE_SLOTS,
                    events=self.habits.events,
                    event_gap_s=gap_s,
                )
            else:
                fleet.set_runner(runner, slots=PLAIN_SLOTS, work_s=work_s)

    def run(self, schedule: faults.Faults, seconds: float) -> None:
        """Silences runners for so many seconds and waits for their end.

        Args:
            schedule: Planned changes that are applied at the same time.
            seconds: Time in which silences begin.
        """
        deadline = time.monotonic() + seconds
        running = []
        while time.monotonic() < deadline:
            delay_s = 0.0
            # Some runners fall silent at once, others one after another.
            step_s = self.generator.choice((0.0, 0.4, 1.0))
            for runner in self.choose_runners(schedule):
                schedule.reserved.add(runner.name)
                silence_s = self.generator.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
                running.append(
                    gevent.spawn(
                        self.silence, schedule, runner, delay_s, silence_s
                    )
                )
                delay_s += step_s
            running.append(gevent.spawn(self.change, schedule))
            schedule.load.burst(self.generator.randint(0, MAX_BURST))
            gevent.sleep(self.generator.uniform(0.5, 2.0))
        gevent.joinall(running, raise_error=True)

    def choose_runners(self, schedule: faults.Faults) -> list[processes.Runner]:
        """Returns one to three runners, or all of a service and stage."""
        free = [
            runner
            for runner in schedule.fleet.runners
            if runner.name not in schedule.reserved
        ]
        self.generator.shuffle(free)
        if not free or self.generator.random() < 0.5:
            return free[: self.generator.randint(1, 3)]
        first = free[0]
        return [
            runner
            for runner in free
            if (runner.service, runner.stage) == (first.service, first.stage)
        ]

    def silence(
        self,
        schedule: faults.Faults,
        runner: processes.Runner,
        delay_s: float,
        silence_s: float,
    ) -> None:
        """Stops a reserved runner after a delay and continues it."""
        gevent.sleep(delay_s)
        schedule.applied.append("silence")
        runner.signal(signal.SIGSTOP)
        gevent.sleep(silence_s)
        runner.signal(signal.SIGCONT)
        gevent.sleep(REST_S)
        schedule.reserved.discard(runner.name)

    def change(self, schedule: faults.Faults) -> None:
        """Changes the configuration, sometimes several times in a row."""
        gevent.sleep(self.generator.uniform(0.0, CHANGE_DELAY_S))
        storm = self.generator.random() < 0.25
        for _ in range(STORM_CHANGES if storm else 1):
            schedule.applied.append(self.changes.change())
            schedule.version += 1
            schedule.write_configuration()
            gevent.sleep(STORM_INTERVAL_S)
