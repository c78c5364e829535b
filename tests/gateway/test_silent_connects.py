"""Tests how a connection that a silent engine didn't accept is classified."""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import failures


@pytest.mark.parametrize("is_back", [True, False])
def test_engine_that_got_nothing_has_not_crashed(is_back):
    """Guards against a silence of a second that is blamed on a request."""
    failure = failures.classify(
        "p1",
        errors.UpstreamSilentError("no reply"),
        is_responding=lambda: is_back,
        holds_request=lambda: False,
    )

    assert failure.step == failures.FAILED
