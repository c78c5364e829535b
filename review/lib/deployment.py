"""Starts a small deployment as separate processes on loopback addresses."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 30.0
API_HOST = "loans.example"
KEY = "review-key-one"
TENANT = "clinic"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Scripts that run at the same time use different loopback addresses.
PROCESS = os.getpid()
LOOPBACK = f"127.{1 + PROCESS // 62500 % 250}.{1 + PROCESS // 250 % 250}"
LOOPBACK += f".{1 + PROCESS % 250}"

# Bounds of the deployment sheet of pml-router.
SETTINGS = """
[edge]
name = "{name}"
availability_zone = "north"
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


class CannotRunError(Exception):
    """The deployment could not be started, so that nothing was judged."""


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Returns an unused loopback address, "ip:port"."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((LOOPBACK, 0))
        return "{}:{}".format(*sock.getsockname())


def call(
    address: str, method: str, target: str, document: Any = None
) -> tuple[int, bytes]:
    """Makes a control call to a stand-in or a readiness check."""
    connection = http.client.HTTPConnection(address, timeout=3)
    body = None if document is None else json.dumps(document)
    try:
        connection.request(method, target, body)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration, as the operator writes it."""
    return {
        "name": name,
        "host": API_HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gap_target_ms": 300,
        **changes,
    }


def configuration(version: int = 1) -> dict[str, Any]:
    """Returns a configuration with the routes of the deployment sheet."""
    return {
        "version": version,
        "routes": [
            route("booking", "non_idempotent", "loans-app"),
            route("stock", "idempotent", "loans-app", max_attempts=2),
            route(
                "referral",
                "streaming",
                "summary-llm",
                max_attempts=2,
                resumable=True,
                timeout_ms=14000,
                target_latency_ms=900,
                priority=1,
            ),
            route(
                "renewal",
                "streaming",
                "summary-llm",
                timeout_ms=14000,
                target_latency_ms=900,
                priority=1,
            ),
        ],
        "services": [
            {
                "name": "summary-llm",
                "health_path": "/healthz",
                "max_connections": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 96249,
                    "kv_token_bytes": 18432,
                    "kv_hold_s": 0.5,
                    "hold_ms": 2000.0,
                },
            },
            {
                "name": "loans-app",
                "health_path": "/healthz",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 1,
                "rate_per_s": 1000000,
                "burst": 1000000,
            }
        ],
    }


class Program:
    """A process that the script starts, signals and ends."""

    def __init__(
        self, name: str, arguments: list[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process with the built packages only."""
        paths = [str(ROOT / "target/deps"), str(ROOT / "target/review")]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=self.log.parent,
                env=environment,
                stdout=file,
                stderr=file,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process, also if it is stopped."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Host(Program):
    """An entry host, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, folder: pathlib.Path) -> None:
        self.listen = free_address()
        self.ready = free_address()
        path = folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                listen=self.listen,
                ready=self.ready,
                reports=free_address(socket.SOCK_DGRAM),
                store=store,
            )
        )
        arguments = ["coltsfootarch", "gateway", "--settings", str(path)]
        super().__init__(name, arguments, folder)

    def is_ready(self) -> bool:
        """Returns whether the host answers the balancer's check with 200."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return call(self.ready, "GET", "/api/readyz")[0] == 200
        return False


class Runner(Program):
    """A runner of the project's stand-in, or of the review's own one."""

    def __init__(
        self,
        name: str,
        service: str,
        store: str,
        folder: pathlib.Path,
        stage: str = "",
        module: str = "standins.runner",
        work_s: float = 0.06,
    ) -> None:
        self.listen = free_address()
        self.journal = folder / f"{name}.runs"
        arguments = [module, "--listen", self.listen, "--store", store]
        arguments += ["--id", name, "--service", service]
        arguments += ["--work", str(work_s), "--journal", str(self.journal)]
        if stage:
            arguments += ["--stage", stage]
        super().__init__(name, arguments, folder)

    def set(self, **values: Any) -> None:
        """Sets attributes of the stand-in."""
        call(self.listen, "POST", "/standin/set", values)

    def runs(self) -> list[str]:
        """Returns the ids of the requests that the runner began to run."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [json.loads(line)[0] for line in lines]


class Deployment:
    """Store, runners and entry hosts in a temporary folder."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store_address = free_address()
        self.store = Program(
            "store",
            ["standins.metadata_store", "--listen", self.store_address],
            self.folder,
        )
        self.runners: list[Runner] = []
        self.hosts: list[Host] = []

    def add_runner(self, name: str, service: str, **options: Any) -> Runner:
        """Adds a runner, which is started with the others."""
        runner = Runner(
            name, service, self.store_address, self.folder, **options
        )
        self.runners.append(runner)
        return runner

    def add_host(self, name: str, store: str = "") -> Host:
        """Adds an entry host, which is started with the others."""
        host = Host(name, store or self.store_address, self.folder)
        self.hosts.append(host)
        return host

    def put_configuration(self, document: dict[str, Any]) -> None:
        """Writes a configuration as the operator does; returns once acked."""
        row = {"table": "op", "key": "config", "value": json.dumps(document)}
        call(self.store_address, "POST", "/standin/put", row)

    def start(self, document: dict[str, Any]) -> None:
        """Starts all processes and waits until the hosts are ready.

        Raises:
            CannotRunError: They are not ready in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        self.store.start()
        while True:
            try:
                self.put_configuration(document)
                break
            except OSError as error:
                if time.monotonic() > deadline:
                    raise CannotRunError("no store") from error
                time.sleep(0.1)
        for program in (*self.runners, *self.hosts):
            program.start()
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline:
                raise CannotRunError("a host is not ready")
            time.sleep(0.1)
        # All runners have registered, and the hosts know each other.
        time.sleep(3.0)
        for program in (self.store, *self.runners, *self.hosts):
            if program.process is None or program.process.poll() is not None:
                raise CannotRunError(f"{program.name} does not run")

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for program in (*self.hosts, *self.runners, self.store):
            program.kill()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def run_places(self) -> dict[str, list[str]]:
        """Returns the runners that ran each request, by request id."""
        places: dict[str, list[str]] = {}
        for runner in self.runners:
            for request_id in runner.runs():
                places.setdefault(request_id, []).append(runner.name)
        return places


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "record.txt"
        self.path.write_text("")
        self.started = time.monotonic()

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        elapsed = time.monotonic() - self.started
        with self.path.open("a") as file:
            file.write(f"{elapsed:8.3f} {text}\n")


def request_fields(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Returns the header fields of a client's request."""
    return {
        "Host": API_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def main(folder: pathlib.Path, run: Any) -> None:
    """Runs a case and exits: 1 broken, 0 held, 2 it could not run.

    Args:
        folder: Folder of the case.
        run: Function that gets a deployment and a record, and returns the
            lines that show a broken rule.
    """
    record = Record(folder)
    record.add(f"trouble: {'yes' if TROUBLE else 'no'}")
    deployment = Deployment()
    try:
        broken = run(deployment, record)
    except Exception as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        deployment.close()
    for line in broken[:20]:
        record.add(f"BROKEN {line}")
        print(line)
    verdict = f"rule broken {len(broken)} times" if broken else "rule held"
    record.add(verdict)
    print(verdict)
    sys.exit(1 if broken else 0)
