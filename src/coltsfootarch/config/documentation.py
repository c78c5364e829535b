"""Generates the tables of `docs/configuration.md` from the descriptions."""

from __future__ import annotations

import datetime
import enum
from typing import Any

from coltsfootarch.config import checker
from coltsfootarch.config import kinds

TABLE_HEADER = (
    "| key | accepted | default | meaning |",
    "| --- | --- | --- | --- |",
)


def rows(table: checker.Table) -> list[str]:
    """Returns the documentation of a table, one Markdown row per key."""
    defaults = getattr(table.build, "_field_defaults", {})
    return [
        "| "
        + " | ".join(
            (
                f"`{field.key}`",
                accepted(field).replace("|", "\\|"),
                "required" if field.required else default(defaults, field.key),
                field.meaning,
            )
        )
        + " |"
        for field in table.fields
    ]


def accepted(field: checker.Field) -> str:
    """Returns the accepted values in words."""
    if field.reference:
        return f"name of a `[[{field.reference}]]`"
    return field.kind.accepted


def default(defaults: dict[str, Any], key: str) -> str:
    """Returns a key's default as it would be written in a document."""
    value = defaults.get(key)
    if value is None or value == "":
        return "none"
    if isinstance(value, datetime.timedelta):
        return f'`"{kinds.format_duration(value)}"`'
    if isinstance(value, enum.Enum):
        value = value.value
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    if isinstance(value, str):
        return f'`"{value}"`'
    if isinstance(value, float):
        return f"`{value:g}`" if value < 1 else f"`{value:.1f}`"
    return f"`{value}`"


def section(table: checker.Table) -> str:
    """Returns heading and rows of a table and of the tables nested in it."""
    brackets = f"[[{table.path}]]" if table.is_array else f"[{table.path}]"
    parts = ["\n".join((f"### `{brackets}`", "", *TABLE_HEADER, *rows(table)))]
    parts += [section(nested) for _, nested in table.tables]
    return "\n\n".join(parts)
