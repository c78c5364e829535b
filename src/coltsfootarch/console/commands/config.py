"""The commands `coltsfootarch config ...`."""

from __future__ import annotations

import difflib
import pathlib
from typing import TYPE_CHECKING

import click

from coltsfootarch.config import parser
from coltsfootarch.console import output
from coltsfootarch.console import platform
from coltsfootarch.console import waiting

if TYPE_CHECKING:
    from coltsfootarch.config import status as statuses

FILE = click.Path(
    exists=True, dir_okay=False, readable=True, path_type=pathlib.Path
)


# A backspace at the start of a paragraph makes click keep its line breaks.
HELP = """Check and commit the register and show its status.

\b
A usual edit:
  coltsfootarch config show > register.toml
  (edit register.toml)
  coltsfootarch config check register.toml
  coltsfootarch config diff register.toml
  coltsfootarch config apply register.toml --base VERSION
"""


@click.group(help=HELP)
def config() -> None:
    """Groups the commands for the register; users see `HELP`."""


def read_text(file: pathlib.Path) -> str:
    """Returns the text of a file.

    Raises:
        click.BadParameter: The file can't be read or is not UTF-8.
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"can't read {file}: {error}") from None


@config.command()
@click.argument("file", type=FILE)
def check(file: pathlib.Path) -> None:
    """Check the register in FILE without a connection to the platform."""
    register = parser.parse(read_text(file), file.name)
    click.echo(
        f"{file.name} is valid: {len(register.availability_zones)} "
        f"availability zones, {len(register.hosts)} hosts, "
        f"{len(register.services)} services, {len(register.upstreams)} "
        f"upstreams, {len(register.client_accounts)} client accounts"
    )


@config.command()
@platform.table_service_option
@click.option(
    "--version",
    type=click.IntRange(min=1),
    help="Version to print; the newest if omitted.",
)
def show(address: str, version: int | None) -> None:
    """Print a committed register, and its version on standard error."""
    repository = platform.open_repository(address)
    stored = repository.read(version or repository.head())
    click.echo(f"version {stored.version} by {stored.author}", err=True)
    click.echo(stored.document, nl=False)


@config.command()
@click.argument("file", type=FILE)
@platform.table_service_option
def diff(file: pathlib.Path, address: str) -> None:
    """Show the differences of FILE from the newest committed version."""
    text = read_text(file)
    parser.parse(text, file.name)
    repository = platform.open_repository(address)
    head = repository.head()
    committed = repository.read(head).document if head else ""
    lines = list(
        difflib.unified_diff(
            committed.splitlines(),
            text.splitlines(),
            f"version {head}",
            file.name,
            lineterm="",
        )
    )
    click.echo("\n".join(lines) if lines else f"same as version {head}")


@config.command()
@click.argument("file", type=FILE)
@platform.table_service_option
@platform.author_option
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Version that FILE was edited from; 0 for the first commit.",
)
@click.option(
    "--comment",
    "-m",
    default="",
    help="Reason for the change, shown in the history.",
)
@waiting.wait_option
@output.json_option
@click.pass_context
def apply(
    ctx: click.Context,
    file: pathlib.Path,
    address: str,
    author: str,
    base: int,
    comment: str,
    wait: waiting.Wait,
    as_json: bool,
) -> None:
    """Commit the register in FILE and wait until it is accepted.

    The commit is refused if another version was committed after --base.
    Otherwise it could undo another edit, such as the withdrawal of a key.
    """
    text = read_text(file)
    parser.parse(text, file.name)
    repository = platform.open_repository(address)
    stored = repository.commit(text, author, comment, base)
    waiting.wait_and_report(ctx, repository, stored.version, wait, as_json)


@config.command()
@platform.table_service_option
@click.option(
    "--limit",
    type=click.IntRange(min=1),
    default=20,
    show_default=True,
    help="Largest number of versions to list.",
)
@output.json_option
def history(address: str, limit: int, as_json: bool) -> None:
    """List the committed versions, newest first."""
    versions = platform.open_repository(address).history(limit)
    columns = (
        "version",
        "committed_at",
        "author",
        "comment",
        "digest",
        "commit_id",
    )
    rows = [
        {name: getattr(stored, name) for name in columns} for stored in versions
    ]
    if as_json:
        output.print_json(rows)
        return
    output.print_table(columns[:4], [tuple(row.values())[:4] for row in rows])


@config.command()
@platform.table_service_option
@output.json_option
@click.pass_context
def status(ctx: click.Context, address: str, as_json: bool) -> None:
    """Show the version in force on each host.

    Exits with 3 if the newest version is not yet accepted.
    """
    repository = platform.open_repository(address)
    head = repository.head()
    register = parser.parse(repository.read(head).document)
    config_status = repository.status(register, head)
    if as_json:
        output.print_json(status_document(config_status))
    else:
        print_status(config_status)
    if not config_status.accepted:
        ctx.exit(output.NOT_ACCEPTED)


def status_document(config_status: statuses.ConfigStatus) -> dict[str, object]:
    """Returns a status as a JSON document."""
    zones = [
        {
            "availability_zone": zone.availability_zone,
            "hosts": [host._asdict() for host in zone.hosts],
            "waiting_for": zone.waiting_for,
        }
        for zone in config_status.zones
    ]
    return {
        "version": config_status.version,
        "accepted": config_status.accepted,
        "availability_zones": zones,
    }


def print_status(config_status: statuses.ConfigStatus) -> None:
    """Prints a status as a table and a line of text."""
    rows = [
        (
            zone.availability_zone,
            host.host,
            host.version if host.has_session else "-",
            f"{host.age:.0f}s" if host.age >= 0 else "-",
        )
        for zone in config_status.zones
        for host in zone.hosts
    ]
    output.print_table(("zone", "host", "version", "renewed"), rows)
    click.echo(
        f"newest version {config_status.version}: "
        f"{waiting.describe_status(config_status)}"
    )


@config.command("forget-hosts")
@click.option(
    "--zone", required=True, help="Availability zone whose hosts have stopped."
)
@platform.table_service_option
@platform.author_option
@click.option(
    "--yes",
    is_flag=True,
    help="Skip the confirmation; use it only if the hosts have stopped.",
)
def forget_hosts(zone: str, address: str, author: str, yes: bool) -> None:
    """Delete the sessions of a lost zone, so that edits can be accepted.

    Only do this if no host of the zone is running. A host that still runs
    would serve requests without the new edits.
    """
    if not yes:
        click.confirm(f"Have all hosts of zone {zone} stopped?", abort=True)
    hosts = platform.open_repository(address).forget_hosts(zone, author)
    if not hosts:
        click.echo(f"zone {zone} has no sessions")
        return
    click.echo(f"forgot {', '.join(hosts)}")
