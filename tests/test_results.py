"""Tests that result codes are unique and match their documentation."""

from __future__ import annotations

import pathlib

from coltsfootarch import results

TABLE = pathlib.Path(__file__).parent.parent / "docs" / "result-codes.md"


def test_numbers_and_names_are_unique():
    codes = results.all_codes()

    assert len({code.number for code in codes}) == len(codes)
    assert len({code.name for code in codes}) == len(codes)


def test_documented_result_codes_match_the_code():
    rows = [
        line for line in TABLE.read_text().splitlines() if line.startswith("| ")
    ][2:]

    assert rows == [results.table_row(code) for code in results.all_codes()]
