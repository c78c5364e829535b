"""The command `coltsfootarch gateway`."""

from __future__ import annotations

import importlib
import pathlib
import sys
import tomllib
from typing import Any

import click


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    required=True,
    help="Settings file of this host, in TOML.",
)
def gateway(path: pathlib.Path) -> None:
    """Run an entry host until SIGTERM, then finish its requests and stop.

    With a table [edge] in its settings, the host reads its configuration from
    the metadata store of a platform. With a table [gateway], it joins the
    hosts of a register.
    """
    text = path.read_text()
    if has_edge_table(text):
        run_edge(path, text)
        return
    # The standard library must be patched before other modules import it.
    monkey = importlib.import_module("gevent.monkey")
    monkey.patch_all()
    settings = importlib.import_module("coltsfootarch.config.settings")
    logs = importlib.import_module("coltsfootarch.observability.logs")
    daemon = importlib.import_module("coltsfootarch.gateway.daemon")
    parsed = settings.parse(text, str(path))
    logs.configure(parsed.log_level.value, host=parsed.name)
    daemon.Gateway(parsed).run()


def has_edge_table(text: str) -> bool:
    """Returns whether settings contain a table [edge]."""
    try:
        return "edge" in tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False  # The settings parser reports it with a result code.


def run_edge(path: pathlib.Path, text: str) -> None:
    """Runs an entry host whose settings contain a table [edge]."""
    gevent: Any = importlib.import_module("gevent")
    # All addresses are numeric; the default resolver would start threads.
    gevent.config.resolver = "block"
    settings = importlib.import_module("coltsfootarch.config.edge_settings")
    parsed = settings.parse(text, str(path))
    clocks = importlib.import_module("coltsfootarch.clock")
    logs = importlib.import_module("coltsfootarch.observability.logs")
    log_writer = importlib.import_module(
        "coltsfootarch.observability.log_writer"
    )
    daemon = importlib.import_module("coltsfootarch.forwarding.daemon")
    platform = importlib.import_module("coltsfootarch.platform.attachment")
    clock = clocks.SystemClock()
    writer = log_writer.LogWriter(sys.stdout.fileno(), clock)
    logs.configure(parsed.log_level.value, writer, parsed.name)
    attached = platform.attach(parsed.store, clock)
    daemon.EdgeDaemon(parsed, attached, clock, writer, path).run()
