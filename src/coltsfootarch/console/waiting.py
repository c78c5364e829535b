"""Waits until a committed version is accepted."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import click

from coltsfootarch import errors
from coltsfootarch.config import kinds
from coltsfootarch.config import parser
from coltsfootarch.console import output
from coltsfootarch.console import platform

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import repository as repositories
    from coltsfootarch.config import status as statuses

Wait: TypeAlias = datetime.timedelta

POLL_INTERVAL = datetime.timedelta(milliseconds=500)


def wait_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds `--wait` to a command."""
    option = click.option(
        "--wait",
        type=platform.KindType(kinds.Duration("0s", "1d"), "duration"),
        default="30s",
        show_default=True,
        help="How long to wait until every host has the version in force.",
    )
    return option(command)


def report(
    ctx: click.Context,
    repository: repositories.ConfigRepository,
    version: int,
    wait: Wait,
    as_json: bool,
    facts: dict[str, Any] | None = None,
) -> None:
    """Prints that a version is committed, waits, and prints the outcome.

    Exits with `output.NOT_ACCEPTED` if the version is not accepted in time.

    Args:
        ctx: Context of the command.
        repository: Committed versions.
        version: The committed version.
        wait: Longest wait.
        as_json: Whether to print one JSON document at the end instead.
        facts: Further members of that document.
    """
    if not as_json:
        click.echo(f"committed version {version}")
    status = wait_until_accepted(repository, version, wait)
    accepted = status is not None and status.accepted
    text = outcome(status)
    if as_json:
        output.print_json(
            {
                **(facts or {}),
                "version": version,
                "accepted": accepted,
                "outcome": text,
            }
        )
    else:
        click.echo(text)
    if not accepted:
        ctx.exit(output.NOT_ACCEPTED)


def outcome(status: statuses.ConfigStatus | None) -> str:
    """Returns the last line that a commit prints."""
    if status is None:
        return "committed, but the table service can't be reached; see status"
    if status.accepted:
        return "accepted"
    return f"committed, waiting for {status.describe_waiting()}"


def wait_until_accepted(
    repository: repositories.ConfigRepository, version: int, wait: Wait
) -> statuses.ConfigStatus | None:
    """Returns the last status that could be read, None if there is none."""
    clock = repository.clock
    deadline = clock.monotonic() + wait.total_seconds()
    status = None
    while True:
        try:
            register = parser.parse(repository.read(version).document)
            status = repository.status(register, version)
        except errors.TableUnavailableError:
            pass
        remaining = deadline - clock.monotonic()
        if (status and status.accepted) or remaining <= 0:
            return status
        pause = min(POLL_INTERVAL.total_seconds(), remaining)
        clock.sleep(datetime.timedelta(seconds=pause))
