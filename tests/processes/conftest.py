"""A small fleet of real processes."""

from __future__ import annotations

import json

import pytest

from standins import fleet

HOSTS = ["regina-1", "regina-2", "saskatoon-1"]
TIME_SCALE = 0.2


class Caller:
    """Sends requests of one client account to the fleet."""

    def __init__(self, running):
        self.running = running
        self.account, self.key = next(iter(running.keys.items()))

    def headers(self, **extra):
        return {"Authorization": f"Bearer {self.key}", **extra}

    def complete(self, host, prompt, max_tokens, **headers):
        """Returns an open streamed answer."""
        body = {
            "model": "loan-summary",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self.running.http.request(
            "POST",
            f"{self.running.url(host)}/v1/completions",
            body=json.dumps(body),
            headers=self.headers(**headers),
            preload_content=False,
        )

    def book(self, host, booking):
        return self.running.http.request(
            "POST",
            f"{self.running.url(host)}/loans/bookings",
            body=json.dumps({"booking_id": booking}),
            headers=self.headers(**{"Idempotency-Key": booking}),
        )


class StreamReader:
    """Reads server-sent events of an answer one by one."""

    def __init__(self, answer):
        assert answer.status == 200, answer.read()
        self.answer = answer
        self.lines = self.read_lines()
        self.text = ""
        self.last_id = 0
        self.token = ""

    def read_lines(self):
        pending = b""
        for chunk in self.answer.stream(1):
            pending += chunk
            *lines, pending = pending.split(b"\n")
            yield from (line.decode() for line in lines)

    def next_event(self):
        """Returns (name, data), or None at the end of the stream."""
        name, data = "", None
        for line in self.lines:
            if line.startswith("event: "):
                name = line.removeprefix("event: ")
            elif line.startswith("id: "):
                self.last_id = int(line.removeprefix("id: "))
            elif line.startswith("data: "):
                data = json.loads(line.removeprefix("data: "))
            elif data is not None:
                self.note(name, data)
                return name, data
        return None

    def note(self, name, data):
        if name == "start":
            self.token = data["resume_token"]
        if name == "restart":
            self.text = ""
        if name == "":
            self.text += data["text"]

    def read_tokens(self, count):
        """Reads until `count` tokens have arrived."""
        while self.last_id < count:
            event = self.next_event()
            assert event is not None, "the stream ended early"
            assert event[0] != "error", event[1]

    def read_until(self, wanted):
        while (event := self.next_event()) is not None:
            if event[0] == wanted:
                return event[1]
        return None


@pytest.fixture
def running_fleet():
    running = fleet.Fleet(HOSTS, time_scale=TIME_SCALE)
    try:
        running.start()
        yield running
    finally:
        running.close()


@pytest.fixture
def caller(running_fleet):
    return Caller(running_fleet)
