"""Adds or removes one API key in the register's TOML text.

The text is edited by lines, so that the rest of it stays as the operator wrote
it, comments included. The edited text is parsed again to verify that only that
entry has changed.
"""

from __future__ import annotations

import copy
import re
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from coltsfootarch import errors

if TYPE_CHECKING:
    from coltsfootarch.config import register as registers

ACCOUNT_HEADER = re.compile(r"\s*\[\[\s*client_account\s*\]\]\s*(#.*)?")
KEY_HEADER = re.compile(r"\s*\[\[\s*client_account\s*\.\s*key\s*\]\]\s*(#.*)?")
ANY_HEADER = re.compile(r"\s*\[.*")
BLANK_OR_COMMENT = re.compile(r"\s*(#.*)?")


class Section(NamedTuple):
    """Lines of one table.

    Attributes:
        start: Index of the header's line.
        end: Index after the table's last line. Blank lines and comments at
            the end are left out; they belong to the next table.
    """

    start: int
    end: int


def add_key(document: str, account: str, key: registers.Key) -> str:
    """Returns the document with a key added to an account.

    Args:
        document: TOML text of a register.
        account: Name of the client account.
        key: The key to add.

    Raises:
        ConfigurationError: No such account, or the text uses a notation that
            can't be edited by lines.
    """
    before = tomllib.loads(document)
    expected = copy.deepcopy(before)
    entry = find_account(expected, account)
    entry.setdefault("key", []).append(key._asdict())
    lines = document.split("\n")
    newline = "\r" if lines[0].endswith("\r") else ""
    added = [
        "",
        "[[client_account.key]]",
        *(f'{name} = "{value}"' for name, value in key._asdict().items()),
    ]
    for section in find_sections(lines, ACCOUNT_HEADER):
        if account_name(lines, section) == account:
            end = end_of_keys(lines, section)
            lines[end:end] = [f"{line}{newline}" for line in added]
            return verify_edit("\n".join(lines), expected)
    raise not_editable_error(f'[[client_account]] "{account}"')


def remove_key(document: str, key_id: str) -> str:
    """Returns the document without a key.

    Args:
        document: TOML text of a register.
        key_id: Public part of the key.

    Raises:
        UnknownKeyIdError: No account has the key.
        ConfigurationError: The text uses a notation that can't be edited by
            lines.
    """
    expected = tomllib.loads(document)
    remove_key_entry(expected, key_id)
    lines = document.split("\n")
    for section in find_sections(lines, KEY_HEADER):
        body = read_section(lines, section).get("client_account", {})
        if body.get("key", [{}])[0].get("key_id") != key_id:
            continue
        start = section.start
        if start > 0 and not lines[start - 1].strip():
            start -= 1
        del lines[start : section.end]
        return verify_edit("\n".join(lines), expected)
    raise not_editable_error(f'[[client_account.key]] with key_id = "{key_id}"')


def find_sections(lines: list[str], header: re.Pattern[str]) -> list[Section]:
    """Returns the tables whose header matches, in the order of the text."""
    starts = [
        index for index, line in enumerate(lines) if ANY_HEADER.fullmatch(line)
    ]
    if not starts:
        return []
    ends = [*starts[1:], len(lines)]
    return [
        Section(start, end_without_comments(lines, start, end))
        for start, end in zip(starts, ends, strict=True)
        if header.fullmatch(lines[start])
    ]


def end_without_comments(lines: list[str], start: int, end: int) -> int:
    """Returns `end` without the blank lines and comments before it."""
    while end > start + 1 and BLANK_OR_COMMENT.fullmatch(lines[end - 1]):
        end -= 1
    return end


def end_of_keys(lines: list[str], account: Section) -> int:
    """Returns the index after the last key of an account, or of its table."""
    end = account.end
    for index in range(account.end, len(lines)):
        if KEY_HEADER.fullmatch(lines[index]):
            following = find_sections(lines[index:], KEY_HEADER)[0]
            end = index + following.end
        elif ANY_HEADER.fullmatch(lines[index]):
            break
    return end


def read_section(lines: list[str], section: Section) -> dict[str, Any]:
    """Returns the parsed lines of one table; empty if they don't parse."""
    text = "\n".join(lines[section.start : section.end])
    try:
        # A carriage return at the end of the text is not valid TOML without a
        # line feed after it.
        return tomllib.loads(f"{text}\n")
    except ValueError:
        return {}


def account_name(lines: list[str], section: Section) -> str | None:
    """Returns the `name` in an account's table; None if it has none."""
    found = read_section(lines, section).get("client_account")
    return found[0].get("name") if found else None


def find_account(document: dict[str, Any], account: str) -> dict[str, Any]:
    """Returns the parsed entry of an account.

    Raises:
        ConfigurationError: No such account.
    """
    entries: list[dict[str, Any]] = document.get("client_account", [])
    for entry in entries:
        if entry.get("name") == account:
            return entry
    names = ", ".join(str(entry.get("name")) for entry in entries) or "none"
    raise errors.ConfigurationError(
        f'no [[client_account]] has the name "{account}"; accepted: {names}'
    )


class UnknownKeyIdError(errors.ConfigurationError):
    """No client account has the key."""


def remove_key_entry(document: dict[str, Any], key_id: str) -> None:
    """Removes a key from a parsed document.

    Raises:
        UnknownKeyIdError: No account has the key.
    """
    for entry in document.get("client_account", []):
        keys = entry.get("key", [])
        remaining = [key for key in keys if key.get("key_id") != key_id]
        if len(remaining) == len(keys):
            continue
        entry["key"] = remaining
        if not remaining:
            del entry["key"]
        return
    raise UnknownKeyIdError(
        f'no [[client_account.key]] has key_id = "{key_id}"; it may have been '
        "withdrawn already"
    )


def verify_edit(document: str, expected: dict[str, Any]) -> str:
    """Returns the edited document if it parses to the expected content.

    Raises:
        ConfigurationError: It does not, so the edit changed something else.
    """
    try:
        found = tomllib.loads(document)
    except ValueError:
        found = {}
    if found != expected:
        raise not_editable_error("the entry")
    return document


def not_editable_error(subject: str) -> errors.ConfigurationError:
    """Returns the error for a text that can't be edited by lines."""
    return errors.ConfigurationError(
        f"{subject} can't be edited in the register's text; write accounts and "
        "keys as [[client_account]] and [[client_account.key]] tables, or edit "
        "the register by hand and use `config apply`"
    )
