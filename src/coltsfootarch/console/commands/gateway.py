"""`coltsfootarch gateway`."""

from __future__ import annotations

import importlib
import pathlib

import click


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    required=True,
    help="Settings of this host, in TOML.",
)
def gateway(path: pathlib.Path) -> None:
    """Run an entry host until SIGTERM, then stop without cutting requests."""
    # The standard library must be patched before other modules use sockets.
    monkey = importlib.import_module("gevent.monkey")
    monkey.patch_all()
    settings = importlib.import_module("coltsfootarch.config.settings")
    logs = importlib.import_module("coltsfootarch.observability.logs")
    daemon = importlib.import_module("coltsfootarch.gateway.daemon")
    parsed = settings.parse(path.read_text(), str(path))
    logs.configure(parsed.log_level.value, host=parsed.name)
    daemon.Gateway(parsed).run()
