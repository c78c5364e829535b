"""Runs an entry host with stand-ins of its platform over real sockets."""

from __future__ import annotations

import os
import pathlib
import socket

import gevent
import httptools  # noqa: F401  Import errors show here, not in a greenlet.
import msgspec
from gevent import socket as gevent_socket

from coltsfootarch import clock as clocks
from coltsfootarch.config import edge_settings
from coltsfootarch.forwarding import daemon
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from coltsfootarch.observability import log_writer
from coltsfootarch.platform import attachment
from standins import metadata_store
from standins import runner
from tests.platform import documents

TIMEOUT = 5.0


def free_addresses(count, kind=socket.SOCK_STREAM):
    """Returns loopback addresses that were free a moment ago."""
    sockets = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Response:
    """A response as a caller receives it; `complete` if it was not cut."""

    def __init__(self, status, fields, body, complete):
        self.status = status
        self.fields = {name.lower(): value for name, value in fields}
        self.body = body
        self.complete = complete

    @property
    def code(self):
        return msgspec.json.decode(self.body)["name"]


class Caller:
    """A client of the entry host with one connection."""

    def __init__(self, address):
        self.sock = gevent_socket.socket()
        self.sock.settimeout(TIMEOUT)
        self.sock.connect(client.split_address(address))
        self.reader = readers.ResponseReader()

    def send_raw(self, data):
        self.sock.sendall(data)

    def send(self, target, method="GET", body=b"", request_id="r1", **fields):
        headers = {
            "Host": "api.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {documents.KEY}",
        }
        for name, value in fields.items():
            headers[name.replace("_", "-")] = value
        if body:
            headers["Content-Length"] = str(len(body))
        present = [(name, value) for name, value in headers.items() if value]
        head = messages.render_head(f"{method} {target} HTTP/1.1", present)
        self.send_raw(head + body)

    def read_parts(self):
        """Yields the parts of one response; None as the last if complete."""
        while True:
            while self.reader.parts:
                part = self.reader.parts.popleft()
                yield part
                if part is None:
                    return
            data = self.sock.recv(65536)
            if not data:
                return
            self.reader.feed(data)

    def read(self):
        """Returns a response; None if the connection closes before it."""
        head, body, complete = None, b"", False
        for part in self.read_parts():
            if part is None:
                complete = True
            elif isinstance(part, messages.ResponseHead):
                head = part
            else:
                body += part
        if head is None:
            return None
        return Response(head.status, head.fields, body, complete)

    def ask(self, *arguments, **fields):
        self.send(*arguments, **fields)
        return self.read()

    def close(self):
        self.sock.close()


class EdgeHost:
    """One entry host with a metadata store and upstreams as stand-ins.

    Attributes:
        host_name: Name of the host.
        store_address: Address at which it reaches the store; empty for that of
            the store itself.
    """

    host_name = "host-1"
    store_address = ""

    def __init__(self):
        self.store = metadata_store.MetadataStore()
        self.store.start()
        self.runners = {}
        self.callers = []
        self.daemon = None
        self.null_fd = os.open(os.devnull, os.O_WRONLY)

    def add_runner(self, name, service, stage=None, **attributes):
        upstream = runner.Runner(name, service, stage)
        for attribute, value in attributes.items():
            setattr(upstream, attribute, value)
        upstream.start()
        self.runners[name] = upstream
        self.register(upstream)
        return upstream

    def register(self, upstream):
        value = documents.encoded(upstream.registration())
        self.store.put("servers", upstream.id, value)

    def configure(self, document=None):
        document = document or documents.configuration()
        self.store.put("op", "config", documents.encoded(document))

    def restart(self, **limits):
        """Starts the host again; it has lost its memory."""
        self.daemon.close()
        return self.start(**limits)

    def remove(self, name):
        """Removes a runner and its registration."""
        self.store.put("servers", name, None)
        self.runners.pop(name).close()

    def start(self, **limits):
        listen, ready, metrics = free_addresses(3)
        (reports,) = free_addresses(1, socket.SOCK_DGRAM)
        values = edge_settings.Limits(**limits)
        settings = edge_settings.EdgeSettings(
            self.host_name,
            "north",
            listen,
            ready,
            reports,
            self.store_address or self.store.address,
            metrics,
            limits=values,
        )
        clock = clocks.SystemClock()
        self.daemon = daemon.EdgeDaemon(
            settings,
            attachment.attach(settings.store, clock),
            clock,
            log_writer.LogWriter(self.null_fd, clock),
            pathlib.Path("settings.toml"),
        )
        self.daemon.buckets.started_at -= 60.0
        self.daemon.start()
        self.wait(self.daemon.is_ready)
        return self.daemon

    def wait(self, condition):
        """Waits until a condition holds."""
        with gevent.Timeout(TIMEOUT):
            while not condition():
                gevent.sleep(0.005)

    def caller(self):
        caller = Caller(self.daemon.settings.listen)
        self.callers.append(caller)
        return caller

    def ask(self, *arguments, **fields):
        return self.caller().ask(*arguments, **fields)

    def runs(self):
        """Returns the ids of the requests that ran, by runner."""
        return {
            name: [run["id"] for run in upstream.runs]
            for name, upstream in self.runners.items()
            if upstream.runs
        }

    def close(self):
        for caller in self.callers:
            caller.close()
        if self.daemon is not None:
            self.daemon.close()
        for upstream in self.runners.values():
            upstream.close()
        self.store.close()
        os.close(self.null_fd)
