"""Options and clients with which commands access the platform's services."""

from __future__ import annotations

import datetime
import getpass
import importlib
from typing import TYPE_CHECKING
from typing import Any

import click

from coltsfootarch import errors
from coltsfootarch.config import kinds

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import repository as repositories
    from coltsfootarch.storage import tables

CLIENT_MODULE = "coltsfootarch.storage.table_client"
REQUEST_TIMEOUT = datetime.timedelta(seconds=5)


class KindParamType(click.ParamType[Any]):
    """Type of an option whose value is parsed by a configuration kind.

    Args:
        kind: Kind that parses the value.
        name: Name of the type in help texts.
    """

    def __init__(self, kind: kinds.Kind, name: str) -> None:
        self.kind = kind
        self.name = name

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Any:
        """Returns the value parsed by the kind; see `click.ParamType`."""
        if not isinstance(value, str):
            return value
        try:
            return self.kind.read(value)
        except errors.ConfigurationError:
            return self.fail(f"accepted: {self.kind.accepted}", param, ctx)


def table_service_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the option `--table-service` to a command."""
    option = click.option(
        "--table-service",
        "address",
        type=KindParamType(kinds.Address(), "ip:port"),
        envvar="COLTSFOOTARCH_TABLE_SERVICE",
        show_envvar=True,
        required=True,
        help="Address of the platform's table service.",
    )
    return option(command)


def author_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the option `--author` to a command."""
    option = click.option(
        "--author",
        default=login_name,
        envvar="COLTSFOOTARCH_AUTHOR",
        show_envvar=True,
        show_default="login name",
        help="Your name for the history and the audit trail.",
    )
    return option(command)


def login_name() -> str:
    """Returns the login name of the operator.

    Raises:
        click.UsageError: The system has no login name for this user.
    """
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise click.UsageError(
            "no login name was found; give your name with --author"
        ) from None


def open_tables(address: str) -> tables.TableService:
    """Returns a table service client, which connects when it is first used."""
    client = importlib.import_module(CLIENT_MODULE)
    service: tables.TableService = client.HttpTableService(
        address, REQUEST_TIMEOUT
    )
    return service


def open_clock() -> clocks.Clock:
    """Returns the system clock."""
    clock = importlib.import_module("coltsfootarch.clock")
    system: clocks.Clock = clock.SystemClock()
    return system


def open_repository(address: str) -> repositories.ConfigRepository:
    """Returns the configuration repository of a table service."""
    module = importlib.import_module("coltsfootarch.config.repository")
    repository: repositories.ConfigRepository = module.ConfigRepository(
        open_tables(address), open_clock()
    )
    return repository
