"""The command `coltsfootarch audit`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from coltsfootarch.audit import trail
from coltsfootarch.config import kinds
from coltsfootarch.console import output
from coltsfootarch.console import platform

if TYPE_CHECKING:
    import datetime


@click.command()
@platform.table_service_option
@click.option(
    "--since",
    type=platform.KindParamType(kinds.Duration("1s", "36500d"), "duration"),
    default="7d",
    show_default=True,
    help="Age of the oldest entry to show, such as 90m or 30d.",
)
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=100,
    show_default=True,
    help="Largest number of entries; the newest ones are shown.",
)
@output.json_option
def audit(
    address: str, since: datetime.timedelta, limit: int, as_json: bool
) -> None:
    """Show who changed what and when, oldest entry first."""
    clock = platform.open_clock()
    entries = trail.AuditTrail(platform.open_tables(address), clock).read(
        clock.now() - since, limit
    )
    if as_json:
        output.print_json([entry._asdict() for entry in entries])
        return
    output.print_table(trail.AuditEntry._fields, entries)
