"""Guards the blame for crashes: every request aboard must report the same.

An innocent request was quarantined when the crashing one reported a failure,
because its engine was up again, and the innocent one a crash.
"""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch.gateway import failures

BROKEN = errors.UpstreamError("reset")
SILENT = errors.UpstreamTimeoutError("silent")
LOST = errors.UpstreamRefusedError("127.0.0.1:1", 404, "unknown-request")
EXPIRED = errors.UpstreamRefusedError("127.0.0.1:1", 410, "export-expired")
BUSY = errors.UpstreamRefusedError("127.0.0.1:1", 503, "out-of-memory")


@pytest.mark.matrix(
    invariant=5,
    fault="crashing request, engine restarted at once",
    step="blame",
    seen_red="question for the held request",
)
@pytest.mark.parametrize(
    ("error", "answers", "holds", "step"),
    [
        (BROKEN, False, False, failures.CRASHED),
        (BROKEN, True, False, failures.CRASHED),
        (BROKEN, True, True, failures.FAILED),
        (SILENT, True, False, failures.FAILED),
        (SILENT, False, False, failures.CRASHED),
        (LOST, True, False, failures.CRASHED),
        (EXPIRED, True, False, failures.CANCELLED),
        (BUSY, True, False, failures.FAILED),
    ],
)
def test_failure_is_classified_by_what_the_engine_holds(
    error, answers, holds, step
):
    failure = failures.classify("p1", error, lambda: answers, lambda: holds)

    assert failure.step == step
