"""A small deployment on loopback addresses, each program a process."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import TYPE_CHECKING
from typing import Any
from typing import NoReturn

if TYPE_CHECKING:
    import types
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Where `review/build-2.sh` puts the stand-ins.
if ROOT.name == "review-2":
    ROOT = ROOT.parents[1]
# Python path of the stand-ins.
STANDINS_PATH = os.pathsep.join(
    str(ROOT / part) for part in ("target/review-2", "target/deps")
)
START_TIMEOUT_S = 20.0
HOST_NAME = "clinic.example"
KEY = "key-of-the-clinic"

# As `deploy/settings.toml.template` renders it for a small deployment.
SETTINGS = """[edge]
name = "{name}"
availability_zone = "regina"
listen = "{listen}"
ready = "{ready}"
reports = "{reports}"
store = "{store}"

[limits]
retry_ratio = 0.2
retry_minimum = 54
retry_window = "10s"
rate_slack = 110000
grace = "8s"
key_confirmation = "5000ms"
"""


class Addresses:
    """Free loopback addresses of an IP of their own."""

    def __init__(self) -> None:
        while True:
            numbers = [secrets.randbelow(250) + 2 for _ in range(3)]
            self.ip = "127.{}.{}.{}".format(*numbers)
            self.lock = socket.socket()
            try:
                self.lock.bind((self.ip, 18999))
            except OSError:
                self.lock.close()
                continue
            break
        self.port = 19000

    def take(self) -> str:
        """Returns an address ("ip:port") that no other program uses."""
        while True:
            self.port += 1
            with socket.socket() as trial:
                try:
                    trial.bind((self.ip, self.port))
                except OSError:
                    continue
            return f"{self.ip}:{self.port}"


def call(
    address: str, method: str, target: str, document: Any = None
) -> tuple[int, bytes]:
    """Makes one HTTP call; returns the status and the body."""
    connection = http.client.HTTPConnection(address, timeout=3.0)
    try:
        body = None if document is None else json.dumps(document).encode()
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


class Program:
    """One process, started from the repository's root."""

    def __init__(
        self, name: str, command: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, path: str) -> None:
        """Starts the process with a Python path."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = path
        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


class Host(Program):
    """An entry host, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        store: str,
        folder: pathlib.Path,
        addresses: Addresses,
    ) -> None:
        self.listen = addresses.take()
        self.ready = addresses.take()
        settings = folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                listen=self.listen,
                ready=self.ready,
                reports=addresses.take(),
                store=store,
            )
        )
        command = ["python3", "-m", "coltsfootarch", "gateway"]
        command += ["--settings", str(settings)]
        super().__init__(name, command, folder / f"{name}.log")

    def is_ready(self) -> bool:
        """Returns whether the host says that it is ready."""
        try:
            return call(self.ready, "GET", "/api/readyz")[0] == 200
        except OSError:
            return False


class Deployment:
    """Store, runners and hosts, in a temporary folder.

    Args:
        hosts: Number of entry hosts.
    """

    def __init__(self, hosts: int) -> None:
        # A script that is ended ends its processes as well.
        signal.signal(signal.SIGTERM, exit_on_signal)
        self.folder_owner = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.folder_owner.name)
        self.addresses = Addresses()
        self.store_address = self.addresses.take()
        self.store = Program(
            "store",
            [
                *("python3", "-m", "standins.metadata_store"),
                *("--listen", self.store_address),
            ],
            self.folder / "store.log",
        )
        self.runners: dict[str, Program] = {}
        self.runner_addresses: dict[str, str] = {}
        self.hosts = [
            Host(
                f"edge-{number}",
                self.store_address,
                self.folder,
                self.addresses,
            )
            for number in range(hosts)
        ]

    def add_runner(
        self, name: str, service: str, module: str, *options: str
    ) -> None:
        """Adds a runner, which the module of a stand-in runs."""
        address = self.addresses.take()
        command = ["python3", "-m", module, "--listen", address]
        command += ["--store", self.store_address, "--id", name]
        command += ["--service", service, *options]
        self.runner_addresses[name] = address
        self.runners[name] = Program(name, command, self.folder / f"{name}.log")

    def start(self, configuration: Any) -> None:
        """Starts all programs and waits until all hosts are ready."""
        self.store.start(STANDINS_PATH)
        wait_until(lambda: self.put("config", configuration), "the store")
        for program in self.runners.values():
            program.start(STANDINS_PATH)
        wait_until(
            lambda: all(map(self.is_running, self.runners)), "the runners"
        )
        for host in self.hosts:
            host.start(str(ROOT / "target/deps"))
        wait_until(
            lambda: all(host.is_ready() for host in self.hosts), "the hosts"
        )

    def put(self, key: str, document: Any, table: str = "op") -> bool:
        """Writes a row to the store; returns whether that succeeded."""
        row = {"table": table, "key": key, "value": json.dumps(document)}
        try:
            return call(self.store_address, "POST", "/standin/put", row)[0] == (
                200
            )
        except OSError:
            return False

    def is_running(self, name: str) -> bool:
        """Returns whether a runner answers."""
        try:
            self.runs(name)
        except OSError:
            return False
        return True

    def set_store(self, **values: Any) -> None:
        """Sets attributes of the store."""
        call(self.store_address, "POST", "/standin/set", values)

    def restore_store(self, age_s: float) -> None:
        """Lets the store come back from a copy that is so old.

        What the operator and the runners wrote is written again by them.
        """
        self.set_store(restore=age_s)
        self.set_store(mode="serve")

    def restart_host(self, host: Host) -> None:
        """Starts a host that has ended."""
        host.start(str(ROOT / "target/deps"))

    def set_runner(self, name: str, **values: Any) -> None:
        """Sets attributes of a runner."""
        call(self.runner_addresses[name], "POST", "/standin/set", values)

    def start_runner(self, name: str) -> None:
        """Starts a runner that was added late; waits until it answers."""
        self.runners[name].start(STANDINS_PATH)
        wait_until(lambda: self.is_running(name), name)

    def remove_runner(self, name: str) -> None:
        """Ends a runner that has drained; its entry is removed."""
        self.runners.pop(name).close()
        del self.runner_addresses[name]
        row = {"table": "servers", "key": name, "value": None}
        call(self.store_address, "POST", "/standin/put", row)

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Returns the requests that a runner has begun to run."""
        _, body = call(self.runner_addresses[name], "GET", "/standin/runs")
        runs: list[dict[str, Any]] = json.loads(body)
        return runs

    def run_lines(self) -> list[str]:
        """Returns a line for the record for each request that was run."""
        return [
            f"run at {name}: {run['id']} {run['method']} {run['target']}, "
            f"after event {run['fields'].get('last-event-id', 'none')}"
            for name in self.runners
            for run in self.runs(name)
        ]

    def close(self) -> None:
        """Kills all processes and removes the folder."""
        for program in (*self.hosts, *self.runners.values(), self.store):
            program.close()
        self.addresses.lock.close()
        self.folder_owner.cleanup()


def exit_with(main: Callable[[], int]) -> NoReturn:
    """Ends the script with the status of its main function.

    An unexpected error shows nothing about the rule: status 2.
    """
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


def exit_on_signal(number: int, frame: types.FrameType | None) -> None:
    """Ends the script as one that could not run."""
    del number, frame
    sys.exit(2)


def wait_until(condition: Any, name: str) -> None:
    """Waits until a condition holds.

    Raises:
        RuntimeError: It doesn't hold in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"{name} did not start")
        time.sleep(0.05)


def route(
    name: str, kind: str, service: str, timeout_ms: int, **more: Any
) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 300,
        "priority": 2,
        "max_attempts": 1,
        **more,
    }


def configuration(
    version: int = 1, keys: tuple[str, ...] = (KEY,)
) -> dict[str, Any]:
    """Returns the configuration of a small deployment.

    Args:
        version: Its version.
        keys: API keys of its tenant.
    """
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 96249,
        "kv_token_bytes": 18432,
        "kv_hold_s": 0.5,
    }
    stream = {"target_latency_ms": 900, "gap_target_ms": 300, "priority": 1}
    return {
        "version": version,
        "routes": [
            route("stock", "idempotent", "loans-app", 2000, max_attempts=2),
            route("booking", "non_idempotent", "loans-app", 2000),
            route(
                "referral",
                "streaming",
                "summary-llm",
                14000,
                resumable=True,
                **{**stream, "max_attempts": 2},
            ),
            route("renewal", "streaming", "summary-llm", 14000, **stream),
        ],
        "services": [
            {"name": "loans-app", "max_connections": 100},
            {"name": "summary-llm", "max_connections": 360, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "clinic",
                "api_keys": list(keys),
                "rate_per_s": 1000000,
                "burst": 2000000,
                "plain_tokens": 200,
            }
        ],
    }
