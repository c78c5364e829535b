"""Seeded schedule of faults and planned changes."""

from __future__ import annotations

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
        self.busy: set[str] = set()
        self.applied: list[str] = []

    def run(self, seconds: float) -> None:
        """Applies faults for a time and ends them all."""
        deadline = time.monotonic() + seconds
        running = []
        while time.monotonic() < deadline:
            kind = self.generator.choice(self.kinds)
            running.append(gevent.spawn(self.apply, kind))
            gevent.sleep(self.generator.uniform(0.2, 0.9))
        gevent.joinall(running, timeout=30)

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
