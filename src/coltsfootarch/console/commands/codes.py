"""The command `coltsfootarch codes`."""

from __future__ import annotations

import click

from coltsfootarch import results
from coltsfootarch.console import output


@click.command()
@click.argument("number", type=int, required=False)
@output.json_option
def codes(number: int | None, as_json: bool) -> None:
    """Explain all result codes, or only the one with NUMBER."""
    try:
        selected = (
            results.all_codes()
            if number is None
            else [results.by_number(number)]
        )
    except KeyError:
        raise click.BadParameter(
            f"no result code has the number {number}"
        ) from None
    rows = [
        code._replace(execution=code.execution.value)._asdict()  # type: ignore[arg-type]
        for code in selected
    ]
    if as_json:
        output.print_json(rows)
        return
    output.print_table(
        ("number", "name", "HTTP", "execution", "meaning"),
        [tuple(row.values()) for row in rows],
    )
