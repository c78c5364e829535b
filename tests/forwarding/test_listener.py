"""Tests what is written to a caller's connection."""

from __future__ import annotations

import types

import pytest

from coltsfootarch.forwarding import responder as responders


class RecordingConnection:
    """Records what a response writes."""

    def __init__(self):
        self.listener = types.SimpleNamespace(draining=False, overfull=False)
        self.sent = b""

    def send(self, data):
        self.sent += data


def start_nothing(responder):
    pass


def complete(responder):
    responder.respond(200, (), b"body")


@pytest.mark.parametrize("prepare", [start_nothing, complete])
def test_no_chunk_is_written_outside_of_a_response(prepare):
    """Guards against bytes on a connection that are no response."""
    connection = RecordingConnection()
    responder = responders.ConnectionResponder(connection, keep_alive=True)
    prepare(responder)
    written = connection.sent

    for write in (lambda: responder.send(b"data"), responder.finish):
        with pytest.raises(RuntimeError):
            write()

    assert connection.sent == written
