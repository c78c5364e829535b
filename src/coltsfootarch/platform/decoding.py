"""Checked access to decoded JSON documents."""

from __future__ import annotations

from typing import Any


class UnreadableDocumentError(Exception):
    """A document lacks a field or has one of another type."""


def text(document: dict[str, Any], key: str) -> str:
    """Returns a text field.

    Raises:
        UnreadableDocumentError: Missing or of another type.
    """
    value = document.get(key)
    if not isinstance(value, str):
        raise UnreadableDocumentError(f"{key} is not a text")
    return value


def number(
    document: dict[str, Any], key: str, default: float | None = None
) -> float:
    """Returns a number field, or the default where it is missing.

    Raises:
        UnreadableDocumentError: Missing without a default, or no number.
    """
    value = document.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a number")
    return float(value)


def flag(document: dict[str, Any], key: str) -> bool:
    """Returns a boolean field; a missing one is False.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    value = document.get(key, False)
    if not isinstance(value, bool):
        raise UnreadableDocumentError(f"{key} is not a boolean")
    return value


def tables(document: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Returns a list of objects; a missing one is empty.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(entry, dict) for entry in value
    ):
        raise UnreadableDocumentError(f"{key} is not a list of objects")
    return value


def texts(document: dict[str, Any], key: str) -> list[str]:
    """Returns a list of texts; a missing one is empty.

    Raises:
        UnreadableDocumentError: Of another type.
    """
    value = document.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(
        isinstance(entry, str) for entry in value
    ):
        raise UnreadableDocumentError(f"{key} is not a list of texts")
    return value
