"""Processes of the soak test: store, runners and entry hosts."""

from __future__ import annotations

import base64
import contextlib
import pathlib
import signal
import subprocess
import sys
import time
import types
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent
import msgspec

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from soak import loopback
from soak import proxy

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 20.0
# Longest time until a runner that crashed on a request is up again.
RUNNER_RESTART_S = 3.0
KEY_CONFIRMATION_S = 2.0

SETTINGS = """
[edge]
name = "{name}"
availability_zone = "north"
listen = "{listen}"
ready = "{ready}"
reports = "{reports}"
store = "{store}"

[limits]
key_confirmation = "{confirmation}ms"
grace = "{grace:g}s"
retry_ratio = {budget.ratio}
retry_minimum = {budget.minimum}
"""
GRACE_S = 5.0
# Name, service and stage of each runner.
RUNNERS = (
    ("a-1", "app", ""),
    ("a-2", "app", ""),
    ("p-1", "llm", "prefill"),
    ("d-1", "llm", "decode"),
    ("d-2", "llm", "decode"),
)
# Runners of seeds with two versions, and the versions of some.
RUNNERS_OF_TWO_VERSIONS = (
    *RUNNERS,
    ("d-3", "llm", "decode"),
    ("d-4", "llm", "decode"),
)
SECOND_VERSION = {"d-2": "v2", "d-4": "v2"}
NO_VERSIONS: Mapping[str, str] = types.MappingProxyType({})


class RetryBudget(NamedTuple):
    """Retries that the hosts may make in a window of 10 s.

    Attributes:
        ratio: Retries for each request.
        minimum: Retries without requests.
    """

    ratio: float = 0.2
    minimum: float = 200.0


DEFAULT_BUDGET = RetryBudget()


def call(
    address: str,
    method: str,
    target: str,
    document: Any = None,
    host: str = "",
) -> tuple[int, bytes]:
    """Makes one HTTP call on behalf of the soak test.

    Args:
        address: "ip:port" of the server.
        method: HTTP method.
        target: Request target.
        document: Document to send as JSON; None for an empty body.
        host: Value of the `Host` field; the address by default.

    Returns:
        Status code and body of the response.
    """
    body = b"" if document is None else msgspec.json.encode(document)
    fields = [("Host", host or address), ("Content-Length", str(len(body)))]
    head = messages.render_head(f"{method} {target} HTTP/1.1", fields)
    connection = client.Connection(address, clocks.SystemClock())
    try:
        connection.start(2.0)
        connection.send(head, body, 2.0)
        first = connection.read_part(2.0)
        assert isinstance(first, messages.ResponseHead)
        data = b""
        while (part := connection.read_part(2.0)) is not None:
            assert isinstance(part, bytes)
            data += part
        return first.status, data
    finally:
        connection.close()


class Program:
    """Process that the soak test starts, signals and restarts."""

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                stdout=file,
                stderr=file,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Waits for the end of the process.

        Args:
            timeout: Longest wait in seconds.

        Returns:
            Exit status, None if the process still runs.
        """
        deadline = time.monotonic() + timeout
        while self.process is not None and time.monotonic() < deadline:
            status = self.process.poll()
            if status is not None:
                return status
            gevent.sleep(0.02)
        return None

    def kill(self) -> None:
        """Kills the process, even if it is stopped by SIGSTOP."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class Host(Program):
    """Entry host that reaches the store through a proxy of its own."""

    def __init__(
        self,
        name: str,
        store: str,
        folder: pathlib.Path,
        addresses: loopback.LoopbackAddresses,
        budget: RetryBudget,
    ) -> None:
        self.listen = addresses.next_address()
        self.ready = addresses.next_address()
        self.store_proxy = proxy.Proxy(store)
        self.store_proxy.start()
        path = folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                listen=self.listen,
                ready=self.ready,
                reports=addresses.next_address(),
                store=self.store_proxy.address,
                confirmation=int(KEY_CONFIRMATION_S * 1000),
                grace=GRACE_S,
                budget=budget,
            )
        )
        self.clock_file = folder / f"{name}.clock"
        arguments = ["soak.stepped_clock", str(self.clock_file)]
        arguments += ["gateway", "--settings", str(path)]
        super().__init__(name, arguments, folder / f"{name}.log")

    def is_ready(self) -> bool:
        with contextlib.suppress(Exception):
            return call(self.ready, "GET", "/api/readyz")[0] == 200
        return False

    def ended_requests(self) -> set[str]:
        """Returns the ids of requests whose end the host has logged."""
        return {
            str(msgspec.json.decode(line)["request_id"])
            for line in self.log.read_bytes().splitlines()
            if b'"request ended"' in line
        }

    def has_route(self, name: str, path: str) -> bool:
        """Returns whether a route of the configuration is in force.

        Args:
            name: Host name that the route matches.
            path: Path that it matches.
        """
        with contextlib.suppress(Exception):
            return call(self.listen, "GET", path, host=name)[0] != 404
        return False


class Runner(Program):
    """Runner that hosts reach through a proxy."""

    def __init__(
        self,
        name: str,
        service: str,
        stage: str,
        store: str,
        folder: pathlib.Path,
        addresses: loopback.LoopbackAddresses,
        version: str = "v1",
    ) -> None:
        self.service = service
        self.stage = stage
        self.listen = addresses.next_address()
        self.proxy = proxy.Proxy(self.listen)
        self.proxy.start()
        arguments = ["standins.runner", "--listen", self.listen]
        arguments += ["--store", store, "--id", name, "--service", service]
        arguments += ["--advertise", self.proxy.address]
        arguments += ["--journal", str(folder / "runs.jsonl")]
        arguments += ["--version", version]
        if stage:
            arguments += ["--stage", stage]
        super().__init__(name, arguments, folder / f"{name}.log")


class Fleet:
    """All programs of one run of the soak test.

    Args:
        folder: Folder for settings and logs.
        hosts: Number of entry hosts.
        runners: Name, service and stage of each runner.
        versions: Versions of runners that don't have the first one.
        budget: Retry budget of the hosts.

    Attributes:
        crashing_part: Part of a prompt on which decode engines crash; empty for
            none.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        hosts: int,
        runners: Sequence[tuple[str, str, str]] = RUNNERS,
        budget: RetryBudget = DEFAULT_BUDGET,
        versions: Mapping[str, str] = NO_VERSIONS,
    ) -> None:
        self.folder = folder
        self.crashing_part = ""
        self.addresses = loopback.LoopbackAddresses()
        self.store_address = self.addresses.next_address()
        self.store = Program(
            "store",
            ["standins.metadata_store", "--listen", self.store_address],
            folder / "store.log",
        )
        self.runners = [
            Runner(
                name,
                service,
                stage,
                self.store_address,
                folder,
                self.addresses,
                versions.get(name, "v1"),
            )
            for name, service, stage in runners
        ]
        self.hosts = [
            Host(
                f"h-{number}",
                self.store_address,
                folder,
                self.addresses,
                budget,
            )
            for number in range(hosts)
        ]

    def put(self, key: str, document: Any, table: str = "op") -> None:
        """Writes a row to the store, by default to the operator's table."""
        value = msgspec.json.encode(document).decode()
        row = {"table": table, "key": key, "value": value}
        call(self.store_address, "POST", "/standin/put", row)

    def registered_state(self, runner: Runner) -> str:
        """Returns a runner's state in the store, "" if it can't be read."""
        target = "/api/rows-get?table=servers&part=&limit=100"
        with contextlib.suppress(
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
            msgspec.DecodeError,
        ):
            _, data = call(self.store_address, "GET", target)
            for row in msgspec.json.decode(data)["rows"]:
                if row["key"] == runner.name:
                    entry = msgspec.json.decode(base64.b64decode(row["value"]))
                    return str(entry["state"])
        return ""

    def set_store(self, **values: Any) -> None:
        call(self.store_address, "POST", "/standin/set", values)

    def set_runner(self, runner: Runner, **values: Any) -> None:
        """Sets attributes of a runner, which may just be restarting.

        Raises:
            client.ConnectError: It is not up again within `RUNNER_RESTART_S`.
        """
        deadline = time.monotonic() + RUNNER_RESTART_S
        while True:
            try:
                call(runner.listen, "POST", "/standin/set", values)
                return
            except client.ConnectError:
                if time.monotonic() > deadline:
                    raise
            gevent.sleep(0.05)

    def set_crashing_part(self, part: str) -> None:
        """Makes the decode engines crash on a part of a prompt."""
        self.crashing_part = part
        for runner in self.runners:
            self.restore_crashing_part(runner)

    def restore_crashing_part(self, runner: Runner) -> None:
        """Sets the crashing part of a runner, also after it was restarted."""
        if self.crashing_part and runner.stage == "decode":
            self.set_runner(runner, crashing_part=self.crashing_part)

    def start(self, configuration: Any) -> None:
        """Starts all programs and waits until the hosts are ready.

        Raises:
            RuntimeError: They are not ready within `START_TIMEOUT_S`.
        """
        self.store.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            with contextlib.suppress(client.ConnectError):
                self.put("config", configuration)
                break
            if time.monotonic() > deadline:
                raise RuntimeError("the store did not start")
            gevent.sleep(0.05)
        for program in (*self.runners, *self.hosts):
            program.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Waits until all hosts are ready.

        Raises:
            RuntimeError: They are not ready within `START_TIMEOUT_S`.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline:
                raise RuntimeError("a host did not become ready")
            gevent.sleep(0.05)

    def close(self) -> None:
        for program in (*self.hosts, *self.runners, self.store):
            program.kill()
        for host in self.hosts:
            host.store_proxy.close()
        for runner in self.runners:
            runner.proxy.close()
        self.addresses.close()

    def runs(self) -> list[tuple[str, str, float]]:
        """Returns request id, runner and instant of each execution."""
        path = self.folder / "runs.jsonl"
        if not path.exists():
            return []
        return [
            tuple(msgspec.json.decode(line))
            for line in path.read_bytes().splitlines()
        ]
