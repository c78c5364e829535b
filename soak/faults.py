"""Seeded schedule of faults and planned changes."""

from __future__ import annotations

import itertools
import random
import signal
import time
from typing import TYPE_CHECKING
from typing import Any

import gevent

from soak import processes

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak import callers

PLANNED = ("restart", "reconfigure", "withdraw")
UNPLANNED = (
    "kill_host",
    "pause_host",
    "kill_runner",
    "pause_runner",
    "cut_runner",
    "reset_runner",
    "store_mode",
    "cut_store",
    "misbehave",
)
# Drawn apart from the others, in a series of their own.
QUIET_PLANNED = ("drain_runner", "step_clock")
# Longest time until the store has a runner's new state, in seconds.
REGISTRATION_S = 4.0
# Largest step of a host's time of day, in seconds.
MAX_STEP_S = 3600.0
STORE_MODES: tuple[dict[str, Any], ...] = (
    {"mode": "busy"},
    {"mode": "silent"},
    {"mode": "reset"},
    {"delay_s": 0.3},
    {"lose_answers": True},
    {"forget": True},
)
HEALTHY = {"mode": "serve", "delay_s": 0.0, "lose_answers": False}


class Faults:
    """Applies faults in series, some of them overlapping.

    Attributes:
        withdrawn: Keys that are withdrawn, with the instant.
        planned: Intervals of planned restarts: host, start, end.
        unplanned: Intervals of other faults.
        draining: Intervals in which the store had a runner as draining: its
            name, start, end.
    """

    def __init__(
        self,
        fleet: processes.Fleet,
        load: callers.Callers,
        configuration: Callable[[int, list[str]], Any],
        seed: int,
        planned_only: bool,
    ) -> None:
        self.fleet = fleet
        self.load = load
        self.configuration = configuration
        self.generator = random.Random(seed)
        self.kinds = PLANNED if planned_only else PLANNED + UNPLANNED
        self.version = 1
        self.withdrawn: dict[str, float] = {}
        self.planned: list[tuple[str, float, float]] = []
        self.unplanned: list[tuple[float, float]] = []
        self.draining: list[tuple[str, float, float]] = []
        self.quiet_generator = random.Random(f"quiet {seed}")
        self.busy: set[str] = set()
        self.applied: list[str] = []

    def run(self, seconds: float) -> None:
        """Applies faults for a time and ends them all."""
        deadline = time.monotonic() + seconds
        running = [gevent.spawn(self.run_quiet, deadline)]
        while time.monotonic() < deadline:
            kind = self.generator.choice(self.kinds)
            running.append(gevent.spawn(self.apply, kind))
            gevent.sleep(self.generator.uniform(0.2, 0.9))
        gevent.joinall(running, timeout=30)

    def run_quiet(self, deadline: float) -> None:
        """Applies planned work that nobody may notice."""
        kinds = itertools.cycle(QUIET_PLANNED)
        while time.monotonic() < deadline:
            self.apply(next(kinds))
            gevent.sleep(self.quiet_generator.uniform(0.2, 0.9))

    def drain_runner(self) -> None:
        """Lets a runner leave of which its service has another one."""
        free = [
            runner
            for runner in self.fleet.runners
            if runner.stage != "prefill"
            and not any(
                other.name in self.busy
                for other in self.fleet.runners
                if other.service == runner.service
            )
        ]
        if not free:
            return
        runner = self.quiet_generator.choice(free)
        self.busy.add(runner.name)
        target = runner.listen
        state = {"state": "draining"}
        processes.call(target, "POST", "/standin/set", state)
        until = time.monotonic() + REGISTRATION_S
        while self.fleet.registered_state(runner) != "draining":
            if time.monotonic() > until:
                break
            gevent.sleep(0.1)
        else:
            started = time.monotonic()
            gevent.sleep(self.quiet_generator.uniform(2.5, 4.0))
            self.draining.append((runner.name, started, time.monotonic()))
        processes.call(target, "POST", "/standin/set", {"state": "ready"})
        self.busy.discard(runner.name)

    def step_clock(self) -> None:
        """Sets a host's time of day ahead or back."""
        host = self.quiet_generator.choice(self.fleet.hosts)
        ahead = self.quiet_generator.uniform(-MAX_STEP_S, MAX_STEP_S)
        host.clock_file.write_text(str(ahead))

    def apply(self, kind: str) -> None:
        self.applied.append(kind)
        started = time.monotonic()
        getattr(self, kind)()
        if kind in UNPLANNED:
            self.unplanned.append((started, time.monotonic()))

    def pause(self) -> None:
        gevent.sleep(self.generator.uniform(0.3, 1.5))

    def take(self, programs: list[Any], spare: int = 0) -> Any | None:
        """Returns a program that no other fault has, None if too few."""
        free = [each for each in programs if each.name not in self.busy]
        if len(free) <= spare:
            return None
        chosen = self.generator.choice(free)
        self.busy.add(chosen.name)
        return chosen

    def restart(self) -> None:
        host = self.take(self.fleet.hosts, spare=1)
        if host is None:
            return
        started = time.monotonic()
        host.signal(signal.SIGTERM)
        host.wait(8.0)
        self.planned.append((host.name, started, time.monotonic()))
        host.kill()
        host.start()
        self.busy.discard(host.name)

    def kill_host(self) -> None:
        host = self.take(self.fleet.hosts, spare=1)
        if host is None:
            return
        host.kill()
        host.start()
        self.busy.discard(host.name)

    def pause_host(self) -> None:
        self.suspend(self.take(self.fleet.hosts, spare=1))

    def pause_runner(self) -> None:
        self.suspend(self.take(self.fleet.runners))

    def suspend(self, program: Any | None) -> None:
        if program is None:
            return
        program.signal(signal.SIGSTOP)
        self.pause()
        program.signal(signal.SIGCONT)
        self.busy.discard(program.name)

    def kill_runner(self) -> None:
        runner = self.take(self.fleet.runners)
        if runner is None:
            return
        runner.kill()
        self.pause()
        runner.start()
        self.busy.discard(runner.name)

    def cut_runner(self) -> None:
        runner = self.take(self.fleet.runners)
        if runner is None:
            return
        modes = ("delay", "silent", "deaf", "mute", "refuse")
        runner.proxy.mode = self.generator.choice(modes)
        self.pause()
        runner.proxy.mode = "pass"
        self.busy.discard(runner.name)

    def reset_runner(self) -> None:
        self.generator.choice(self.fleet.runners).proxy.reset()

    def store_mode(self) -> None:
        if "store" in self.busy:
            return
        self.busy.add("store")
        self.fleet.set_store(**self.generator.choice(STORE_MODES))
        self.pause()
        self.fleet.set_store(**HEALTHY)
        self.busy.discard("store")

    def cut_store(self) -> None:
        host = self.generator.choice(self.fleet.hosts)
        modes = ("silent", "deaf", "mute", "refuse")
        host.store_proxy.mode = self.generator.choice(modes)
        self.pause()
        self.pause()
        host.store_proxy.mode = "pass"

    def misbehave(self) -> None:
        runner = self.take(self.fleet.runners)
        if runner is None:
            return
        faults = ("reset", "cut", "extra", "garbage", "crash", "stall", "full")
        fault = self.generator.choice(faults)
        target = runner.listen
        processes.call(target, "POST", "/standin/set", {"fault": fault})
        self.pause()
        processes.call(target, "POST", "/standin/set", {"fault": ""})
        self.busy.discard(runner.name)

    def reconfigure(self) -> None:
        self.version += self.generator.randint(1, 5)
        self.write()

    def withdraw(self) -> None:
        if "key-b" in self.withdrawn:
            return
        self.version += 1
        self.withdrawn["key-b"] = 0.0
        self.write()
        self.withdrawn["key-b"] = time.monotonic()

    def write(self) -> None:
        keys = ["key-a"] if "key-b" in self.withdrawn else ["key-a", "key-b"]
        self.fleet.put("config", self.configuration(self.version, keys))
