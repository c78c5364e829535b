"""Entry host in a process of its own, before a crowd of callers."""

from __future__ import annotations

import os
import time

import gevent

from soak import processes
from soak import run
from tests.fakes import crowds
from tests.forwarding import test_process_memory

# Three quarters of the memory of the smallest users' machine.
MAX_BYTES = 96 * 1024 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
# Time for which a crowd sends.
SECONDS = 6.0
# Descriptors of a host without callers, and the longest wait for them.
MAX_DESCRIPTORS = 100
LEAVE_S = 15.0


class CrowdedHost:
    """One host, its store and its runners.

    Args:
        folder: Folder for settings and logs.
        monkeypatch: Sets the settings of the host.
    """

    def __init__(self, folder, monkeypatch):
        monkeypatch.setattr(
            processes,
            "KEY_CONFIRMATION_S",
            test_process_memory.KEY_CONFIRMATION_S,
        )
        self.fleet = processes.Fleet(folder, 1)
        (self.host,) = self.fleet.hosts
        self.address = self.host.listen
        self.crowd = None
        self.most_descriptors = 0

    def start(self):
        configuration = run.configuration(1, [crowds.KEY])
        configuration["limits"]["max_header_bytes"] = crowds.MAX_HEADER_BYTES
        configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.fleet.start(configuration)

    def close(self):
        if self.crowd is not None:
            self.crowd.close()
        self.fleet.close()

    def run(self, crowd):
        """Lets a crowd send, and leave."""
        self.crowd = crowd
        crowd.start()
        deadline = time.monotonic() + SECONDS
        while time.monotonic() < deadline:
            self.most_descriptors = max(
                self.most_descriptors, self.descriptors()
            )
            gevent.sleep(0.05)
        crowd.close()

    def descriptors(self):
        """Returns the number of open descriptors; 0 of an ended process."""
        try:
            return len(os.listdir(f"/proc/{self.host.process.pid}/fd"))
        except OSError:
            return 0

    def check(self):
        """Asserts that the host is sound after the crowd has left."""
        assert self.host.process.poll() is None
        peak = test_process_memory.peak_bytes(self.host)
        print(
            f"peak {peak / 2**20:.0f} MB, {self.crowd.connections} "
            f"connections, {self.crowd.sent_bytes / 2**20:.0f} MB sent, "
            f"{self.most_descriptors} descriptors"
        )
        assert self.most_descriptors < 3 * self.crowd.callers + MAX_DESCRIPTORS
        deadline = time.monotonic() + LEAVE_S
        while self.descriptors() >= MAX_DESCRIPTORS:
            assert time.monotonic() < deadline
            gevent.sleep(0.1)
        status = test_process_memory.ask(
            self.host, "GET", "/read/y", "ordinary"
        )
        assert status == 200
        assert peak < MAX_BYTES
