"""Parses and checks the TOML text of a register."""

from __future__ import annotations

from typing import Any

from coltsfootarch.config import checker
from coltsfootarch.config import consistency
from coltsfootarch.config import register
from coltsfootarch.config import schema

# Replaces a refused `[rules]`, so that its absence isn't reported as further
# problems. It has a `resume_secret`, because a model service requires one.
PLACEHOLDER_RULES = register.Rules(resume_secret="00")


def parse(text: str, file: str = "register.toml") -> register.Register:
    """Parses a register document.

    Args:
        text: TOML text.
        file: Name of the document in error messages.

    Returns:
        The register, with the defaults of `register` filled in.

    Raises:
        InvalidDocumentError: With every problem found; the document is
            refused as a whole.
    """
    document = checker.Checker(file)
    entries = document.read_document(document.load(text), schema.TABLES)
    parsed = register.Register(
        availability_zones=index_by_name(entries["availability_zone"]),
        hosts=index_by_name(entries["host"]),
        services=index_by_name(entries["service"]),
        upstreams=index_by_name(entries["upstream"]),
        client_accounts=index_by_name(entries["client_account"]),
        rules=entries["rules"] or PLACEHOLDER_RULES,
    )
    for violation in consistency.find_violations(parsed):
        document.report(*violation)
    document.raise_problems()
    return parsed


def index_by_name(entries: list[Any]) -> dict[str, Any]:
    """Returns the entries by their `name`."""
    return {entry.name: entry for entry in entries}
