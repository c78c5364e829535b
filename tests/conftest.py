"""Fixtures, the fault matrix report and the handling of known red tests."""

from __future__ import annotations

import pathlib

import gevent.event
import gevent.server
import pytest
from hypothesis import settings

from coltsfootarch import clock
from tests.fakes import network
from tests.fakes import tables

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture
def manual_clock():
    return clock.ManualClock()


@pytest.fixture
def fake_tables():
    return tables.FakeTables()


@pytest.fixture
def fake_network():
    return network.FakeNetwork()


def known_red_tests(prefix="test: "):
    """Returns the node ids of the tests that KNOWN-RED.txt lists.

    They are on the lines that start with `test: `, or with `test, at times: `
    if a fault shows in some runs only.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def pytest_addoption(parser):
    parser.addoption(
        "--matrix", action="store_true", help="print the fault matrix"
    )


def pytest_collection_modifyitems(items):
    known_red = known_red_tests()
    sometimes_red = known_red_tests("test, at times: ")
    for item in items:
        if item.nodeid in known_red | sometimes_red:
            item.add_marker(
                pytest.mark.xfail(
                    reason="listed in KNOWN-RED.txt",
                    strict=item.nodeid in known_red,
                )
            )


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    outcome = yield
    report = outcome.get_result()
    report.matrix_rows = [
        dict(marker.kwargs) for marker in item.iter_markers("matrix")
    ]


def is_successful_setup(report):
    """Returns whether a report is about setup or teardown without errors."""
    return getattr(report, "when", "") != "call" and report.passed


def report_verdict(report):
    """Returns the verdict of a test: passed, failed or known red."""
    if hasattr(report, "wasxfail") and report.skipped:
        return "known red"
    return "passed" if report.passed else "failed"


def pytest_terminal_summary(terminalreporter, config):
    listed = known_red_tests() | known_red_tests("test, at times: ")
    for nodeid in sorted(listed):
        terminalreporter.write_line(f"known red: {nodeid}")
    if not config.getoption("--matrix"):
        return
    rows = {}
    for reports in terminalreporter.stats.values():
        for report in reports:
            if is_successful_setup(report):
                continue
            for number, row in enumerate(getattr(report, "matrix_rows", [])):
                rows[report.nodeid, number] = (row, report_verdict(report))
    counts = {"passed": 0, "failed": 0, "known red": 0}
    terminalreporter.write_line(
        "invariant | fault | step | fails without | verdict | test"
    )
    sorted_rows = sorted(
        rows.items(), key=lambda item: (item[1][0].get("invariant", 0), item[0])
    )
    for (nodeid, _), (row, verdict) in sorted_rows:
        counts[verdict] += 1
        cells = [
            str(row.get("invariant", "?")),
            row.get("fault", "none"),
            row.get("step", "any"),
            row.get("fails_without", "not shown"),
            verdict,
            nodeid.split("::", 1)[1],
        ]
        terminalreporter.write_line(" | ".join(cells))
    terminalreporter.write_line(
        f"{counts['passed']} passed, {counts['failed']} failed, "
        f"{counts['known red']} known red"
    )


@pytest.fixture
def running():
    """Returns a function that starts a stand-in, closed after the test."""
    started = []

    def start(standin):
        standin.start()
        started.append(standin)
        return standin

    yield start
    for standin in started:
        standin.close()


@pytest.fixture
def raw_server():
    """Returns a function that starts a server and returns its address.

    The server sends the bytes `answer` on every connection and closes it. If
    `repeated` is given, it sends these bytes every 20 ms until the test ends.
    """
    started = []
    closed = gevent.event.Event()

    def start(answer, repeated=b""):
        def handle(connection, _address):
            connection.recv(65536)
            connection.sendall(answer)
            while repeated and not closed.wait(0.02):
                connection.sendall(repeated)

        listener = gevent.server.StreamServer(("127.0.0.1", 0), handle)
        listener.start()
        started.append(listener)
        return f"127.0.0.1:{listener.server_port}"

    yield start
    closed.set()
    for listener in started:
        listener.stop()
