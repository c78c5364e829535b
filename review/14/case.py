"""A withdrawn key at machines added while the store is restored from a copy."""

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
WITHDRAWN_KEY, OTHER_KEY = "3d3zji9n73hh2b9wu3fe", "9c41d07be2a35f68x7kq"
OLD_HOSTS, NEW_HOSTS = 3, 3
# `revoke_ms`.
REVOKE_S = 5.0
WITHDRAWN_AT_S = 3.0
RESTORED_AT_S = 9.5
# As in the day on the news page: a copy of 9 s before, away for 2 s.
COPY_AGE_S = 9.0
AWAY_S = 2.0
# Start of the added machines after the store goes away.
ADDED_AFTER_S = 0.5
# Time in which the operator has written again what was lost.
REWRITE_S = 1.8
END_S = 22.0
EVERY_S = 0.03


class Clients:
    """Clients that use a withdrawn key, and others with a valid one."""

    def __init__(self, stack: stacks.Stack) -> None:
        self.stack = stack
        self.hosts = stack.hosts[:OLD_HOSTS]
        self.began = time.monotonic()
        self.ends = threading.Event()
        self.sent_at: dict[str, float] = {}
        self.answers: list[tuple[float, str, str, int]] = []
        self.threads = [
            threading.Thread(target=self.run, args=("old", WITHDRAWN_KEY)),
            threading.Thread(target=self.run, args=("new", OTHER_KEY)),
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

    def run(self, name: str, key: str) -> None:
        """Sends requests with a key to the machines in turn."""
        count = 0
        while not self.ends.wait(EVERY_S):
            count += 1
            host = self.hosts[count % len(self.hosts)]
            threading.Thread(
                target=self.send, args=(host, f"{name}-{count}", key)
            ).start()

    def send(self, host: stacks.Host, request_id: str, key: str) -> None:
        """Sends one booking."""
        sent_at = self.sent_at[request_id] = time.monotonic()
        answer = stacks.call(
            host.listen,
            "POST",
            "/book/sheet",
            b"",
            {
                "Host": config.ROUTE_HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2500",
                "Authorization": f"Bearer {key}",
            },
            2.5,
        )
        self.answers.append((sent_at, host.name, request_id, answer.status))


def configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Returns the operator's configuration with some keys of one tenant."""
    tenant = config.tenant("rods", OTHER_KEY)
    tenant["api_keys"] = keys
    return config.configuration(
        version,
        [config.route("book", "non_idempotent", "app")],
        [config.plain_service("app")],
        [tenant],
    )


def wait_until(at: float) -> None:
    """Waits until an instant, in seconds."""
    time.sleep(max(at - time.monotonic(), 0.0))


def add_machines(stack: stacks.Stack, clients: Clients) -> None:
    """Adds machines, while the store is restored from a copy."""
    back_at = time.monotonic() + AWAY_S
    if TROUBLE:
        stack.set_store(mode="silent")
    time.sleep(ADDED_AFTER_S)
    for host in stack.hosts[OLD_HOSTS:]:
        host.start()
    wait_until(back_at)
    clients.hosts = stack.hosts
    if TROUBLE:
        stack.set_store(restore=COPY_AGE_S, mode="serve")
        wait_until(back_at + REWRITE_S)
        stack.put("op", "config", configuration(2, [OTHER_KEY]))


def play(stack: stacks.Stack) -> int:
    """Plays the case; returns the exit code."""
    stack.start(configuration(1, [WITHDRAWN_KEY, OTHER_KEY]), OLD_HOSTS)
    clients = Clients(stack)
    clients.start()
    try:
        wait_until(clients.began + WITHDRAWN_AT_S)
        stack.put("op", "config", configuration(2, [OTHER_KEY]))
        withdrawn_at = time.monotonic()
        wait_until(clients.began + RESTORED_AT_S)
        add_machines(stack, clients)
        wait_until(clients.began + END_S)
    finally:
        clients.close()
    time.sleep(0.5)
    began = clients.began
    late = [
        (sent_at, request_id, runner)
        for request_id, runner, _ in stack.runs()
        if request_id.startswith("old-")
        and (sent_at := clients.sent_at[request_id]) > withdrawn_at + REVOKE_S
    ]
    with RECORD.open("w") as file:
        print(f"trouble: {TROUBLE}", file=file)
        print(
            f"key withdrawn, acknowledged at {withdrawn_at - began:.2f} s; "
            f"requests with it that were sent more than {REVOKE_S} s later "
            f"and ran: {len(late)}; allowed: 0",
            file=file,
        )
        for sent_at, request_id, runner in sorted(late):
            print(
                f"{sent_at - began:.3f} {request_id} ran at {runner}", file=file
            )
        for at, host, request_id, status in sorted(clients.answers):
            print(f"{at - began:.3f} {request_id} {host} {status}", file=file)
    return 1 if late else 0


def main() -> int:
    """Runs the case; returns 2 if it can't run."""
    runners = [("a-1", "app", ""), ("a-2", "app", "")]
    return stacks.run(OLD_HOSTS + NEW_HOSTS, runners, play)


if __name__ == "__main__":
    sys.exit(main())
