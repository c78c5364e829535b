"""Checks TOML documents against declarative descriptions of their tables.

A `Checker` collects every problem of a document before it refuses it, so that
an operator can correct all of them at once. Conditions that involve more than
one key of a register are in `consistency`.
"""

from __future__ import annotations

import difflib
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch.config import kinds

MAX_SHOWN_VALUE = 60  # Characters of a value that an error message repeats.


class Field(NamedTuple):
    """One key of a table.

    Attributes:
        key: Key in the document and field of the table's named tuple.
        kind: Type of its value.
        meaning: What it sets, with its unit; used in the documentation.
        required: Whether it must be given; the named tuple has a default for
            a key that needn't be.
        reference: Table whose `name` values are accepted; empty if the value
            refers to no table.
        unique: Whether no two entries of the table may have the same value.
        secret: Whether error messages must not repeat the value.
    """

    key: str
    kind: kinds.Kind
    meaning: str
    required: bool = False
    reference: str = ""
    unique: bool = False
    secret: bool = False


class Table(NamedTuple):
    """One table of a document.

    Attributes:
        path: Name in the document, such as "client_account.key".
        build: Makes the table's named tuple from keyword arguments.
        fields: Its keys.
        tables: Nested tables, as pairs of the named tuple's field and the
            table's description.
        is_array: Whether the table is an array of tables (`[[...]]`).
    """

    path: str
    build: Callable[..., Any]
    fields: tuple[Field, ...]
    tables: tuple[tuple[str, Table], ...] = ()
    is_array: bool = True

    @property
    def key(self) -> str:
        """Last part of the path, the key in the parent table."""
        return self.path.rpartition(".")[2]


class Problem(NamedTuple):
    """One reason to refuse a document.

    Attributes:
        code: Result code.
        file: Name of the document.
        table: Table with the name or position of the entry, such as
            `[[host]] "regina-1"`; empty for the document itself.
        key: Key in the table; empty for the table itself.
        text: What is wrong and what is accepted.
    """

    code: results.ResultCode
    file: str
    table: str
    key: str
    text: str

    def __str__(self) -> str:
        """Returns the code, the place and the text on one line."""
        place = ": ".join(
            part for part in (self.file, self.table, self.key) if part
        )
        return f"{self.code.number} {self.code.name}: {place}: {self.text}"


class InvalidDocumentError(errors.ConfigurationError):
    """A document is refused as a whole.

    Its code is that of the first problem.

    Args:
        problems: All problems found, at least one.
    """

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        text = "\n".join(str(problem) for problem in self.problems)
        super().__init__(text, self.problems[0].code)


class PendingReference(NamedTuple):
    """A reference to an entry by name.

    It is checked when the whole document is read, because the entry may come
    later in the document.

    Attributes:
        place: Table and entry that hold the reference.
        field: Key that holds the reference.
        value: Name of the entry referred to.
    """

    place: str
    field: Field
    value: str


class Checker:
    """Reads one document and collects its problems.

    Args:
        file: Name of the document in error messages.

    Attributes:
        problems: Problems found so far.
        seen_values: For each (table path, key) with unique values, the place
            of each value.
        pending_references: References to check at the end of the document.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self.seen_values: dict[tuple[str, str], dict[Any, str]] = {}
        self.pending_references: list[PendingReference] = []

    def report(
        self, code: results.ResultCode, place: str, key: str, text: str
    ) -> None:
        """Adds a problem."""
        self.problems.append(Problem(code, self.file, place, key, text))

    def load(self, text: str) -> dict[str, Any]:
        """Parses TOML text.

        Raises:
            InvalidDocumentError: Code INVALID_TOML.
        """
        try:
            return tomllib.loads(text)
        except RecursionError:
            reason = "the document is nested too deeply"
        except ValueError as error:
            reason = str(error)
        self.report(results.INVALID_TOML, "", "", reason)
        raise InvalidDocumentError(self.problems)

    def read_document(
        self, raw: dict[str, Any], tables: Iterable[Table]
    ) -> dict[str, Any]:
        """Reads the top-level tables of a document.

        Args:
            raw: The parsed TOML document.
            tables: Descriptions of the accepted tables.

        Returns:
            By table name, a list of named tuples for an array of tables, and
            one named tuple for a plain table, or None if it has a problem.
            Array entries with a problem are left out.
        """
        known = {table.key: table for table in tables}
        for key in raw.keys() - known.keys():
            self.report_unknown("", key, known)
        found = {key: self.read(known[key], raw, "") for key in known}
        self.check_references()
        return found

    def read(self, table: Table, parent: dict[str, Any], place: str) -> Any:
        """Reads one table, or all entries of an array of tables.

        Args:
            table: Description of the table.
            parent: Parsed table that contains it.
            place: Place of the parent; empty for the document.

        Returns:
            As for an item of `read_document`.
        """
        raw = parent.get(table.key)
        label = f"{place} / [[{table.path}]]" if place else f"[[{table.path}]]"
        if not table.is_array:
            return self.read_single(table, raw, f"[{table.path}]")
        if raw is None:
            return []
        if not isinstance(raw, list):
            self.report(
                results.WRONG_TYPE,
                place,
                table.key,
                f"must be an array of tables, [[{table.path}]]",
            )
            return []
        entries = [
            self.read_entry(
                table, entry, f"{label} {entry_label(entry, index)}"
            )
            for index, entry in enumerate(raw, start=1)
        ]
        return [entry for entry in entries if entry is not None]

    def read_single(self, table: Table, raw: Any, place: str) -> Any:
        """Reads a plain table; a missing one is read as an empty one."""
        return self.read_entry(table, {} if raw is None else raw, place)

    def read_entry(self, table: Table, raw: Any, place: str) -> Any:
        """Returns the entry's named tuple, or None if it has a problem."""
        if not isinstance(raw, dict):
            self.report(results.WRONG_TYPE, place, "", "must be a table")
            return None
        problems_before = len(self.problems)
        known = {field.key for field in table.fields}
        known |= {nested.key for _, nested in table.tables}
        for key in raw.keys() - known:
            self.report_unknown(place, key, known)
        values: dict[str, Any] = {}
        for field in table.fields:
            self.read_field(table, field, raw, place, values)
        for attribute, nested in table.tables:
            value = self.read(nested, raw, place)
            values[attribute] = tuple(value) if nested.is_array else value
        if len(self.problems) > problems_before:
            return None
        return table.build(**values)

    def read_field(
        self,
        table: Table,
        field: Field,
        raw: dict[str, Any],
        place: str,
        values: dict[str, Any],
    ) -> None:
        """Adds the field's value to `values`, or reports its problem."""
        if field.key not in raw:
            if field.required:
                self.report(
                    results.MISSING_SETTING,
                    place,
                    field.key,
                    f"is required; accepted: {field.kind.accepted}",
                )
            return
        value = raw[field.key]
        try:
            values[field.key] = field.kind.read(value)
        except errors.ConfigurationError as error:
            self.report_value(field, place, value, error)
            return
        if field.unique:
            self.check_unique(table, field, place, value)
        if field.reference:
            self.pending_references.append(
                PendingReference(place, field, value)
            )

    def check_unique(
        self, table: Table, field: Field, place: str, value: Any
    ) -> None:
        """Reports a value that an earlier entry of the table already has."""
        seen = self.seen_values.setdefault((table.path, field.key), {})
        if value in seen:
            self.report(
                results.DUPLICATE_ENTRY,
                place,
                field.key,
                f'"{value}" is already used by {seen[value]}',
            )
            return
        seen[value] = place

    def check_references(self) -> None:
        """Reports references to entries that do not exist."""
        for place, field, value in self.pending_references:
            names = self.seen_values.get((field.reference, "name"), {})
            if value in names:
                continue
            listed = ", ".join(sorted(names)) or "none"
            self.report(
                results.DANGLING_REFERENCE,
                place,
                field.key,
                f'no [[{field.reference}]] has the name "{value}"'
                f"{suggestion(value, names)}; accepted: {listed}",
            )

    def report_unknown(
        self, place: str, key: str, known: Iterable[str]
    ) -> None:
        """Reports a key that the table doesn't have."""
        listed = ", ".join(sorted(known))
        self.report(
            results.UNKNOWN_SETTING,
            place,
            key,
            f"unknown key{suggestion(key, known)}; accepted: {listed}",
        )

    def report_value(
        self,
        field: Field,
        place: str,
        value: Any,
        error: errors.ConfigurationError,
    ) -> None:
        """Reports a value that its kind refuses."""
        shown = "the value" if field.secret else format_value(value)
        detail = error.message
        reason = "" if detail == error.code.summary else f" ({detail})"
        self.report(
            error.code,
            place,
            field.key,
            f"{shown} is not accepted{reason}; accepted: {field.kind.accepted}",
        )

    def raise_problems(self) -> None:
        """Raises an error if problems were found.

        Raises:
            InvalidDocumentError: With all problems.
        """
        if self.problems:
            raise InvalidDocumentError(self.problems)


def entry_label(entry: Any, index: int) -> str:
    """Returns the entry's name in quotes, or "#" and its position from 1."""
    name = entry.get("name") if isinstance(entry, dict) else None
    if isinstance(name, str):
        return f'"{name[:MAX_SHOWN_VALUE]}"'
    return f"#{index}"


def suggestion(key: str, known: Iterable[str]) -> str:
    """Returns `, did you mean "..."?` for the most similar known key.

    Returns:
        Empty if no known key is similar.
    """
    nearest = difflib.get_close_matches(key, list(known), n=1)
    return f', did you mean "{nearest[0]}"?' if nearest else ""


def format_value(value: Any) -> str:
    """Returns a short form of a refused value for an error message."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        value = f'"{value}"'
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, list):
        return "an array"
    text = str(value)
    if len(text) > MAX_SHOWN_VALUE:
        return f"{text[:MAX_SHOWN_VALUE]}..."
    return text
