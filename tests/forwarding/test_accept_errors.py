"""Tests a listener whose connections can't be accepted."""

from __future__ import annotations

import errno
import os

import gevent
import gevent.event
import pytest
import structlog

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import policy
from coltsfootarch.forwarding import descriptors
from coltsfootarch.forwarding import listener as listeners


class FailingSocket:
    """A listening socket with errors for the next calls of `accept`."""

    def __init__(self, *codes):
        self.codes = list(codes)
        self.done = gevent.event.Event()

    def accept(self):
        if self.codes:
            code = self.codes.pop(0)
            raise OSError(code, os.strerror(code))
        self.done.set()
        gevent.sleep(60.0)


@pytest.fixture
def listener(monkeypatch):
    """A listener whose bound of connections is not known yet."""
    monkeypatch.setattr(listeners, "ACCEPT_RETRY_S", 0.001)
    clock = clocks.SystemClock()
    budget = descriptors.DescriptorBudget(clock)
    budget.record(99)
    return listeners.CallerListener(
        "127.0.0.1:0", None, clock, policy.CallerLimits, budget=budget
    )


def accept(listener, *codes):
    """Lets calls of `accept` fail; returns the log lines."""
    sock = FailingSocket(*codes)
    with structlog.testing.capture_logs() as lines:
        acceptor = gevent.spawn(listener.accept_all, sock)
        assert sock.done.wait(5.0)
        acceptor.kill()
    return [
        line for line in lines if line["event"] == "connection not accepted"
    ]


def test_lack_of_descriptors_bounds_the_connections(listener):
    (line,) = accept(listener, errno.EMFILE)

    bound = listener.budget.max_callers
    assert bound < 100
    assert line["max_connections"] == bound
    assert "Too many open files" in line["reason"]


@pytest.mark.parametrize(
    "code",
    [
        errno.ENFILE,
        errno.ENOMEM,
        errno.ENOBUFS,
        errno.ECONNABORTED,
        errno.EPERM,
        errno.ETIMEDOUT,
    ],
)
def test_other_error_does_not_bound_the_connections(listener, code):
    """Guards against callers refused for a lack that isn't the process's."""
    lines = accept(listener, code, code)

    assert listener.budget.max_callers == descriptors.MAX_CALLERS
    assert [line["max_connections"] for line in lines] == [None, None]
    assert os.strerror(code) in lines[0]["reason"]


def test_other_error_does_not_lift_the_bound(listener):
    accept(listener, errno.EMFILE)
    bound = listener.budget.max_callers

    accept(listener, errno.ENFILE, errno.ECONNABORTED)

    assert listener.budget.max_callers == bound
