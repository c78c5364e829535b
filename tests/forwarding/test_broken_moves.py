"""Tests streams whose engine breaks as another one takes them over."""

from __future__ import annotations

import math

import pytest

from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import engine_preparation
from tests.forwarding import test_silent_streams
from tests.platform import documents


@pytest.fixture
def engines(engines, monkeypatch):
    """Engines that are silent for too long after 0.2 s."""
    monkeypatch.setattr(decode_stage, "MIN_STALL_S", 0.2)
    monkeypatch.setattr(decode_stage, "STALL_GAP_MULTIPLE", 0.1)
    for name in ("d-1", "d-2"):
        engines.runners[name].event_gap_s = 0.1
    return engines


def reserve_no_memory(engines):
    """Lets the engines reserve no memory, and waits until this is in force."""
    document = documents.configuration(2)
    del document["services"][0]["engine"]["hold_ms"]
    engines.configure(document)
    engines.wait(lambda: engines.daemon.policy_tracker.version() == 2)


def break_engine_before_move(engines, monkeypatch):
    """Closes the silent engine's connections just before a move."""
    move = engine_preparation.EnginePreparation.move

    def move_late(self, replacement):
        engines.runners["d-1"].server.close_connections()
        return move(self, replacement)

    monkeypatch.setattr(engine_preparation.EnginePreparation, "move", move_late)


def test_stream_goes_on_if_its_engine_breaks_as_another_one_accepts(
    engines, monkeypatch
):
    """Guards against ending the request that the other engine has taken."""
    reserve_no_memory(engines)
    other = engines.runners["d-2"]
    generate = other.generate

    def generate_after_break(request_id, fields, connection):
        send = connection.send

        def send_after_break(data):
            connection.send = send
            engines.runners["d-1"].server.close_connections()
            send(data)

        connection.send = send_after_break
        generate(request_id, fields, connection)

    monkeypatch.setattr(other, "generate", generate_after_break)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)

    stream.check()


def test_stream_goes_on_if_its_engine_breaks_after_another_one_accepted(
    engines, monkeypatch
):
    """Guards against ending the request that the other engine has taken."""
    reserve_no_memory(engines)
    break_engine_before_move(engines, monkeypatch)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)

    stream.check()
    assert engines.runs() == {"d-1": ["r1"], "d-2": ["r1"]}
    test_silent_streams.check_released(engines)


def test_move_to_a_reserved_engine_takes_one_retry(engines, monkeypatch):
    """Guards against a stream that is cut because its move was paid twice."""
    budget = engines.daemon.context.budget
    monkeypatch.setattr(budget, "minimum", 1.25)
    monkeypatch.setattr(budget, "ratio", 0.0)
    break_engine_before_move(engines, monkeypatch)
    stream = test_silent_streams.start_on(engines, "d-1")
    engines.runners["d-1"].fall_silent(math.inf)

    stream.check()
    assert test_silent_streams.retries(engines) == 1
