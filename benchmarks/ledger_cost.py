"""Measures processor time and memory of a ledger server by active accounts."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import NamedTuple

from benchmarks import limits_cluster
from coltsfootarch.config import register as registers
from coltsfootarch.protocol import messages

ACCOUNTS = (100, 1000, 6100)
WARM_UP_SECONDS = 15.0  # The ledgers fill in this time.


class LedgerCost(NamedTuple):
    """Cost of a ledger server.

    Attributes:
        accounts: Accounts with active ledgers.
        grant_microseconds: Processor time of a grant request that reports the
            usage of the previous grant.
        tick_milliseconds: Processor time of a tick that visits all ledgers,
            as one does every 5 s.
        kilobytes: Memory of the ledgers after 8 grants each.
    """

    accounts: int
    grant_microseconds: float
    tick_milliseconds: float
    kilobytes: float


def measure(accounts: int) -> LedgerCost:
    """Returns the cost of a ledger server with so many active accounts."""
    accounts_by_name = {
        f"account-{index}": registers.ClientAccount(
            f"account-{index}", 1000.0, 100000
        )
        for index in range(accounts)
    }
    fleet = limits_cluster.Fleet(accounts_by_name)
    host = fleet.hosts[-1]
    fleet.clock.run(WARM_UP_SECONDS)
    gc.collect()
    tracemalloc.start()
    exchange_grants(fleet, host, accounts_by_name)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    started = time.process_time()
    calls = exchange_grants(fleet, host, accounts_by_name)
    per_grant = (time.process_time() - started) / calls
    host.ledger_server.pruned_at = float("-inf")
    started = time.process_time()
    host.ledger_server.tick()
    tick = time.process_time() - started
    return LedgerCost(accounts, per_grant * 1e6, tick * 1e3, kilobytes)


def exchange_grants(
    fleet: limits_cluster.Fleet,
    host: limits_cluster.SimulatedHost,
    accounts_by_name: dict[str, registers.ClientAccount],
) -> int:
    """Requests 8 grants for each account and reports each as used up.

    Returns:
        Number of grant requests.
    """
    calls = 0
    used: dict[str, list[messages.GrantUsage]] = {}
    for _ in range(8):
        for name in accounts_by_name:
            shard = limits_cluster.home_shard("account", name, 8)
            request = messages.GrantRequest(
                name, shard, 100, 100, used.get(name, [])
            )
            reply = host.ledger_server.handle_request(host.sender, request)
            calls += 1
            used[name] = [messages.GrantUsage(reply.grant_id, 100, 0)]
        fleet.clock.run(fleet.clock.elapsed + 0.2)
    return calls
