"""Streams of two software versions while the store carries out writes late."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib3 import config
from review.lib3 import stack as stacks

# "0": no disruption; "kill": the kill alone, which must hold, too.
TROUBLE = os.environ.get("TROUBLE", "1")
RECORD = pathlib.Path(__file__).parent / "record.txt"
KEY = "3d3zji9n73hh2b9wu3fe"
HOSTS = 7
# The first runners have the version "v1", the others, added later, "v2".
OLD_RUNNERS = 5
RUNNERS = [
    ("d-1", "llm", "decode"),
    ("d-2", "llm", "decode"),
    ("d-3", "llm", "decode"),
    ("d-4", "llm", "decode"),
    ("p-1", "llm", "prefill"),
    ("d-5", "llm", "decode"),
    ("d-6", "llm", "decode"),
    ("d-7", "llm", "decode"),
    ("d-8", "llm", "decode"),
    ("p-2", "llm", "prefill"),
]
# More streams of two versions break the rule.
MAX_JOINED = 2
EVENTS = 36
EVENT_GAP_S = 0.28
DEADLINE_S = 14.0
PROMPT, OUTPUT = 400, 70
LOST_AT_S = 0.3
# As `platform_lost` with `late` in the site file: x = 0.35 of the writes for
# 4.5 s, done 1 to 6 s later; here 2 s later.
LOST_S = 4.5
LATE_SHARE = 0.35
LATE_S = 2.0
KILL_AT_S = 8.0
RESTART_S = 0.5
BEGIN_UNTIL_S = 4.9
# So many streams begin together at each machine, at this interval.
TOGETHER = 5
BEGIN_EVERY_S = 0.45
# Streams that a client takes up are tried so often.
MAX_TAKE_UPS = 4
TAKE_UP_PAUSE_S = 0.7


class Stream:
    """One stream over all tries of its client.

    Attributes:
        events: Number and version of each event that the client got.
        log: A line for each try.
    """

    def __init__(
        self, stack: stacks.Stack, name: str, host: int, began: float
    ) -> None:
        self.stack = stack
        self.name = name
        self.host = host
        self.began = began
        self.events: list[tuple[int, str]] = []
        self.log: list[str] = []
        self.complete = False
        self.first_id = ""

    @property
    def versions(self) -> set[str]:
        """Versions of the runners whose events the client got."""
        return {version for _, version in self.events}

    def run(self) -> None:
        """Reads the stream and takes it up if its connection breaks."""
        deadline = time.monotonic() + DEADLINE_S
        for number in range(1 + MAX_TAKE_UPS):
            if number and not self.events:
                # It never began; it counts as another stream.
                return
            host = self.stack.hosts[(self.host + number) % HOSTS]
            left_s = deadline - time.monotonic()
            if self.complete or left_s < 0.5:
                return
            self.attempt(host, f"{self.name}-{number}", left_s)
            if not self.complete:
                time.sleep(TAKE_UP_PAUSE_S)

    def attempt(
        self, host: stacks.Host, request_id: str, left_s: float
    ) -> None:
        """Makes one try at one machine."""
        fields = {
            "Host": config.ROUTE_HOST,
            "X-Request-Id": request_id,
            "X-Model": "m",
            "X-Token-Count": f"{PROMPT},{OUTPUT}",
            "X-Prefix-Hash": f"{self.name.encode().hex()}:{PROMPT}",
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        if self.events:
            fields["Last-Event-Id"] = str(self.events[-1][0])
            fields["Resumes"] = self.first_id
        started = time.monotonic() - self.began
        known = len(self.events)
        connection = http.client.HTTPConnection(host.listen, timeout=left_s)
        status = 0
        try:
            connection.request("POST", "/write/x", self.name, fields)
            response = connection.getresponse()
            status = response.status
            if status == 200:
                if not self.first_id:
                    self.first_id = request_id
                self.read_events(response)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        versions = sorted({each[1] for each in self.events[known:]})
        self.log.append(
            f"{started:.3f} {request_id} {host.name} {status} "
            f"events {len(self.events) - known} of {versions}"
        )

    def read_events(self, response: http.client.HTTPResponse) -> None:
        """Reads complete events until the response ends."""
        version, number = "v1", 0
        while line := response.readline():
            if line.startswith(b": version "):
                version = line.split()[-1].decode()
            elif line.startswith(b"id:"):
                number = int(line[3:])
            elif line == b"\n" and number:
                self.events.append((number, version))
                version, number = "v1", 0
        self.complete = bool(self.events) and self.events[-1][0] == EVENTS


def configuration() -> dict[str, object]:
    """Returns the operator's configuration."""
    route = config.route(
        "write",
        "streaming",
        "llm",
        resumable=True,
        max_attempts=2,
        timeout_ms=14000,
        target_latency_ms=900,
        gap_target_ms=300,
        sticky=True,
    )
    service = config.plain_service("llm")
    service["max_connections"] = 360
    service["engine"] = {
        "slots": 64,
        "kv_capacity_tokens": 85937,
        "kv_token_bytes": 18432,
        "kv_hold_s": 0.5,
    }
    return config.configuration(
        1, [route], [service], [config.tenant("rods", KEY)]
    )


def wait_until(at: float) -> None:
    """Waits until an instant, in seconds."""
    time.sleep(max(at - time.monotonic(), 0.0))


def begin_streams(
    stack: stacks.Stack, began: float, streams: list[Stream]
) -> list[threading.Thread]:
    """Begins streams at all machines in turn."""
    threads = []
    while time.monotonic() < began + BEGIN_UNTIL_S:
        for count in range(len(streams), len(streams) + HOSTS * TOGETHER):
            stream = Stream(stack, f"s{count}", count % HOSTS, began)
            streams.append(stream)
            threads.append(threading.Thread(target=stream.run))
            threads[-1].start()
        time.sleep(BEGIN_EVERY_S)
    return threads


def disturb(stack: stacks.Stack, began: float) -> None:
    """Lets the store lose answers, and kills all machines after that."""
    if TROUBLE == "0":
        return
    wait_until(began + LOST_AT_S)
    if TROUBLE != "kill":
        stack.set_store(late_share=LATE_SHARE, late_s=LATE_S)
    wait_until(began + LOST_AT_S + LOST_S)
    stack.set_store(late_share=0.0)
    wait_until(began + KILL_AT_S)
    for host in stack.hosts:
        host.kill()
    time.sleep(RESTART_S)
    for host in stack.hosts:
        host.start()


def play(stack: stacks.Stack) -> int:
    """Plays the case; returns the exit code."""
    stack.start(configuration(), runners=OLD_RUNNERS)
    time.sleep(1.0)
    for program in stack.runners[OLD_RUNNERS:]:
        program.start()
    time.sleep(1.0)
    stack.set_runners(slots=64, events=EVENTS, event_gap_s=EVENT_GAP_S)
    # Streams begin at a version 0.8 s after it was seen.
    time.sleep(3.0)
    began = time.monotonic()
    streams: list[Stream] = []
    trouble = threading.Thread(target=disturb, args=(stack, began))
    trouble.start()
    for thread in begin_streams(stack, began, streams):
        thread.join()
    trouble.join()
    begun = [each for each in streams if each.events]
    joined = [each for each in begun if len(each.versions) > 1]
    taken_up = [each for each in begun if len(each.log) > 1]
    rows = stack.rows("coltsfootarch-versions")
    logs = "".join(host.log.read_text() for host in stack.hosts)
    unrecorded = logs.count("its version could not be recorded")
    with RECORD.open("w") as file:
        print(f"trouble: {TROUBLE}", file=file)
        print(
            f"streams {len(streams)}, begun {len(begun)}, taken up "
            f"{len(taken_up)}, complete {sum(each.complete for each in begun)}",
            file=file,
        )
        print(
            f"streams with events of two versions: {len(joined)}; allowed "
            f"{MAX_JOINED}",
            file=file,
        )
        print(f"attempts ended for lack of a record: {unrecorded}", file=file)
        print(f"versions in the store: {json.dumps(rows)}", file=file)
        for stream in (
            *joined,
            *(each for each in begun if each not in joined),
        ):
            for line in stream.log:
                print(line, file=file)
    return 1 if len(joined) > MAX_JOINED else 0


def main() -> int:
    """Runs the case; returns 2 if it can't run."""
    versions = {name: "v2" for name, _, _ in RUNNERS[OLD_RUNNERS:]}
    return stacks.run(HOSTS, RUNNERS, play, versions)


if __name__ == "__main__":
    sys.exit(main())
