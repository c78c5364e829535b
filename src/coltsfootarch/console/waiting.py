"""Waiting for a committed configuration version to be accepted."""

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
    """Adds the option `--wait` to a command."""
    option = click.option(
        "--wait",
        type=platform.KindParamType(kinds.Duration("0s", "1d"), "duration"),
        default="30s",
        show_default=True,
        help="Longest wait until the version is in force on every host.",
    )
    return option(command)


def wait_and_report(
    ctx: click.Context,
    repository: repositories.ConfigRepository,
    version: int,
    wait: Wait,
    as_json: bool,
    extra_members: dict[str, Any] | None = None,
) -> None:
    """Prints a committed version, waits for it and prints the outcome.

    Exits with `output.NOT_ACCEPTED` if the version is not accepted in time.

    Args:
        ctx: Context of the command.
        repository: Repository that contains the version.
        version: The committed version.
        wait: Longest time to wait.
        as_json: Whether to print only one JSON document, after the wait.
        extra_members: Additional members of the JSON document.
    """
    if not as_json:
        click.echo(f"committed version {version}")
    status = wait_until_accepted(repository, version, wait)
    accepted = status is not None and status.accepted
    text = describe_status(status)
    if as_json:
        output.print_json(
            {
                **(extra_members or {}),
                "version": version,
                "accepted": accepted,
                "outcome": text,
            }
        )
    else:
        click.echo(text)
    if not accepted:
        ctx.exit(output.NOT_ACCEPTED)


def describe_status(status: statuses.ConfigStatus | None) -> str:
    """Returns a one-line description of a committed version's status.

    Args:
        status: The status; None if it could not be read.
    """
    if status is None:
        return "committed, but the table service can't be reached; see status"
    if status.accepted:
        return "accepted"
    return f"committed, waiting for {status.describe_waiting()}"


def wait_until_accepted(
    repository: repositories.ConfigRepository, version: int, wait: Wait
) -> statuses.ConfigStatus | None:
    """Polls the status until the version is accepted or `wait` has passed.

    Returns:
        The last status that could be read; None if none could be.
    """
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
