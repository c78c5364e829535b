"""Guards the house style that modules are imported and not names."""

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
def test_own_imports_name_modules_only(path):
    names = [
        name
        for name in imported_names(path)
        if importlib.util.find_spec(name) is None
    ]

    assert not names, f"import the module instead of {names}"
