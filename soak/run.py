"""One run of the soak with one seed."""

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
# Every so many seeds only planned changes happen, so that nothing excuses a
# request that a restart cuts.
PLANNED_ONLY = 4
SETTLE_S = 1.0


class Result(NamedTuple):
    """Outcome of one seed.

    Attributes:
        violations: A line for each broken promise.
        statuses: Number of answers by status; 0 for none.
        faults: Number of faults by kind.
    """

    violations: list[str]
    statuses: dict[int, int]
    faults: dict[str, int]

    def summary(self) -> str:
        """Returns the outcome in one line."""
        verdict = f"{len(self.violations)} broken" if self.violations else "ok"
        return f"{verdict}; answers {self.statuses}; faults {self.faults}"


def configuration(version: int, keys: list[str]) -> dict[str, Any]:
    """Returns the operator's configuration."""

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
    """Runs one seed; its logs stay in the folder."""
    fleet = processes.Fleet(folder, hosts)
    try:
        fleet.start(configuration(1, ["key-a", "key-b"]))
        load = callers.Callers(fleet.hosts, seed, CALLERS)
        planned_only = seed % PLANNED_ONLY == 0
        schedule = faults.Faults(fleet, load, configuration, seed, planned_only)
        schedule.run(seconds)
        gevent.sleep(SETTLE_S)
        load.stop()
        broken = checks.violations(load.seen, fleet.runs(), schedule)
        served = sum(each.status == 200 for each in load.seen)
        if not served:
            broken.append("nothing was served")
    finally:
        fleet.close()
    statuses = collections.Counter(each.status for each in load.seen)
    return Result(
        broken,
        dict(sorted(statuses.items())),
        dict(collections.Counter(schedule.applied)),
    )
