"""A request that crashes runners, at machines added while the store is away."""

from __future__ import annotations

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib3 import config
from review.lib3 import stack as stacks

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = pathlib.Path(__file__).parent / "record.txt"
KEY = "3d3zji9n73hh2b9wu3fe"
OLD_HOSTS, NEW_HOSTS = 4, 3
# `stable_window_ms` and the most retries that the rule allows.
STABLE_S = 3.0
MAX_RETRIES = 3
# Length of the outage; the site files have up to 4.8 s.
OUTAGE_S = 2.0
# "The runner is back after some seconds."
DOWN_S = 2.0
ADDED_AT_S = 8.0
END_S = 26.0
CRASHING_EVERY_S = 0.5
SOUND_EVERY_S = 0.05
CRASHING_TARGET = "/book/crashing"


class Clients:
    """Clients with sound requests, and one whose request crashes runners."""

    def __init__(self, stack: stacks.Stack) -> None:
        self.stack = stack
        self.began = time.monotonic()
        self.ends = threading.Event()
        self.hosts = stack.hosts[:OLD_HOSTS]
        self.answers: list[tuple[float, str, str, int]] = []
        self.threads = [
            threading.Thread(target=self.run, args=("bad", CRASHING_EVERY_S)),
            threading.Thread(target=self.run, args=("good", SOUND_EVERY_S)),
        ]

    def start(self) -> None:
        """Starts to send."""
        for thread in self.threads:
            thread.start()

    def close(self) -> None:
        """Ends the clients."""
        self.ends.set()
        for thread in self.threads:
            thread.join()

    def run(self, name: str, interval_s: float) -> None:
        """Sends requests to the machines in turn."""
        count = 0
        while not self.ends.wait(interval_s):
            count += 1
            host = self.hosts[count % len(self.hosts)]
            threading.Thread(
                target=self.send, args=(host, f"{name}-{count}", name == "bad")
            ).start()

    def send(self, host: stacks.Host, request_id: str, crashing: bool) -> None:
        """Sends one booking; a crashing one always has the same content."""
        sent_at = time.monotonic()
        answer = stacks.call(
            host.listen,
            "POST",
            CRASHING_TARGET if crashing else "/book/sound",
            b"the same rod" if crashing else request_id.encode(),
            {
                "Host": config.ROUTE_HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2500",
                "Authorization": f"Bearer {KEY}",
            },
            2.5,
        )
        self.answers.append((sent_at, host.name, request_id, answer.status))


def add_machines(stack: stacks.Stack, clients: Clients) -> float:
    """Adds machines, with an outage of the store as they start.

    Returns:
        Instant from which all machines and the store have been sound for
        `STABLE_S`, in seconds.
    """
    added = stack.hosts[OLD_HOSTS:]
    if TROUBLE:
        stack.set_store(mode="busy")
    for host in added:
        host.start()
    time.sleep(OUTAGE_S)
    stack.set_store(mode="serve")
    sound_from = time.monotonic()
    deadline = sound_from + stacks.START_TIMEOUT_S
    while not all(host.is_ready() for host in added):
        if time.monotonic() > deadline:
            raise stacks.CannotRunError("an added host did not become ready")
        time.sleep(0.05)
    clients.hosts = stack.hosts
    return sound_from + STABLE_S


def play(stack: stacks.Stack) -> int:
    """Plays the case; returns the exit code."""
    stack.start(
        config.configuration(
            1,
            [config.route("book", "non_idempotent", "app")],
            [config.plain_service("app")],
            [config.tenant("rods", KEY)],
        ),
        OLD_HOSTS,
    )
    stack.set_runners(crashing_target=CRASHING_TARGET, down_s=DOWN_S)
    clients = Clients(stack)
    clients.start()
    try:
        time.sleep(ADDED_AT_S)
        in_touch_from = add_machines(stack, clients)
        time.sleep(max(clients.began + END_S - time.monotonic(), 0.0))
    finally:
        clients.close()
    time.sleep(0.5)
    crashes = sorted(
        (at, runner, request_id)
        for request_id, runner, at in stack.runs()
        if request_id.startswith("bad-")
    )
    counted_from = in_touch_from
    if len(crashes) >= MAX_RETRIES:
        third_at = crashes[MAX_RETRIES - 1][0]
        counted_from = max(counted_from, third_at + STABLE_S)
    retries = [each for each in crashes if each[0] > counted_from]
    began = clients.began
    sound = [each for each in clients.answers if each[2].startswith("good-")]
    with RECORD.open("w") as file:
        print(f"trouble: {TROUBLE}", file=file)
        print(
            f"runs of the crashing request, each of which crashed its runner: "
            f"{len(crashes)}; later than {counted_from - began:.2f} s: "
            f"{len(retries)}; allowed then: {MAX_RETRIES}",
            file=file,
        )
        print(
            f"sound bookings {len(sound)}, not answered with 200: "
            f"{sum(each[3] != 200 for each in sound)}",
            file=file,
        )
        for at, runner, request_id in crashes:
            print(f"{at - began:.3f} {request_id} crashed {runner}", file=file)
        for at, host, request_id, status in sorted(clients.answers):
            print(f"{at - began:.3f} {request_id} {host} {status}", file=file)
    return 1 if len(retries) > MAX_RETRIES else 0


def main() -> int:
    """Runs the case; returns 2 if it can't run."""
    runners = [(f"a-{number}", "app", "") for number in range(5)]
    return stacks.run(OLD_HOSTS + NEW_HOSTS, runners, play)


if __name__ == "__main__":
    sys.exit(main())
