"""A torn second copy of an answer makes a later failure look successful."""

from __future__ import annotations

import json
import pathlib
import time

from reviewlib import callers
from reviewlib import deployment

# Longest duration of the disruption in the site's list of troubles.
TROUBLE_S = 5.0
# Share of the stock checks that a runner answers with 500, as on the site.
ERROR_SHARE = 0.14
CALLERS = 24
EPISODES = 10


def run(fleet: deployment.Deployment, record: deployment.Record) -> list[str]:
    """Plays the case; returns answers with another status than the runner's."""
    for number in range(3):
        fleet.add_runner(
            f"loans-{number}",
            "loans-app",
            module="reviewlib.faulty_runner",
        )
    for number in range(2):
        fleet.add_host(f"host-{number}")
    fleet.start(deployment.configuration())
    for runner in fleet.runners:
        runner.set(slots=24, error_share=ERROR_SHARE)
    # One of three runners is faulty; the list allows a share of 0.35.
    faulty = fleet.runners[:1] if deployment.TROUBLE else []
    outcomes = []
    for episode in range(EPISODES):
        for runner in faulty:
            runner.set(answers=0, extras=0, torn_answers=True)
            record.add(f"disruption begins: {runner.name}")
        until = time.monotonic() + TROUBLE_S
        outcomes += callers.run_all(
            [
                callers.Caller(
                    fleet.hosts[number % 2].listen,
                    f"s{episode}-{number}",
                    "stock",
                    until,
                )
                for number in range(CALLERS)
            ]
        )
        for runner in faulty:
            runner.set(torn_answers=False)
        record.add("disruption ends")
        time.sleep(1.0)
    answered = read_answers(fleet, record)
    broken = []
    for outcome in outcomes:
        statuses = answered.get(outcome.request_id, [])
        record.add(
            f"{outcome.request_id}: got {outcome.status or 'closed'} "
            f"{outcome.body.decode()!r} with seal {outcome.seal!r}; "
            f"runners answered {statuses}"
        )
        succeeded = 200 <= outcome.status < 300
        # A client that got the failure's own bytes as a success.
        if succeeded and outcome.body.startswith(b"failure"):
            broken.append(
                f"MIXED {outcome.request_id}: got {outcome.status} "
                f"{outcome.body.decode()!r}, runners answered {statuses}"
            )
    served = sum(outcome.status == 200 for outcome in outcomes)
    record.add(f"{len(outcomes)} stock checks sent, {served} served")
    if served < 100:
        raise deployment.CannotRunError(f"only {served} checks served")
    return broken


def read_answers(
    fleet: deployment.Deployment, record: deployment.Record
) -> dict[str, list[str]]:
    """Returns what the runners answered, by request id."""
    answered: dict[str, list[str]] = {}
    for runner in fleet.runners:
        path = fleet.folder / f"{runner.name}.runs.answers"
        if not path.exists():
            continue
        for line in path.read_text().splitlines():
            request_id, text = json.loads(line)
            answered.setdefault(request_id, []).append(f"{runner.name} {text}")
            if "torn" in text:
                record.add(f"{runner.name} answered {request_id}: {text}")
    return answered


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, run)
