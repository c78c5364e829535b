"""Runs the soak test with one seed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent

from soak import callers
from soak import checks
from soak import faults
from soak import processes

if TYPE_CHECKING:
    import pathlib

CALLERS = 12
# Seeds divisible by this have planned changes only, so that no unplanned fault
# excuses a request that a restart interrupts.
PLANNED_ONLY = 4
SETTLE_S = 1.0


class Result(NamedTuple):
    """Outcome of one seed.

    Attributes:
        violations: A line for each violation of a guarantee.
        statuses: Number of requests by status; 0 without a response.
        faults: Number of faults by kind.
    """

    violations: list[str]
    statuses: dict[int, int]
    faults: dict[str, int]

    def summary(self) -> str:
        """Returns the outcome in one line."""
        verdict = (
            f"{len(self.violations)} violations" if self.violations else "ok"
        )
        return f"{verdict}; answers {self.statuses}; faults {self.faults}"


def configuration(version: int, keys: list[str]) -> dict[str, Any]:
    """Returns the operator's configuration.

    Args:
        version: Version of the configuration.
        keys: API keys; each belongs to an account of its own.
    """

    def route(name: str, kind: str, service: str, **more: Any) -> Any:
        return {
            "name": name,
            "host": "api.example",
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


def run(seed: int, seconds: float, hosts: int, folder: pathlib.Path) -> Result:
    """Runs one seed.

    Args:
        seed: Seed of the load and the faults.
        seconds: Time in which faults are applied.
        hosts: Number of entry hosts.
        folder: Folder for settings and logs, which stay there.
    """
    fleet = processes.Fleet(folder, hosts)
    try:
        fleet.start(configuration(1, ["key-a", "key-b"]))
        load = callers.Callers(fleet.hosts, seed, CALLERS)
        planned_only = seed % PLANNED_ONLY == 0
        schedule = faults.Faults(fleet, load, configuration, seed, planned_only)
        schedule.run(seconds)
        gevent.sleep(SETTLE_S)
        load.stop()
        violations = checks.violations(
            load.observations, fleet.runs(), schedule
        )
        served = sum(each.status == 200 for each in load.observations)
        if not served:
            violations.append("no request succeeded")
    finally:
        fleet.close()
    statuses = collections.Counter(each.status for each in load.observations)
    return Result(
        violations,
        dict(sorted(statuses.items())),
        dict(collections.Counter(schedule.applied)),
    )
