"""Runs the soak test with one seed."""

from __future__ import annotations

import collections
import functools
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent

from soak import callers
from soak import checks
from soak import faults
from soak import processes
from soak import silences
from soak import take_ups

if TYPE_CHECKING:
    import pathlib

CALLERS = 12
# Seeds divisible by this have planned changes only, so that no unplanned fault
# excuses a request that a restart interrupts.
PLANNED_ONLY = 4
SETTLE_S = 1.0
# With seeds that leave a remainder of 1 some requests crash decode engines.
CRASHING_EVERY = 3
# Odd seeds have a configuration of this many routes more, about 400 kB, and a
# host whose link to the store needs 1.6 s for it.
ADDED_ROUTES = 1500
SLOW_LINK_BYTES_PER_S = 250_000.0
# Seeds that leave a remainder of 3 have planned changes and silences only. Odd
# ones don't restart hosts, so that the end of no grace period is an excuse.
SILENCE_EVERY = 5
SILENCE_REMAINDER = 3
# Seeds that leave this remainder have decode engines of two versions.
VERSIONS_EVERY = 3
VERSIONS_REMAINDER = 2
ROUTE_HOST = "api.example"


class Result(NamedTuple):
    """Outcome of one seed.

    Attributes:
        violations: A line for each violation of a guarantee.
        statuses: Number of requests by status; 0 without a response.
        faults: Number of faults by kind.
        taken_up: Number of streams that went on after their connection broke.
    """

    violations: list[str]
    statuses: dict[int, int]
    faults: dict[str, int]
    taken_up: int = 0

    def summary(self) -> str:
        """Returns the outcome in one line."""
        verdict = (
            f"{len(self.violations)} violations" if self.violations else "ok"
        )
        return (
            f"{verdict}; answers {self.statuses}; streams taken up "
            f"{self.taken_up}; faults {self.faults}"
        )


def configuration(
    version: int, keys: list[str], added_routes: int = 0
) -> dict[str, Any]:
    """Returns the operator's configuration.

    The route `/vN/` exists in version N only.

    Args:
        version: Version of the configuration.
        keys: API keys; each belongs to an account of its own.
        added_routes: Number of routes that no caller uses.
    """

    def route(name: str, kind: str, service: str, **more: Any) -> Any:
        return {
            "name": name,
            "host": ROUTE_HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 5000,
            "target_latency_ms": 900,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "gap_target_ms": 300,
            **more,
        }

    engine = {
        "slots": 8,
        "kv_capacity_tokens": 10000,
        "kv_token_bytes": 18432,
        "kv_hold_s": 0.5,
    }
    return {
        "version": version,
        "routes": [
            route("read", "idempotent", "app"),
            route("book", "non_idempotent", "app", max_attempts=1),
            route("write", "streaming", "llm", resumable=True),
            route("once", "streaming", "llm", max_attempts=1),
            route(f"v{version}", "idempotent", "app", public=True),
            *(
                route(f"added-{number}", "idempotent", "app")
                for number in range(added_routes)
            ),
        ],
        "services": [
            {"name": "app", "max_connections": 100},
            {"name": "llm", "max_connections": 100, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [
            {
                "name": key.replace("key", "account"),
                "api_keys": [key],
                "rate_per_s": 10**7,
                "burst": 10**7,
                "plain_tokens": 100,
            }
            for key in keys
        ],
    }


def run(
    seed: int,
    seconds: float,
    hosts: int,
    folder: pathlib.Path,
    silent: bool = False,
) -> Result:
    """Runs one seed.

    Args:
        seed: Seed of the load and the faults.
        seconds: Time in which faults are applied.
        hosts: Number of entry hosts.
        folder: Folder for settings and logs, which stay there.
        silent: Whether it has planned changes and silences only.
    """
    if silent or seed % SILENCE_EVERY == SILENCE_REMAINDER:
        return run_silences(seed, seconds, hosts, folder)
    if seed % VERSIONS_EVERY == VERSIONS_REMAINDER:
        fleet = processes.Fleet(
            folder,
            hosts,
            processes.RUNNERS_OF_TWO_VERSIONS,
            versions=processes.SECOND_VERSION,
        )
    else:
        fleet = processes.Fleet(folder, hosts)
    build = configuration
    if seed % 2:
        build = functools.partial(configuration, added_routes=ADDED_ROUTES)
        fleet.hosts[0].store_proxy.bytes_per_s = SLOW_LINK_BYTES_PER_S
    try:
        fleet.start(build(1, ["key-a", "key-b"]))
        crashing = seed % CRASHING_EVERY == 1
        if crashing:
            fleet.set_crashing_part(callers.CRASHING_PART)
        load = callers.Callers(fleet.hosts, seed, CALLERS, crashing)
        planned_only = seed % PLANNED_ONLY == 0
        schedule = faults.Faults(fleet, load, build, seed, planned_only)
        schedule.run(seconds)
        return judge(fleet, load, schedule)
    finally:
        fleet.close()


def run_silences(
    seed: int, seconds: float, hosts: int, folder: pathlib.Path
) -> Result:
    """Runs one seed with planned changes and silences of sound runners.

    The arguments are those of `run`.
    """
    series = silences.Silences(configuration, seed)
    fleet = processes.Fleet(folder, hosts, silences.RUNNERS, series.budget)
    build = series.changes.configuration
    try:
        fleet.start(build(1, ["key-a", "key-b"]))
        series.prepare(fleet)
        load = callers.Callers(
            fleet.hosts, seed, series.callers, habits=series.habits
        )
        # Few requests have the key that is withdrawn.
        load.keys += ["key-a"] * 6
        schedule = faults.Faults(fleet, load, build, seed, planned_only=True)
        if seed % 2:
            schedule.kinds = faults.CONFIGURATION_CHANGES
        silent = gevent.spawn(series.run, schedule, seconds)
        schedule.run(seconds)
        silent.get()
        return judge(fleet, load, schedule)
    finally:
        fleet.close()


def judge(
    fleet: processes.Fleet, load: callers.Callers, schedule: faults.Faults
) -> Result:
    """Ends the load and returns the outcome after the last fault."""
    gevent.sleep(SETTLE_S)
    load.stop()
    violations = checks.violations(load.observations, fleet.runs(), schedule)
    violations += outdated_hosts(fleet, schedule.version)
    logged = {host.name: host.ended_requests() for host in fleet.hosts}
    violations += checks.find_forgotten(load.observations, logged, schedule)
    bodies = [
        (each.id, each.body)
        for each in load.observations
        if each.kind in ("write", "once")
    ]
    violations += take_ups.violations(bodies, load.take_ups)
    served = sum(each.status == 200 for each in load.observations)
    if not served:
        violations.append("no request succeeded")
    statuses = collections.Counter(each.status for each in load.observations)
    return Result(
        violations,
        dict(sorted(statuses.items())),
        dict(collections.Counter(schedule.applied)),
        len(load.take_ups),
    )


def outdated_hosts(fleet: processes.Fleet, version: int) -> list[str]:
    """Returns a line for each host that doesn't get the newest version.

    Args:
        fleet: Processes under test, to which no fault applies any more.
        version: Version that was written last.
    """
    fleet.wait_ready()
    deadline = time.monotonic() + checks.APPLY_S
    path = f"/v{version}/"
    outdated = list(fleet.hosts)
    while outdated and time.monotonic() < deadline:
        gevent.sleep(0.1)
        outdated = [
            host for host in outdated if not host.has_route(ROUTE_HOST, path)
        ]
    return [
        f"{host.name}: version {version} not in force after {checks.APPLY_S} s"
        for host in outdated
    ]
