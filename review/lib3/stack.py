"""Processes of a small deployment on loopback addresses, and its clients.

The hosts run with the command of the deploy file, from `target/deps`. Each
stand-in is a process of its own. All processes are ended by their ids.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import types
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
# As the deploy file's template renders them for the site tsm-rodtest.
SETTINGS = """[edge]
name = "{name}"
availability_zone = "{zone}"
listen = "{ip}:8360"
ready = "{ip}:8365"
reports = "{ip}:7500"
store = "{store}"

[limits]
retry_ratio = 0.2
retry_minimum = 54
retry_window = "10s"
rate_slack = 110000
grace = "8s"
key_confirmation = "5000ms"
"""
LOCK_PORT = 19998
NO_VERSIONS: Mapping[str, str] = types.MappingProxyType({})


class CannotRunError(Exception):
    """The case can't run here."""


class Answer(NamedTuple):
    """Answer to a client; a status of 0 means none, or not a whole one."""

    status: int
    body: bytes
    fields: dict[str, str]


def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
    timeout: float = 5.0,
) -> Answer:
    """Makes one call on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=fields or {})
        response = connection.getresponse()
        data = response.read()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, data, names)
    except (OSError, http.client.HTTPException):
        return Answer(0, b"", {})
    finally:
        connection.close()


class Program:
    """A process that this script starts and ends by its id."""

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                env=environment,
                stdout=file,
                stderr=file,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, even if it is stopped."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class Host(Program):
    """An entry host."""

    def __init__(
        self, name: str, zone: str, ip: str, store: str, folder: pathlib.Path
    ) -> None:
        path = folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(name=name, zone=zone, ip=ip, store=store)
        )
        self.listen = f"{ip}:8360"
        self.ready = f"{ip}:8365"
        super().__init__(
            name,
            ["coltsfootarch", "gateway", "--settings", str(path)],
            folder / f"{name}.log",
        )

    def is_ready(self) -> bool:
        """Returns whether the host says that it is ready."""
        answer = call(self.ready, "GET", "/api/readyz", timeout=1.0)
        return answer.status == 200


class Stack:
    """Store, runners and hosts of one run.

    Args:
        hosts: Number of entry hosts.
        runners: Id, service and stage ("" for none) of each runner.
        versions: Software version of runners that don't have "v1".
        work_s: Seconds for a call, a prompt or an event.
    """

    def __init__(
        self,
        hosts: int,
        runners: list[tuple[str, str, str]],
        versions: Mapping[str, str] = NO_VERSIONS,
        work_s: float = 0.01,
    ) -> None:
        if not (ROOT / "target" / "deps" / "coltsfootarch").is_dir():
            raise CannotRunError("target/deps isn't built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.lock = socket.socket()
        self.prefix = self.lock_prefix()
        self.journal = self.folder / "runs.jsonl"
        self.store_address = f"{self.prefix}.1:8361"
        self.store = Program(
            "store",
            ["review.lib3.store", "--listen", self.store_address],
            self.folder / "store.log",
        )
        self.runners: list[Program] = []
        self.runner_addresses: list[str] = []
        for number, (name, service, stage) in enumerate(runners):
            arguments = ["standins.runner", "--id", name]
            address = f"{self.prefix}.{100 + number}:8380"
            self.runner_addresses.append(address)
            arguments += ["--listen", address]
            arguments += ["--store", self.store_address]
            arguments += ["--service", service, "--work", str(work_s)]
            arguments += ["--journal", str(self.journal)]
            arguments += ["--version", versions.get(name, "v1")]
            if stage:
                arguments += ["--stage", stage]
            log = self.folder / f"{name}.log"
            self.runners.append(Program(name, arguments, log))
        zones = ("gt-centro-a", "gt-centro-b", "gt-centro-c")
        self.hosts = [
            Host(
                f"edge-{number}",
                zones[number % len(zones)],
                f"{self.prefix}.{10 + number}",
                self.store_address,
                self.folder,
            )
            for number in range(hosts)
        ]

    def lock_prefix(self) -> str:
        """Returns three numbers of loopback addresses that nobody uses."""
        for _ in range(100):
            numbers = [secrets.randbelow(254) + 1 for _ in range(2)]
            prefix = "127.{}.{}".format(*numbers)
            try:
                self.lock.bind((f"{prefix}.1", LOCK_PORT))
            except OSError:
                continue
            return prefix
        raise CannotRunError("no free loopback addresses")

    def set_store(self, **values: Any) -> None:
        """Sets attributes of the store's stand-in."""
        body = json.dumps(values).encode()
        call(self.store_address, "POST", "/standin/set", body)

    def set_runners(self, **values: Any) -> None:
        """Sets attributes of all runners' stand-ins."""
        body = json.dumps(values).encode()
        for address in self.runner_addresses:
            if call(address, "POST", "/standin/set", body).status != 200:
                raise CannotRunError("a runner doesn't take its settings")

    def put(self, table: str, key: str, document: Any) -> None:
        """Writes a row on behalf of the operator."""
        row = {"table": table, "key": key, "value": json.dumps(document)}
        body = json.dumps(row).encode()
        answer = call(self.store_address, "POST", "/standin/put", body)
        if answer.status != 200:
            raise CannotRunError("the store doesn't take a row")

    def start(
        self,
        configuration: Any,
        hosts: int | None = None,
        runners: int | None = None,
    ) -> None:
        """Starts all processes and waits until the hosts are ready.

        Args:
            configuration: The operator's first configuration.
            hosts: Number of hosts that start now; all if not given.
            runners: The same of runners.
        """
        started = self.hosts[:hosts]
        self.store.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                self.put("op", "config", configuration)
                break
            except CannotRunError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.05)
        for program in (*self.runners[:runners], *started):
            program.start()
        while not all(host.is_ready() for host in started):
            if time.monotonic() > deadline:
                raise CannotRunError("a host did not become ready")
            time.sleep(0.05)

    def rows(self, table: str) -> dict[str, Any]:
        """Returns the documents of a table by key."""
        target = f"/api/rows-get?table={table}&part=&limit=500"
        answer = call(self.store_address, "GET", target)
        rows = json.loads(answer.body)["rows"]
        return {
            row["key"]: json.loads(base64.b64decode(row["value"]))
            for row in rows
        }

    def runs(self) -> list[tuple[str, str, float]]:
        """Returns request id, runner and instant of each run."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [tuple(json.loads(line)) for line in lines]

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for program in (*self.hosts, *self.runners, self.store):
            program.kill()
        self.lock.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(
    hosts: int,
    runners: list[tuple[str, str, str]],
    play: Callable[[Stack], int],
    versions: Mapping[str, str] = NO_VERSIONS,
) -> int:
    """Builds a stack, plays a case with it and ends all processes.

    Returns:
        The exit code of the case; 2 if it couldn't run.
    """
    # Ends what was started also if the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        stack = Stack(hosts, runners, versions)
    except (CannotRunError, OSError) as error:
        print(f"can't run: {error}")
        return 2
    try:
        return play(stack)
    except CannotRunError as error:
        print(f"can't run: {error}")
        return 2
    except Exception:
        # An error of the script itself says nothing about the rule.
        traceback.print_exc()
        return 2
    finally:
        stack.close()
