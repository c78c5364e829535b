"""Processor time and memory of a ledger server by accounts in use."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import NamedTuple

from benchmarks import limits_cluster
from coltsfootarch.config import register as registers
from coltsfootarch.protocol import messages

ACCOUNTS = (100, 1000, 6100)
WARM_UP = 15.0  # seconds in which the ledgers fill


class Slope(NamedTuple):
    """Cost of a ledger server.

    Attributes:
        accounts: Accounts with ledgers in use.
        grant_microseconds: Processor time of a grant request with a report
            on the grant before.
        tick_milliseconds: Processor time of a tick that looks at all ledgers,
            which happens every 5 s.
        kilobytes: Memory of the ledgers after 8 grants each.
    """

    accounts: int
    grant_microseconds: float
    tick_milliseconds: float
    kilobytes: float


def measure(accounts: int) -> Slope:
    """Measures a ledger server with this many accounts in use."""
    clients = {
        f"account-{index}": registers.ClientAccount(
            f"account-{index}", 1000.0, 100000
        )
        for index in range(accounts)
    }
    fleet = limits_cluster.Fleet(clients)
    host = fleet.hosts[-1]
    fleet.clock.run(WARM_UP)
    gc.collect()
    tracemalloc.start()
    fill_book(fleet, host, clients)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    started = time.process_time()
    calls = fill_book(fleet, host, clients)
    per_grant = (time.process_time() - started) / calls
    host.ledger_server.pruned_at = float("-inf")
    started = time.process_time()
    host.ledger_server.tick()
    tick = time.process_time() - started
    return Slope(accounts, per_grant * 1e6, tick * 1e3, kilobytes)


def fill_book(
    fleet: limits_cluster.Fleet,
    host: limits_cluster.SimulatedHost,
    clients: dict[str, registers.ClientAccount],
) -> int:
    """Gets 8 grants for each account and reports each as spent."""
    calls = 0
    used: dict[str, list[messages.GrantUsage]] = {}
    for _ in range(8):
        for name in clients:
            shard = limits_cluster.home_shard("account", name, 8)
            request = messages.GrantRequest(
                name, shard, 100, 100, used.get(name, [])
            )
            reply = host.ledger_server.handle_request(host.sender, request)
            calls += 1
            used[name] = [messages.GrantUsage(reply.grant_id, 100, 0)]
        fleet.clock.run(fleet.clock.elapsed + 0.2)
    return calls
