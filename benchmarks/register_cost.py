"""Measures the cost of a register by its number of client accounts.

The register has one upstream and one host for every ten accounts, similar to
the size that the product is designed for (6,100 accounts, 600 runners, 380
hosts).
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import NamedTuple

from coltsfootarch.config import parser
from coltsfootarch.config import routes
from coltsfootarch.keys import keyring

ACCOUNTS = (100, 1000, 6100)
ACCOUNTS_PER_UPSTREAM = 10
ZONES = 12
HEAD = """
[[service]]
name = "model"
kind = "model"
model = "model"

[rules]
scheduling_scope = "zone"
resume_secret = "SECRET"
""".replace("SECRET", "5e" * 32)


class RegisterCost(NamedTuple):
    """Cost of one register.

    Attributes:
        accounts: Client accounts.
        kilobytes: Size of the TOML document.
        parse_milliseconds: Processor time to parse and validate it.
        memory_kilobytes: Memory of the register with its routes and keys.
    """

    accounts: int
    kilobytes: float
    parse_milliseconds: float
    memory_kilobytes: float


def document(accounts: int) -> str:
    """Returns the TOML text of a register with so many client accounts."""
    sections = [HEAD]
    for number in range(ZONES):
        sections.append(
            f'[[availability_zone]]\nname = "zone-{number}"\n'
            f'region = "region-{number % 3}"\nshards = 64\n'
        )
    for number in range(accounts // ACCOUNTS_PER_UPSTREAM):
        zone = f"zone-{number % ZONES}"
        role = "prefill" if number % 5 < 2 else "decode"
        sections.append(
            f'[[host]]\nname = "host-{number}"\navailability_zone = "{zone}"\n'
            f'[[upstream]]\nname = "engine-{number}"\nservice = "model"\n'
            f'availability_zone = "{zone}"\nrole = "{role}"\n'
            f'address = "127.0.0.1:{10_000 + number}"\n'
        )
    for number in range(accounts):
        sections.append(
            f'[[client_account]]\nname = "account-{number}"\n'
            f"rate = 4000\nburst = 120000\n"
            f'[[client_account.key]]\nkey_id = "{number:012x}"\n'
            f'salt = "{number:032x}"\ndigest = "{number:064x}"\n'
        )
    return "\n".join(sections)


def measure(accounts: int) -> RegisterCost:
    """Returns the cost of a register with so many client accounts."""
    text = document(accounts)
    started = time.process_time()
    parser.parse(text)
    parse = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    register = parser.parse(text)
    retained = (
        register,
        routes.RouteTable(register),
        keyring.Keyring(register),
    )
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del retained
    return RegisterCost(accounts, len(text) / 1024, parse * 1e3, size / 1024)


def run() -> list[RegisterCost]:
    """Returns the cost at each number of accounts in `ACCOUNTS`."""
    return [measure(accounts) for accounts in ACCOUNTS]
