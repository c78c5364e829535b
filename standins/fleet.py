"""Runs stand-ins and entry hosts as processes, for the demo and tests."""

from __future__ import annotations

import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import urllib3

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "prairie-mobility.toml"
KEYS = ROOT / "examples" / "demo-keys.toml"
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
CONNECTIONS_PER_ADDRESS = 20
FIRST_PORT = 10_000
LAST_PORT = 32_000
BLOCK_PORTS = 500
QUEUE_TIMEOUT = re.compile(r'queue_timeout = "\w+"')
ADDRESS = re.compile(r'^address = "127\.0\.0\.1:\d+"', re.MULTILINE)


class HostAddresses(NamedTuple):
    """Addresses ("ip:port") of an entry host."""

    listen: str
    peer: str


class Fleet:
    """Processes of stand-ins and entry hosts for one register.

    Args:
        hosts: Names of the entry hosts to start.
        example: Path of the register; its addresses are replaced by free ones.
        time_scale: Time scale of the engines; below 1 is faster.
        listen: Address of the first entry host; a free one if empty.
        queue_timeout: Longest wait for rate-limit tokens. Ledgers start empty,
            so that the first requests after a start may have to wait.

    Attributes:
        document: Register as TOML text.
        processes: Running processes, by host name or stand-in address.
        tables: Address of the table service.
        objects: Address of the object store.
        host_list: Address of the list of hosts.
        keys: API key by client account.
    """

    def __init__(
        self,
        hosts: list[str],
        example: pathlib.Path = EXAMPLE,
        time_scale: float = 1.0,
        listen: str = "",
        queue_timeout: str = "5s",
    ) -> None:
        text = ADDRESS.sub(
            lambda _: f'address = "{free_address()}"', example.read_text()
        )
        self.document = QUEUE_TIMEOUT.sub(
            f'queue_timeout = "{queue_timeout}"', text
        )
        self.register: dict[str, Any] = tomllib.loads(self.document)
        self.hosts = hosts
        self.time_scale = time_scale
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(
            timeout=10, retries=False, maxsize=CONNECTIONS_PER_ADDRESS
        )
        self.tables = free_address()
        self.objects = free_address()
        self.host_list = free_address()
        self.addresses = {
            name: HostAddresses(free_address(), free_address())
            for name in hosts
        }
        if listen:
            first = hosts[0]
            peer = self.addresses[first].peer
            self.addresses[first] = HostAddresses(listen, peer)
        self.keys: dict[str, str] = tomllib.loads(KEYS.read_text())[
            example.stem
        ]

    def start(self) -> None:
        """Starts everything and waits until all hosts are ready."""
        self.start_standin("tables", self.tables)
        self.start_standin("objects", self.objects)
        self.start_standin("host_list", self.host_list)
        for upstream in self.register["upstream"]:
            self.start_upstream(upstream)
        self.wait_listening(self.tables)
        self.apply(self.document)
        for name in self.hosts:
            self.start_host(name)
        for name in self.hosts:
            self.wait_ready(name)

    def close(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def start_standin(self, name: str, address: str, *options: str) -> None:
        """Starts `python -m standins.<name>`."""
        # gevent must patch before bottle is imported; otherwise all greenlets
        # share bottle's request object.
        module = ["-m", "gevent.monkey", "--module", f"standins.{name}"]
        command = [sys.executable, *module]
        self.spawn(address, [*command, "--address", address, *options])

    def start_upstream(self, upstream: dict[str, Any]) -> None:
        """Starts the stand-in of an upstream."""
        if upstream["role"] == "plain":
            self.start_standin("plain", upstream["address"])
            return
        options = ["--role", upstream["role"]]
        options += ["--time-scale", str(self.time_scale)]
        self.start_standin("engine", upstream["address"], *options)

    def start_host(self, name: str) -> None:
        """Starts an entry host."""
        path = pathlib.Path(self.folder.name) / f"{name}.toml"
        path.write_text(self.settings(name))
        command = [sys.executable, "-m", "coltsfootarch", "gateway"]
        self.spawn(name, [*command, "--settings", str(path)])

    def settings(self, name: str) -> str:
        """Returns the settings of an entry host, in TOML."""
        zone = next(
            host["availability_zone"]
            for host in self.register["host"]
            if host["name"] == name
        )
        addresses = self.addresses[name]
        lines = {
            "name": name,
            "availability_zone": zone,
            "listen": addresses.listen,
            "peer": addresses.peer,
            "table_service": self.tables,
            "object_store": self.objects,
            "host_list": self.host_list,
        }
        body = "\n".join(f'{key} = "{value}"' for key, value in lines.items())
        return f"[gateway]\n{body}\n"

    def spawn(self, name: str, command: list[str]) -> None:
        """Starts a process; its output goes to a log file in the folder."""
        log = pathlib.Path(self.folder.name) / f"{name.replace(':', '-')}.log"
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        with log.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": path},
                stdout=output,
                stderr=output,
            )

    def log(self, name: str) -> str:
        """Returns the output of a process."""
        log = pathlib.Path(self.folder.name) / f"{name.replace(':', '-')}.log"
        return log.read_text()

    def command(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Runs a `coltsfootarch` command against the table service.

        Args:
            *arguments: Command line arguments.
            check: Whether a non-zero exit status raises an exception.
        """
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        return subprocess.run(
            [sys.executable, "-m", "coltsfootarch", *arguments],
            cwd=ROOT,
            env={
                **os.environ,
                "PYTHONPATH": path,
                "COLTSFOOTARCH_TABLE_SERVICE": self.tables,
                "COLTSFOOTARCH_AUTHOR": "operator",
            },
            check=check,
            capture_output=True,
            text=True,
        )

    def apply(
        self, document: str, base: int = 0, wait: str = "0s"
    ) -> subprocess.CompletedProcess[str]:
        """Commits a register with `coltsfootarch config apply`.

        Args:
            document: TOML text.
            base: Version that the document is based on.
            wait: Longest wait for acceptance, for example "5s".
        """
        name = f"register-{secrets.token_hex(4)}.toml"
        path = pathlib.Path(self.folder.name) / name
        path.write_text(document)
        options = ["--base", str(base), "--wait", wait]
        return self.command("config", "apply", str(path), *options, check=False)

    def url(self, host: str) -> str:
        """Returns the URL of an entry host."""
        return f"http://{self.addresses[host].listen}"

    def wait_ready(self, host: str) -> None:
        """Waits until an entry host is ready for requests."""
        self.wait_until(
            lambda: self.status_of(f"{self.url(host)}/-/ready") == 200,
            f"{host} is not ready: {self.log(host)[-2000:]}",
        )

    def wait_listening(self, address: str) -> None:
        """Waits until an HTTP server responds at an address."""
        self.wait_until(
            lambda: self.status_of(f"http://{address}/") is not None,
            f"nothing listens on {address}",
        )

    def status_of(self, url: str) -> int | None:
        """Returns the HTTP status of a URL, None without a response."""
        try:
            return self.http.request("GET", url).status
        except urllib3.exceptions.HTTPError:
            return None

    def host_status(self, host: str) -> dict[str, Any]:
        """Returns the JSON document of an entry host's `/-/status`."""
        response = self.http.request("GET", f"{self.url(host)}/-/status")
        document: dict[str, Any] = json.loads(response.data)
        return document

    def set_faults(self, address: str, **faults: object) -> None:
        """Sets faults of the stand-in at an address."""
        self.http.request(
            "POST", f"http://{address}/-/faults", body=json.dumps(faults)
        )

    def wait_until(
        self,
        condition: Callable[[], object],
        message: str,
        timeout: float = READY_TIMEOUT_SECONDS,
    ) -> float:
        """Polls a condition until it holds.

        Args:
            condition: Returns a true value once the condition holds.
            message: Message of the exception.
            timeout: Longest wait in seconds.

        Returns:
            Seconds waited.

        Raises:
            TimeoutError: The condition did not hold in time.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout:
                raise TimeoutError(message)
            time.sleep(POLL_SECONDS)
        return time.monotonic() - started


class PortRange:
    """Block of ports reserved for this process.

    The ports lie below the ephemeral range of the system. A process owns a
    block while it listens on the block's first port, so that concurrent test
    processes never choose the same port for servers that are not listening
    yet.
    """

    def __init__(self) -> None:
        self.lock_socket = socket.socket()
        blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
        secrets.SystemRandom().shuffle(blocks)
        self.ports = next(
            iter(range(block + 1, block + BLOCK_PORTS))
            for block in blocks
            if self.lock_block(block)
        )

    def lock_block(self, block: int) -> bool:
        """Listens on a block's first port; returns whether it was free."""
        try:
            self.lock_socket.bind(("127.0.0.1", block))
            self.lock_socket.listen()
        except OSError:
            return False
        return True

    def next_port(self) -> int:
        """Returns the next port on which nothing listens, each at most once.

        Raises:
            RuntimeError: No port of the block is left.
        """
        for port in self.ports:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise RuntimeError("the process has used up its block of ports")


port_range: PortRange | None = None


def free_address() -> str:
    """Returns an unused loopback address ("ip:port")."""
    global port_range
    if port_range is None:
        port_range = PortRange()
    return f"127.0.0.1:{port_range.next_port()}"
