"""A host back from its own outage sends bookings to a runner that has left."""

from __future__ import annotations

import http.client
import pathlib
import threading
import time
from typing import NamedTuple

from reviewlib import deployment
from reviewlib import silent_proxy

# Bounds of the deployment sheet of pml-router, in seconds.
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
# Longest cut in the site's list of troubles.
CUT_S = 5.5
ROUNDS = 6
LEAVES_AFTER_S = 0.5
REQUESTS = 12
WORK_S = 0.15
# The runner exits so long after the first of the late bookings was sent.
EXITS_AFTER_S = 0.08


class Sent(NamedTuple):
    """One booking.

    Attributes:
        request_id: Its id.
        sent_at: Monotonic instant of its sending.
        status: Status of the answer; 0 for none.
    """

    request_id: str
    sent_at: float
    status: int


def ask(address: str, request_id: str, found: list[Sent]) -> None:
    """Sends a booking and adds it to a list."""
    sent_at = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=6)
    status = 0
    try:
        connection.request(
            "POST",
            f"/booking/{request_id}",
            f"walker for {request_id}",
            deployment.request_fields(request_id, 4000),
        )
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    found.append(Sent(request_id, sent_at, status))


def ask_all(address: str, prefix: str) -> list[Sent]:
    """Sends bookings side by side."""
    found: list[Sent] = []
    threads = [
        threading.Thread(target=ask, args=(address, f"{prefix}-{n}", found))
        for n in range(REQUESTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def play_round(
    fleet: deployment.Deployment,
    proxy: silent_proxy.SilentProxy,
    record: deployment.Record,
    number: int,
) -> list[str]:
    """Cuts the host off, lets a runner leave and returns what reached it."""
    host = fleet.hosts[0]
    leaving = fleet.runners[number]
    served = sum(
        each.status == 200 for each in ask_all(host.listen, f"w{number}")
    )
    if served < REQUESTS // 2:
        raise deployment.CannotRunError(f"only {served} bookings served")
    if deployment.TROUBLE:
        proxy.cut()
        record.add("disruption: the host is cut off from the store")
    time.sleep(CUT_S)
    proxy.heal()
    healed_at = time.monotonic()
    record.add("the host reaches the store again")
    time.sleep(LEAVES_AFTER_S)
    leaving.set(registered=False, leaving=True)
    time.sleep(0.05)
    row = {"table": "servers", "key": leaving.name, "value": None}
    deployment.call(fleet.store_address, "POST", "/standin/put", row)
    left_at = time.monotonic()
    record.add(f"the store acknowledges that {leaving.name} has gone")
    time.sleep(healed_at + STABLE_WINDOW_S + 0.05 - time.monotonic())
    # The runner exits a little later than `drain_ms` after it had gone.
    exit_timer = threading.Timer(EXITS_AFTER_S, leaving.kill)
    exit_timer.start()
    sent = ask_all(host.listen, f"r{number}")
    exit_timer.join()
    record.add(f"{leaving.name} has exited")
    places = fleet.run_places()
    broken = []
    for each in sorted(sent, key=lambda each: each.sent_at):
        ran_at = places.get(each.request_id, [])
        text = (
            f"{each.request_id}: sent {each.sent_at - left_at:.3f} s after "
            f"{leaving.name} had gone and {each.sent_at - healed_at:.3f} s "
            f"after the cut, answered {each.status}, ran at "
            f"{', '.join(ran_at) or 'none'}"
        )
        record.add(text)
        if leaving.name in ran_at and each.sent_at - left_at > DRAIN_S:
            broken.append(f"DRAIN {text}")
    return broken


def run(fleet: deployment.Deployment, record: deployment.Record) -> list[str]:
    """Plays the rounds; returns the requests that show a broken rule."""
    for number in range(ROUNDS + 2):
        fleet.add_runner(
            f"loans-{number}",
            "loans-app",
            module="reviewlib.leaving_runner",
            work_s=WORK_S,
        )
    proxy = silent_proxy.SilentProxy(fleet.store_address)
    fleet.add_host("host-0", proxy.address)
    fleet.start(deployment.configuration())
    broken = []
    for number in range(ROUNDS):
        broken += play_round(fleet, proxy, record, number)
        time.sleep(2.0)
    proxy.close()
    return broken


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, run)
