"""Measures the request path and an idle entry host in real processes.

Processor time is the user plus system time of the entry host's process. For
comparison, the same run sends the same requests directly to the stand-in
engines and measures the processor time of the calling client.
"""

from __future__ import annotations

import datetime
import functools
import json
import os
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent
import psutil

from benchmarks import fit
from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import engine_client
from standins import fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    import urllib3

HOSTS = ["regina-1", "saskatoon-1"]
TIME_SCALE = 0.02
TOKEN_SIZES = (16, 64, 256)
REQUESTS = 60
IDLE_SECONDS = 10.0
CONCURRENT_STREAMS = 50
CONCURRENT_TOKENS = 200
MIB = 1024 * 1024


class PathRow(NamedTuple):
    """One measurement.

    Attributes:
        name: What was measured.
        value: Result in `unit`.
        unit: Unit of the result.
        detail: Fit error, baseline or conditions of the measurement.
    """

    name: str
    value: float
    unit: str
    detail: str


def run() -> list[PathRow]:
    """Runs all measurements and returns their rows."""
    running = fleet.Fleet(HOSTS, time_scale=TIME_SCALE)
    try:
        running.start()
        process = psutil.Process(running.processes[HOSTS[0]].pid)
        rows = idle_rows(process)
        rows += relay_rows(running, process)
        rows += concurrent_rows(running, process)
        rows += call_rows(running, process)
        rows += memory_rows(process)
        return rows
    finally:
        running.close()


def cpu_seconds(process: psutil.Process) -> float:
    """Returns the user and system time of a process in seconds."""
    times = process.cpu_times()
    seconds: float = times.user + times.system
    return seconds


def idle_rows(process: psutil.Process) -> list[PathRow]:
    """Measures an entry host without requests, with control work only."""
    before = cpu_seconds(process)
    time.sleep(IDLE_SECONDS)
    used = cpu_seconds(process) - before
    share = 100 * used / IDLE_SECONDS
    return [
        PathRow("idle host, processor", share, "% of a core", "target 1.3"),
        PathRow(
            "idle host, resident memory",
            process.memory_info().rss / MIB,
            "MiB",
            "whole process, data path included",
        ),
    ]


def relay_rows(running: fleet.Fleet, process: psutil.Process) -> list[PathRow]:
    """Measures processor time per request and per relayed token."""
    costs = [
        cost_per_request(process, functools.partial(complete, running, size))
        for size in TOKEN_SIZES
    ]
    fitted = fit.fit(TOKEN_SIZES, costs)
    fitted_direct = direct_cost(running)
    detail = f"fit error {100 * fitted.error:.0f}%"
    return [
        PathRow("completion", fitted.intercept * 1e6, "µs a request", detail),
        PathRow("relayed token", fitted.slope * 1e6, "µs a token", detail),
        PathRow(
            "direct call, client side",
            fitted_direct.intercept * 1e6,
            "µs a request",
            f"fit error {100 * fitted_direct.error:.0f}%",
        ),
        PathRow(
            "direct call, client side",
            fitted_direct.slope * 1e6,
            "µs a token",
            f"fit error {100 * fitted_direct.error:.0f}%",
        ),
    ]


def cost_per_request(
    process: psutil.Process, request: Callable[[], object]
) -> float:
    """Returns the processor time of a process per request, in seconds."""
    before = cpu_seconds(process)
    for _ in range(REQUESTS):
        request()
    return (cpu_seconds(process) - before) / REQUESTS


def complete(running: fleet.Fleet, tokens: int) -> None:
    """Streams one completion of `tokens` tokens through the first host.

    Raises:
        RuntimeError: The completion failed.
    """
    key = next(iter(running.keys.values()))
    body = {
        "model": "loan-summary",
        "prompt": "Referral: hip surgery, lives alone.",
        "max_tokens": tokens,
        "stream": True,
    }
    response = running.http.request(
        "POST",
        f"{running.url(HOSTS[0])}/v1/completions",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {key}"},
    )
    if b"event: done" not in response.data:
        raise RuntimeError(response.data.decode()[-500:])


def concurrent_rows(
    running: fleet.Fleet, process: psutil.Process
) -> list[PathRow]:
    """Measures concurrent streams, which share wake-ups of the event loop."""
    before = cpu_seconds(process)
    started = time.monotonic()
    streams = [
        gevent.spawn(complete, running, CONCURRENT_TOKENS)
        for _ in range(CONCURRENT_STREAMS)
    ]
    gevent.joinall(streams, raise_error=True)
    used = cpu_seconds(process) - before
    elapsed = time.monotonic() - started
    tokens = CONCURRENT_STREAMS * CONCURRENT_TOKENS
    detail = f"{CONCURRENT_STREAMS} streams, {tokens / elapsed:.0f} tokens/s"
    return [
        PathRow(
            "relayed token, many streams", used / tokens * 1e6, "µs", detail
        ),
        PathRow(
            "processor while relaying",
            100 * used / elapsed,
            "% of a core",
            detail,
        ),
    ]


def direct_cost(running: fleet.Fleet) -> fit.Fit:
    """Measures the client's processor time for direct calls to the engines.

    Returns:
        Fit of the seconds per request against the number of tokens.
    """
    client = engine_client.HttpEngineClient(
        datetime.timedelta(seconds=1), datetime.timedelta(seconds=5)
    )
    address_by_role: dict[str, Any] = {
        upstream["role"]: upstream["address"]
        for upstream in running.register["upstream"]
    }
    own_process = psutil.Process(os.getpid())
    costs = []
    for size in TOKEN_SIZES:
        before = cpu_seconds(own_process)
        for index in range(REQUESTS):
            request = engine.EngineRequest(
                f"direct.{size}.{index}",
                1,
                "bench/1",
                "Referral: hip surgery, lives alone.",
                size,
                0,
            )
            source = client.prefill(address_by_role["prefill"], request)
            for _event in client.decode(
                address_by_role["decode"], request, source
            ):
                pass
        costs.append((cpu_seconds(own_process) - before) / REQUESTS)
    return fit.fit(TOKEN_SIZES, costs)


def call_rows(running: fleet.Fleet, process: psutil.Process) -> list[PathRow]:
    """Measures calls to a plain service."""
    key = next(iter(running.keys.values()))
    headers = {"Authorization": f"Bearer {key}"}
    url = running.url(HOSTS[0])
    counter = iter(range(10**9))

    def stock() -> urllib3.BaseHTTPResponse:
        return running.http.request(
            "GET", f"{url}/loans/stock", headers=headers
        )

    def book() -> urllib3.BaseHTTPResponse:
        booking = f"bench-{next(counter)}"
        return running.http.request(
            "POST",
            f"{url}/loans/bookings",
            body=json.dumps({"booking_id": booking}),
            headers={**headers, "Idempotency-Key": booking},
        )

    return [
        PathRow(
            "stock check (idempotent)",
            cost_per_request(process, stock) * 1e6,
            "µs a request",
            "",
        ),
        PathRow(
            "booking (claim and record)",
            cost_per_request(process, book) * 1e6,
            "µs a request",
            "2 transactions on the table service",
        ),
    ]


def memory_rows(process: psutil.Process) -> list[PathRow]:
    """Measures the memory of the entry host after the load."""
    return [
        PathRow(
            "host after the load, resident memory",
            process.memory_info().rss / MIB,
            "MiB",
            "",
        )
    ]


def main() -> None:
    """Prints the rows."""
    for row in run():
        print(f"{row.name:40} {row.value:12.2f} {row.unit:14} {row.detail}")


if __name__ == "__main__":
    main()
