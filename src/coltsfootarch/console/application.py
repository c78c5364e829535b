"""The `coltsfootarch` command."""

from __future__ import annotations

import importlib
from typing import Any

import click

from coltsfootarch import errors
from coltsfootarch.console import output

# Import paths of the commands. Each is imported when it is used, so that a
# command doesn't load the dependencies of the others.
COMMANDS = {
    "audit": "coltsfootarch.console.commands.audit:audit",
    "demo": "coltsfootarch.console.commands.demo:demo",
    "gateway": "coltsfootarch.console.commands.gateway:gateway",
    "codes": "coltsfootarch.console.commands.codes:codes",
    "config": "coltsfootarch.console.commands.config:config",
    "key": "coltsfootarch.console.commands.key:key",
    "status": "coltsfootarch.console.commands.status:status",
}


class Application(click.Group):
    """Command group with lazy imports that prints errors with result codes."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*COMMANDS, *super().list_commands(ctx)})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns the command with a name, or None if there is none."""
        import_path = COMMANDS.get(cmd_name)
        if import_path is None:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = import_path.partition(":")
        command: click.Command = getattr(
            importlib.import_module(module), attribute
        )
        return command

    def invoke(self, ctx: click.Context) -> Any:
        """Runs the command; prints an error and exits with its exit code."""
        try:
            return super().invoke(ctx)
        except errors.ColtsfootarchError as error:
            click.echo(describe(error), err=True)
            ctx.exit(exit_code(error))


def describe(error: errors.ColtsfootarchError) -> str:
    """Returns the error's message after its result code's number and name."""
    heading = f"{error.code.number} {error.code.name}"
    if error.message.startswith(heading):
        return error.message
    return f"{heading}: {error.message}"


def exit_code(error: errors.ColtsfootarchError) -> int:
    """Returns the exit code of the command for an error."""
    unreachable_errors = (
        errors.TableUnavailableError,
        errors.TableOutcomeUnknownError,
        errors.ObjectStoreUnavailableError,
        errors.HostListUnavailableError,
    )
    if isinstance(error, unreachable_errors):
        return output.UNREACHABLE
    return output.REFUSED


@click.group(
    cls=Application,
    epilog="Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, "
    "3 committed but not yet accepted, 4 platform unreachable.",
)
@click.version_option(package_name="coltsfootarch")
def main() -> None:
    """Router for prefill and decode pools and the plain services beside them.

    Start with `coltsfootarch config check FILE`, which checks a register file
    and explains its errors. It needs no connection.
    """
