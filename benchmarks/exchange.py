"""Costs of the exchange between hosts, and how well limits hold with it.

Hosts are stepped in one process, so that fleets of any size can be compared:
`python -m benchmarks.exchange`. It takes some minutes and isn't part of
`make bench`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from coltsfootarch.fleet import policy
from tests.fakes import stepped_fleet

if TYPE_CHECKING:
    from collections.abc import Sequence

SIZES: Sequence[int] = (7, 30, 62, 100, 195, 300, 380)
LIMIT_SIZES: Sequence[int] = (7, 62, 195)
ENGINES = 40
SETTLING_S = 14.0
COST_S = 4.0
LIMIT_S = 15.0
# Interval of reports to all hosts in a large fleet, before relays.
MESH_INTERVAL_S = 0.5
REQUEST_TOKENS = 500
ACCOUNT = "acme"


class Costs(NamedTuple):
    """Means over all hosts.

    Attributes:
        messages: Messages sent a second.
        sent_bytes: Bytes sent a second.
        most_messages: Messages sent a second by the busiest host.
        policy_reads: Policy reads a second.
        age_s: Greatest age of a confirmation, in seconds.
    """

    messages: float
    sent_bytes: float
    most_messages: float
    policy_reads: float
    age_s: float


def costs(count: int) -> Costs:
    """Returns the costs of a settled fleet in which all hosts have load."""
    fleet = stepped_fleet.SteppedFleet(count)
    fleet.run(SETTLING_S)
    for number, host in enumerate(fleet.hosts):
        host.loads.add(f"decode-{number % ENGINES:02}", 5000)
    messages, sent, reads = fleet.messages, fleet.bytes, fleet.policy_reads
    before = [sum(h.exchange.counts.sent.values()) for h in fleet.hosts]
    fleet.run(COST_S)
    after = [sum(h.exchange.counts.sent.values()) for h in fleet.hosts]
    divisor = COST_S * count
    return Costs(
        (fleet.messages - messages) / divisor,
        (fleet.bytes - sent) / divisor,
        max(b - a for a, b in zip(before, after, strict=True)) / COST_S,
        (fleet.policy_reads - reads) / divisor,
        max(host.tracker.age() for host in fleet.hosts),
    )


def admitted(count: int, demand: float, exchange: str) -> tuple[float, float]:
    """Returns admitted tokens over the limit, and over those asked for.

    Args:
        count: Number of hosts.
        demand: Tokens asked for, as a multiple of the limit.
        exchange: "relays", "mesh" or "equal split".
    """
    fleet = stepped_fleet.SteppedFleet(count)
    rate = 400.0 * count
    account = policy.ClientAccount(
        ACCOUNT, frozenset(), rate, 2 * rate, None, 100
    )
    fleet.accounts[ACCOUNT] = account
    for host in fleet.hosts:
        if exchange == "mesh":
            host.directory.is_large = lambda: False
            host.exchange.interval = lambda: MESH_INTERVAL_S
        if exchange == "equal split":
            host.buckets.reachable_fraction = lambda: 1 / count
            host.exchange.send = lambda: None
    fleet.run(SETTLING_S)
    taken = asked = 0
    owed = 0.0
    for _ in range(round(LIMIT_S / stepped_fleet.STEP_S)):
        fleet.step()
        owed += rate * demand * stepped_fleet.STEP_S / REQUEST_TOKENS
        while owed >= 1:
            owed -= 1
            number = fleet.generator.randrange(count)
            # The first third of the hosts gets half of the requests.
            if fleet.generator.random() < 0.25:
                number //= 3
            asked += REQUEST_TOKENS
            if fleet.hosts[number].buckets.admit(account, REQUEST_TOKENS) == 0:
                taken += REQUEST_TOKENS
    return taken / (rate * LIMIT_S + 2 * rate), taken / asked


def main() -> None:
    """Prints both tables."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    print("hosts  messages/s  bytes/s  busiest  policy reads/s  age s")
    for count in SIZES:
        row = costs(count)
        print(
            f"{count:5}  {row.messages:10.1f}  {row.sent_bytes:7.0f}  "
            f"{row.most_messages:7.0f}  {row.policy_reads:14.3f}  "
            f"{row.age_s:5.1f}",
            flush=True,
        )
    print("\nhosts  exchange     at twice the limit  at 0.8 of it")
    for count in LIMIT_SIZES:
        for exchange in ("relays", "mesh", "equal split"):
            over, _ = admitted(count, 2.0, exchange)
            _, below = admitted(count, 0.8, exchange)
            print(
                f"{count:5}  {exchange:11}  {over:18.3f}  {below:12.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
