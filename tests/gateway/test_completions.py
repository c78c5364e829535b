"""Tests that completion requests are validated and prefixes digested."""

from __future__ import annotations

import json

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import completions


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"{", results.INVALID_JSON),
        (b"[]", results.INVALID_FIELD),
        (b'{"model": "m"}', results.INVALID_FIELD),
        (b'{"model": "m", "prompt": 1}', results.INVALID_FIELD),
        (b'{"model": "m", "prompt": "p", "n": 2}', results.INVALID_FIELD),
        (
            b'{"model": "m", "prompt": "p", "max_tokens": 0}',
            results.INVALID_FIELD,
        ),
        (
            b'{"model": "m", "prompt": "p", "max_tokens": true}',
            results.INVALID_FIELD,
        ),
    ],
)
def test_invalid_body_is_refused_with_its_code(body, code):
    with pytest.raises(errors.RefusedError) as refused:
        completions.parse(body)

    assert refused.value.code == code


def test_valid_body_is_parsed_with_defaults():
    request = completions.parse(
        json.dumps({"model": "m", "prompt": "p"}).encode()
    )

    assert request.max_tokens == completions.DEFAULT_OUTPUT_TOKENS
    assert request.stream is False


def test_equal_prefixes_have_equal_digests():
    size = completions.CHUNK_TOKENS * completions.BYTES_PER_TOKEN
    preamble = "a" * size * 2

    first = completions.prefix_digests(preamble + "x" * size)
    second = completions.prefix_digests(preamble + "y" * size)

    assert first[:2] == second[:2]
    assert first[2] != second[2]
