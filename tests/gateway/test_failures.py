"""Tests that all requests on a crashed engine report the crash alike.

If the request that crashed the engine reports a plain failure, because the
engine has already restarted, and another request reports a crash, the other
one is quarantined by mistake.
"""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import failures

CONNECTION_BROKEN = errors.UpstreamError("reset")
TIMED_OUT = errors.UpstreamTimeoutError("silent")
STATE_LOST = errors.UpstreamRefusedError("127.0.0.1:1", 404, "unknown-request")
EXPORT_EXPIRED = errors.UpstreamRefusedError(
    "127.0.0.1:1", 410, "export-expired"
)
BUSY = errors.UpstreamRefusedError("127.0.0.1:1", 503, "out-of-memory")


@pytest.mark.matrix(
    invariant=5,
    fault="crashing request, engine restarted at once",
    step="blame",
    fails_without="question for the held request",
)
@pytest.mark.parametrize(
    ("error", "is_responding", "holds_request", "step"),
    [
        (CONNECTION_BROKEN, False, False, failures.CRASHED),
        (CONNECTION_BROKEN, True, False, failures.CRASHED),
        (CONNECTION_BROKEN, True, True, failures.FAILED),
        (TIMED_OUT, True, False, failures.FAILED),
        (TIMED_OUT, False, False, failures.CRASHED),
        (STATE_LOST, True, False, failures.CRASHED),
        (EXPORT_EXPIRED, True, False, failures.CANCELLED),
        (BUSY, True, False, failures.FAILED),
    ],
)
def test_failure_is_classified_by_what_the_engine_holds(
    error, is_responding, holds_request, step
):
    failure = failures.classify(
        "p1", error, lambda: is_responding, lambda: holds_request
    )

    assert failure.step == step
