"""A stream that is resumed after its last event gets no answer in HTTP."""

from __future__ import annotations

import contextlib
import pathlib
import re
import socket
import struct
import time

from reviewlib import deployment

EVENTS = 20
STREAMS = 10
# One of ten connections is reset; the list allows a share of 0.35 x 0.55.
RESET_STREAM = 4
DEADLINE_MS = 14000


def split(address: str) -> tuple[str, int]:
    """Returns host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def ask(
    address: str, request_id: str, last_event: int, reset_after: int = 0
) -> bytes:
    """Sends a streaming request; returns all bytes of the connection.

    Args:
        address: Address of the entry host.
        request_id: Id of the request.
        last_event: Id of the last event that the client has; 0 for none.
        reset_after: Event after which the connection is reset on its way; 0
            for no reset.
    """
    body = b"p" * 5000
    fields = deployment.request_fields(request_id, DEADLINE_MS)
    fields |= {
        "X-Model": "m",
        "X-Token-Count": "5200,70",
        "X-Prefix-Hash": "5c1e07a2:200,91bd3f06:5000",
        "Content-Length": str(len(body)),
    }
    if last_event:
        fields["Last-Event-Id"] = str(last_event)
    lines = [f"POST /referral/{request_id} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "", ""]).encode()
    received = b""
    with socket.create_connection(split(address), timeout=5) as sock:
        sock.sendall(head + body)
        with contextlib.suppress(TimeoutError, ConnectionError):
            while data := sock.recv(65536):
                received += data
                end = f"id: {reset_after}\ndata: token {reset_after}\n\n"
                position = received.find(end.encode())
                if reset_after and position >= 0:
                    # What was on its way behind the last event is lost.
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    return received[: position + len(end)]
                if received.endswith(b"\r\n0\r\n\r\n"):
                    return received
                if received.startswith(b"0\r\n\r\n"):
                    sock.settimeout(1.0)
    return received


def run(fleet: deployment.Deployment, record: deployment.Record) -> list[str]:
    """Plays the case; returns answers that are no answer in the protocol."""
    prefill = fleet.add_runner(
        "summary-0", "summary-llm", stage="prefill", work_s=0.02
    )
    engines = [
        fleet.add_runner(
            f"summary-{number}", "summary-llm", stage="decode", work_s=0.02
        )
        for number in (1, 2)
    ]
    host = fleet.add_host("host-0")
    fleet.start(deployment.configuration())
    for runner in (prefill, *engines):
        runner.set(slots=64, events=EVENTS)
    broken = []
    for number in range(STREAMS):
        request_id = f"r{number}-0"
        reset = number == RESET_STREAM and deployment.TROUBLE
        received = ask(host.listen, request_id, 0, EVENTS if reset else 0)
        events = [int(each) for each in re.findall(rb"\nid: (\d+)", received)]
        complete = received.endswith(b"\r\n0\r\n\r\n")
        record.add(
            f"{request_id}: {received[:15]!r}, events {events}, "
            f"{'complete' if complete else 'connection broken'}"
        )
        if not received.startswith(b"HTTP/1.1 200 "):
            broken.append(f"MIXED {request_id}: {received[:80]!r}")
            continue
        if complete:
            continue
        # The client lacks the end of the stream and resumes it.
        time.sleep(0.2)
        request_id = f"r{number}-1"
        answer = ask(host.listen, request_id, events[-1])
        record.add(
            f"{request_id}: resumes after event {events[-1]}, got {answer!r}"
        )
        if answer and not answer.startswith(b"HTTP/1.1 "):
            broken.append(
                f"MIXED {request_id}: bytes that are no answer: {answer[:80]!r}"
            )
        elif re.match(rb"HTTP/1.1 2", answer) and b"Seal" not in answer:
            broken.append(f"MIXED {request_id}: no seal: {answer[:80]!r}")
    time.sleep(0.5)
    for request_id, places in fleet.run_places().items():
        record.add(f"{request_id} ran at {', '.join(places)}")
    return broken


if __name__ == "__main__":
    deployment.main(pathlib.Path(__file__).parent, run)
