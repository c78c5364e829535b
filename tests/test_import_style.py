"""Tests that project code imports its own modules, not names from them."""

from __future__ import annotations

import ast
import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
OWN_PACKAGES = ("coltsfootarch", "standins", "benchmarks", "soak")
SOURCES = sorted(
    path
    for folder in ("src", "standins", "benchmarks", "soak")
    for path in (ROOT / folder).rglob("*.py")
)


def imported_names(path):
    """Yields the dotted names that a file imports from own packages."""
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            isinstance(node, ast.ImportFrom)
            and node.module.split(".")[0] in OWN_PACKAGES
        ):
            for alias in node.names:
                yield f"{node.module}.{alias.name}"


@pytest.mark.parametrize(
    "path", SOURCES, ids=lambda path: str(path.relative_to(ROOT))
)
def test_imports_from_own_packages_are_modules(path):
    names = [
        name
        for name in imported_names(path)
        if importlib.util.find_spec(name) is None
    ]

    assert not names, f"import the module instead of {names}"
