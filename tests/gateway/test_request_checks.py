"""Tests that ambiguous headers and oversized bodies are refused.

Neither a caller's key nor a forged client account may reach an upstream.
"""

from __future__ import annotations

import io

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import request_checks


@pytest.mark.parametrize(
    "environ",
    [
        {"HTTP_AUTHORIZATION": "Bearer a,Bearer b"},
        {"HTTP_IDEMPOTENCY_KEY": "a,b"},
        {"CONTENT_LENGTH": "-1"},
        {"HTTP_RESUME_TOKEN": "x" * 5000},
        {"CONTENT_LENGTH": "5", "HTTP_TRANSFER_ENCODING": "chunked"},
    ],
)
def test_ambiguous_headers_are_refused(environ):
    with pytest.raises(errors.RefusedError) as refused:
        request_checks.check_headers(environ)

    assert refused.value.code == results.FORBIDDEN_HEADER


@pytest.mark.parametrize("declared", ["11", ""])
def test_oversized_body_is_refused(declared):
    environ = {
        "CONTENT_LENGTH": declared,
        "wsgi.input": io.BytesIO(b"x" * 11),
    }

    with pytest.raises(errors.RefusedError) as refused:
        request_checks.read_body(environ, limit=10)

    assert refused.value.code == results.BODY_TOO_LARGE


@pytest.mark.matrix(
    invariant=3,
    fault="forged headers",
    step="forward",
    fails_without="request_checks.upstream_headers",
)
def test_upstream_receives_neither_key_nor_forged_account():
    environ = {
        "HTTP_AUTHORIZATION": "Bearer secret",
        "HTTP_X_CLIENT_ACCOUNT": "someone-else",
        "HTTP_X_FORWARDED_FOR": "10.0.0.1",
        "HTTP_COOKIE": "secret",
        "CONTENT_TYPE": "application/json",
    }

    headers = dict(request_checks.upstream_headers(environ, "acme", "r1"))

    assert headers == {
        "Content-Type": "application/json",
        "X-Client-Account": "acme",
        "X-Request-Id": "r1",
    }
