"""Measures a host's process while many callers send beyond or up to limits.

Each test starts the processes of a fleet and asserts what doesn't depend on the
speed of the machine: the host lives, its memory and descriptors stay bounded,
and an ordinary request is answered afterwards.
"""

from __future__ import annotations

import pytest

from tests.fakes import crowds
from tests.fakes import crowds_host

pytestmark = pytest.mark.crowd

# Callers that are refused, and callers whose requests are taken.
REFUSED_CALLERS = 400
TRAILER_CALLERS = 40
LEGAL_CALLERS = 400
IDLE_CALLERS = 5000


@pytest.fixture
def host(tmp_path, monkeypatch):
    started = crowds_host.CrowdedHost(tmp_path, monkeypatch)
    started.start()
    yield started
    started.close()


@pytest.mark.parametrize(
    "form",
    [
        crowds.Form("many lines", crowds.POST, b"a:b\r\n"),
        crowds.Form("one line", crowds.POST + b"a: ", b"b"),
        crowds.Form("long target", b"GET /read/", b"x"),
        crowds.Form(
            "ended beyond the limit",
            crowds.POST + b"a:b\r\n" * 3500 + b"\r\n",
            b"",
        ),
    ],
    ids=str,
)
def test_heads_beyond_the_limit_do_not_fill_a_host(host, form):
    """Guards against heads whose parsed lines are kept for every caller."""
    host.run(crowds.Floods(host.address, REFUSED_CALLERS, form))

    host.check()


@pytest.mark.parametrize("line", [b"\r\n", b"\n"], ids=["crlf", "lf"])
def test_empty_lines_before_a_request_do_not_fill_a_host(host, line):
    """Guards against refused connections that keep what they received."""
    form = crowds.Form("empty lines", b"", line)
    host.run(crowds.Floods(host.address, REFUSED_CALLERS, form))

    host.check()


@pytest.mark.parametrize(
    "form",
    [
        crowds.Form("many lines", crowds.CHUNKED + b"0\r\n", b"a:b\r\n"),
        crowds.Form("one line", crowds.CHUNKED + b"0\r\na: ", b"b"),
        crowds.Form("chunk extension", crowds.CHUNKED + b"1;", b"a"),
        crowds.Form("size of zeros", crowds.CHUNKED, b"0"),
    ],
    ids=str,
)
def test_lines_behind_a_body_do_not_fill_a_host(host, form):
    """Guards against trailers and chunk framing without a bound."""
    host.run(crowds.Floods(host.address, TRAILER_CALLERS, form))

    host.check()


@pytest.mark.parametrize(
    "line", [b"a:\r\n", b"ab:cd\r\n", b"a: \t \t b\r\n"], ids=repr
)
def test_open_heads_of_many_lines_do_not_fill_a_host(host, line):
    """Guards against parsed lines that take many times their bytes."""
    head = crowds.legal_head(line)[: -len(line) - 2]
    form = crowds.Form("open head", head, b"")
    host.run(crowds.Floods(host.address, LEGAL_CALLERS, form))

    host.check()


@pytest.mark.parametrize("together", [1, 8])
@pytest.mark.parametrize("line", [b"a:\r\n", b"ab:cd\r\n"], ids=repr)
def test_requests_of_many_lines_do_not_fill_a_host(host, line, together):
    """Guards against heads within the limit that have no bound together."""
    host.run(crowds.Requests(host.address, LEGAL_CALLERS, line, together))

    host.check()


@pytest.mark.parametrize("sent", [b"", b"G"], ids=["idle", "begun"])
def test_open_connections_do_not_fill_a_host(host, sent):
    """Guards against connections that are bounded by descriptors only."""
    form = crowds.Form("open", sent, b"")
    host.run(crowds.Floods(host.address, IDLE_CALLERS, form))

    host.check()
