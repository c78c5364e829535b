"""Exit codes and text or JSON output of the commands."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import click

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

# Exit codes, documented in docs/command-line.md.
OK = 0
REFUSED = 1
USAGE = 2
NOT_ACCEPTED = 3
UNREACHABLE = 4


def json_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the option `--json` to a command."""
    option = click.option(
        "--json",
        "as_json",
        is_flag=True,
        help="Print the result as one JSON document.",
    )
    return option(command)


def print_json(value: Any) -> None:
    """Prints a value as one JSON document."""
    click.echo(json.dumps(value, indent=2))


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Prints a header and rows as aligned columns."""
    lines = [tuple(header), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())
