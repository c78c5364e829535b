"""Guards the rate of an account that calls all hosts at once."""

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
# Every zone has a host, since each holds an equal share of rate and burst.
HOSTS = [*support.HOSTS, "winnipeg-1", "brandon-1"]
TOKENS = 20
RATE_EXCEEDED = 3001
LIMIT_UNAVAILABLE = 3003


class Charge(NamedTuple):
    """Tokens of a whole answer, admitted between the two instants."""

    sent_at: float
    answered_at: float
    tokens: int


def limit_account(document):
    """Returns a register with a small rate and burst of the account."""
    return re.sub(
        rf'(name = "{ACCOUNT}")\nrate = .*\nburst = .*\n',
        rf"\1\nrate = {RATE}\nburst = {BURST}\n",
        document,
    )


def call_until(deadline, running, host, charges, refusals):
    """Sends requests without a pause and notes what was charged."""
    caller = support.Caller(running, ACCOUNT)
    while time.monotonic() < deadline:
        sent_at = time.monotonic()
        try:
            answer = caller.complete_whole(host, support.PROMPT, TOKENS)
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
    """Returns by how many tokens an interval exceeds burst + rate x length.

    Only answers whose request was sent and answered in the interval count,
    since the instant of admission is somewhere in between.
    """
    worst = -float("inf")
    for start in {charge.sent_at for charge in charges}:
        tokens = 0
        inside = [charge for charge in charges if charge.sent_at >= start]
        for charge in sorted(inside, key=lambda entry: entry.answered_at):
            tokens += charge.tokens
            allowed = BURST + RATE * (charge.answered_at - start)
            worst = max(worst, tokens - allowed)
    return worst


@pytest.mark.matrix(
    invariant=4,
    fault="kill entry host",
    step="admission",
    seen_red="zones' shares of the rate",
)
@pytest.mark.parametrize("killed", [None, "regina-1", "saskatoon-1"])
def test_account_never_gets_more_than_rate_and_burst(killed):
    running = support.start_fleet(
        HOSTS, edit=limit_account, queue_timeout="500ms"
    )
    try:
        support.wait_shards_spread(running)
        charges, refusals = [], []
        started = time.monotonic()
        calls = [
            gevent.spawn(
                call_until, started + SECONDS, running, host, charges, refusals
            )
            for host in HOSTS * CALLERS_PER_HOST
        ]
        if killed:
            running.wait_until(
                lambda: time.monotonic() > started + SECONDS / 2,
                "the first half does not end",
            )
            running.processes[killed].kill()
        gevent.joinall(calls, raise_error=True)
    finally:
        running.close()

    tokens = sum(charge.tokens for charge in charges)
    print(f"{tokens} tokens, {len(refusals)} refused, {worst_excess(charges)}")
    assert refusals
    assert set(refusals) <= {RATE_EXCEEDED, LIMIT_UNAVAILABLE}
    assert tokens >= RATE
    assert worst_excess(charges) <= 0
