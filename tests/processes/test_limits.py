"""Tests the rate limit of an account that calls all hosts concurrently."""

from __future__ import annotations

import json
import re
import time
from typing import NamedTuple

import gevent
import pytest

from tests.processes import support

ACCOUNT = "regina-general"
RATE = 200
BURST = 240
SECONDS = 10.0
CALLERS_PER_HOST = 3
# Every zone needs a host, since each zone holds an equal share of the rate and
# burst.
HOSTS = [*support.HOSTS, "winnipeg-1", "brandon-1"]
TOKENS = 20
RATE_EXCEEDED = 3001
LIMIT_UNAVAILABLE = 3003


class Charge(NamedTuple):
    """Tokens of an answer, which was admitted between two times in seconds."""

    sent_at: float
    answered_at: float
    tokens: int


def limit_account(document):
    """Returns the register with a small rate and burst for the account."""
    return re.sub(
        rf'(name = "{ACCOUNT}")\nrate = .*\nburst = .*\n',
        rf"\1\nrate = {RATE}\nburst = {BURST}\n",
        document,
    )


def call_until(deadline, fleet, host, charges, refusals):
    """Sends requests until `deadline`; records charges and refusals."""
    caller = support.Caller(fleet, ACCOUNT)
    while time.monotonic() < deadline:
        sent_at = time.monotonic()
        try:
            answer = caller.request_completion(host, support.PROMPT, TOKENS)
        except support.HTTPError:
            return
        document = json.loads(answer.data)
        if answer.status == 200:
            tokens = document["prompt_tokens"] + document["output_tokens"]
            charges.append(Charge(sent_at, time.monotonic(), tokens))
        else:
            assert document["execution"] == "not run"
            refusals.append(document["code"])


def worst_excess(charges):
    """Returns the largest excess over burst + rate x length of an interval.

    Only requests that were sent and answered in the interval count, since the
    time of admission is somewhere in between.
    """
    worst = -float("inf")
    for start in {charge.sent_at for charge in charges}:
        tokens = 0
        charges_in_interval = [
            charge for charge in charges if charge.sent_at >= start
        ]
        for charge in sorted(
            charges_in_interval, key=lambda charge: charge.answered_at
        ):
            tokens += charge.tokens
            allowed = BURST + RATE * (charge.answered_at - start)
            worst = max(worst, tokens - allowed)
    return worst


@pytest.mark.matrix(
    invariant=4,
    fault="kill entry host",
    step="admission",
    fails_without="zones' shares of the rate",
)
@pytest.mark.parametrize("killed", [None, "regina-1", "saskatoon-1"])
def test_account_never_exceeds_its_rate_and_burst(killed):
    fleet = support.start_fleet(
        HOSTS, edit=limit_account, queue_timeout="500ms"
    )
    try:
        support.wait_shards_spread(fleet)
        charges, refusals = [], []
        started = time.monotonic()
        calls = [
            gevent.spawn(
                call_until, started + SECONDS, fleet, host, charges, refusals
            )
            for host in HOSTS * CALLERS_PER_HOST
        ]
        if killed:
            fleet.wait_until(
                lambda: time.monotonic() > started + SECONDS / 2,
                "the first half does not end",
            )
            fleet.processes[killed].kill()
        gevent.joinall(calls, raise_error=True)
    finally:
        fleet.close()

    tokens = sum(charge.tokens for charge in charges)
    print(f"{tokens} tokens, {len(refusals)} refused, {worst_excess(charges)}")
    assert refusals
    assert set(refusals) <= {RATE_EXCEEDED, LIMIT_UNAVAILABLE}
    assert tokens >= RATE
    assert worst_excess(charges) <= 0
