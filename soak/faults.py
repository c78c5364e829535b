"""Random faults and planned changes, chosen from a seed."""

from __future__ import annotations

import itertools
import random
import signal
import time
from typing import TYPE_CHECKING
from typing import Any

import gevent
from gevent import lock

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak import callers
    from soak import processes

CONFIGURATION_CHANGES = ("reconfigure", "withdraw")
PLANNED = ("restart", *CONFIGURATION_CHANGES)
UNPLANNED = (
    "kill_host",
    "kill_hosts",
    "pause_host",
    "kill_runner",
    "pause_runner",
    "cut_runner",
    "reset_runner",
    "store_mode",
    "restore_store",
    "cut_store",
    "misbehave",
)
# Planned changes that callers must not notice. They have a random generator
# and a series of their own, apart from the other faults.
NON_DISRUPTIVE = ("drain_runner", "step_clock")
# Longest wait until the store has a runner's new state, in seconds.
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
# Largest age of the copy from which the store comes back, and longest time
# until the operator has written the configuration again, in seconds.
MAX_COPY_AGE_S = 6.0
MAX_REWRITE_S = 0.8
HEALTHY_STORE: dict[str, Any] = {
    "mode": "serve",
    "delay_s": 0.0,
    "lose_answers": False,
}


class Faults:
    """Applies random faults, some of them overlapping.

    All instants are monotonic, in seconds.

    Args:
        fleet: Processes under test.
        load: Callers.
        configuration: Returns the configuration for a version and its keys.
        seed: Seed of the random choices.
        planned_only: Whether only planned changes are applied.

    Attributes:
        withdrawn: Instant of the withdrawal by API key, 0.0 while it is being
            written.
        planned: Intervals of planned restarts: host, start, end.
        unplanned: Intervals of unplanned faults: start, end.
        draining: Intervals in which the store listed a runner as draining: its
            name, start, end.
        reserved: Names of the programs to which a fault applies now.
        applied: Kinds of the faults applied, in order.
        time_limits: Instant at which each configuration was written and the
            timeout of its routes, in seconds.
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
        self.kinds: tuple[str, ...] = PLANNED
        if not planned_only:
            self.kinds += UNPLANNED
        self.version = 1
        self.withdrawn: dict[str, float] = {}
        self.planned: list[tuple[str, float, float]] = []
        self.unplanned: list[tuple[float, float]] = []
        self.draining: list[tuple[str, float, float]] = []
        self.non_disruptive_generator = random.Random(f"quiet {seed}")
        self.reserved: set[str] = set()
        self.applied: list[str] = []
        self.time_limits = [(0.0, route_timeout_s(configuration(1, [])))]
        self.writing = lock.BoundedSemaphore()

    def run(self, seconds: float) -> None:
        """Applies faults for so many seconds and waits for their end."""
        deadline = time.monotonic() + seconds
        running = [gevent.spawn(self.run_non_disruptive, deadline)]
        while time.monotonic() < deadline:
            kind = self.generator.choice(self.kinds)
            running.append(gevent.spawn(self.apply, kind))
            gevent.sleep(self.generator.uniform(0.2, 0.9))
        gevent.joinall(running, timeout=30)

    def run_non_disruptive(self, deadline: float) -> None:
        """Applies planned changes that callers must not notice."""
        kinds = itertools.cycle(NON_DISRUPTIVE)
        while time.monotonic() < deadline:
            self.apply(next(kinds))
            gevent.sleep(self.non_disruptive_generator.uniform(0.2, 0.9))

    def drain_runner(self) -> None:
        """Drains a runner whose service has another one, and restores it."""
        free = [
            runner
            for runner in self.fleet.runners
            if runner.stage != "prefill"
            and not any(
                other.name in self.reserved
                for other in self.fleet.runners
                if other.service == runner.service
            )
        ]
        if not free:
            return
        runner = self.non_disruptive_generator.choice(free)
        self.reserved.add(runner.name)
        self.fleet.set_runner(runner, state="draining")
        until = time.monotonic() + REGISTRATION_S
        while self.fleet.registered_state(runner) != "draining":
            if time.monotonic() > until:
                break
            gevent.sleep(0.1)
        else:
            started = time.monotonic()
            gevent.sleep(self.non_disruptive_generator.uniform(2.5, 4.0))
            self.draining.append((runner.name, started, time.monotonic()))
        self.fleet.set_runner(runner, state="ready")
        self.reserved.discard(runner.name)

    def step_clock(self) -> None:
        """Sets the time of day of a random host ahead or back."""
        host = self.non_disruptive_generator.choice(self.fleet.hosts)
        offset_s = self.non_disruptive_generator.uniform(
            -MAX_STEP_S, MAX_STEP_S
        )
        host.clock_file.write_text(str(offset_s))

    def apply(self, kind: str) -> None:
        """Applies a fault: calls the method named `kind`."""
        self.applied.append(kind)
        started = time.monotonic()
        getattr(self, kind)()
        if kind in UNPLANNED:
            self.unplanned.append((started, time.monotonic()))

    def sleep_random(self) -> None:
        """Sleeps for the random duration of a fault."""
        gevent.sleep(self.generator.uniform(0.3, 1.5))

    def reserve_program(
        self, programs: list[Any], spare: int = 0
    ) -> Any | None:
        """Reserves a random program that no other fault uses.

        Args:
            programs: Programs to choose from.
            spare: Number of programs that must stay free of faults.

        Returns:
            The program, or None if too few are free.
        """
        free = [each for each in programs if each.name not in self.reserved]
        if len(free) <= spare:
            return None
        chosen = self.generator.choice(free)
        self.reserved.add(chosen.name)
        return chosen

    def restart(self) -> None:
        """Restarts a host gracefully, as in a rolling update."""
        host = self.reserve_program(self.fleet.hosts, spare=1)
        if host is None:
            return
        started = time.monotonic()
        host.signal(signal.SIGTERM)
        host.wait(8.0)
        self.planned.append((host.name, started, time.monotonic()))
        host.kill()
        host.start()
        self.reserved.discard(host.name)

    def kill_host(self) -> None:
        """Kills a host and starts it again."""
        host = self.reserve_program(self.fleet.hosts, spare=1)
        if host is None:
            return
        host.kill()
        host.start()
        self.reserved.discard(host.name)

    def kill_hosts(self) -> None:
        """Kills all hosts at once and starts them again."""
        chosen = []
        while (host := self.reserve_program(self.fleet.hosts)) is not None:
            chosen.append(host)
        for host in chosen:
            host.kill()
        for host in chosen:
            host.start()
            self.reserved.discard(host.name)

    def pause_host(self) -> None:
        self.suspend(self.reserve_program(self.fleet.hosts, spare=1))

    def pause_runner(self) -> None:
        self.suspend(self.reserve_program(self.fleet.runners))

    def suspend(self, program: Any | None) -> None:
        """Stops a program with SIGSTOP for a while."""
        if program is None:
            return
        program.signal(signal.SIGSTOP)
        self.sleep_random()
        program.signal(signal.SIGCONT)
        self.reserved.discard(program.name)

    def kill_runner(self) -> None:
        runner = self.reserve_program(self.fleet.runners)
        if runner is None:
            return
        runner.kill()
        self.sleep_random()
        runner.start()
        self.fleet.restore_crashing_part(runner)
        self.reserved.discard(runner.name)

    def cut_runner(self) -> None:
        """Disturbs the connections to a runner for a while."""
        runner = self.reserve_program(self.fleet.runners)
        if runner is None:
            return
        modes = (
            "delay",
            "block_both",
            "block_requests",
            "block_responses",
            "refuse",
        )
        runner.proxy.mode = self.generator.choice(modes)
        self.sleep_random()
        runner.proxy.mode = "pass"
        self.reserved.discard(runner.name)

    def reset_runner(self) -> None:
        self.generator.choice(self.fleet.runners).proxy.reset()

    def store_mode(self) -> None:
        if "store" in self.reserved:
            return
        self.reserved.add("store")
        self.fleet.set_store(**self.generator.choice(STORE_MODES))
        self.sleep_random()
        self.fleet.set_store(**HEALTHY_STORE)
        self.reserved.discard("store")

    def restore_store(self) -> None:
        """Lets the store come back from a copy that is some seconds old.

        The operator writes the newest configuration again a little later;
        runners register again with their next heartbeat.
        """
        if "store" in self.reserved:
            return
        self.reserved.add("store")
        self.fleet.set_store(mode="reset")
        self.sleep_random()
        with self.writing:
            self.fleet.set_store(
                restore=self.generator.uniform(0.1, MAX_COPY_AGE_S),
                **HEALTHY_STORE,
            )
            gevent.sleep(self.generator.uniform(0.0, MAX_REWRITE_S))
            self.put_configuration()
        self.reserved.discard("store")

    def cut_store(self) -> None:
        """Disturbs a host's connections to the store for a while."""
        host = self.generator.choice(self.fleet.hosts)
        modes = ("block_both", "block_requests", "block_responses", "refuse")
        host.store_proxy.mode = self.generator.choice(modes)
        self.sleep_random()
        self.sleep_random()
        host.store_proxy.mode = "pass"

    def misbehave(self) -> None:
        """Makes a runner send faulty responses for a while."""
        runner = self.reserve_program(self.fleet.runners)
        if runner is None:
            return
        faults = ("reset", "cut", "extra", "garbage", "crash", "stall", "full")
        fault = self.generator.choice(faults)
        self.fleet.set_runner(runner, fault=fault)
        self.sleep_random()
        self.fleet.set_runner(runner, fault="")
        self.reserved.discard(runner.name)

    def reconfigure(self) -> None:
        self.version += self.generator.randint(1, 5)
        self.write_configuration()

    def withdraw(self) -> None:
        """Withdraws an API key, once in a run."""
        if "key-b" in self.withdrawn:
            return
        self.version += 1
        self.withdrawn["key-b"] = 0.0
        self.write_configuration()
        self.withdrawn["key-b"] = time.monotonic()

    def write_configuration(self) -> None:
        # Versions reach the store in order, also of concurrent changes.
        with self.writing:
            self.put_configuration()

    def put_configuration(self) -> None:
        """Writes the configuration of the newest version."""
        keys = ["key-a"]
        if "key-b" not in self.withdrawn:
            keys.append("key-b")
        document = self.configuration(self.version, keys)
        self.time_limits.append((time.monotonic(), route_timeout_s(document)))
        self.fleet.put("config", document)


def route_timeout_s(document: Any) -> float:
    """Returns the timeout of the routes of a configuration, in seconds."""
    return float(document["routes"][0]["timeout_ms"]) / 1000
