"""Tests what is concluded from the prompts that engines hold."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import prompt_holders
from coltsfootarch.platform import wire
from standins import runner
from tests.fleet import builders

VERSIONS = {"d-1": "v1", "d-2": "v2"}


@pytest.fixture
def engines():
    """Two decode engines, each with a version of its own."""
    started = {}
    for name in VERSIONS:
        started[name] = runner.Runner(name, "llm", "decode")
        started[name].start()
    yield started
    for engine in started.values():
        engine.close()


@pytest.fixture
def holders(engines):
    directory = upstreams.UpstreamDirectory(clocks.SystemClock())
    directory.replace(
        {
            name: builders.decode(
                name, version=version, address=engines[name].address
            )
            for name, version in VERSIONS.items()
        }
    )
    return prompt_holders.PromptHolders(
        directory, wire.RunnerWire(), clocks.SystemClock()
    )


def test_concurrent_take_ups_get_the_same_answers(engines, holders):
    """Guards against all but one that are told that nobody holds a prompt."""
    engines["d-2"].held.add("aa")

    asking = [gevent.spawn(holders.versions, "llm", "aa") for _ in range(20)]
    gevent.joinall(asking)

    assert [each.value for each in asking] == [{"v2"}] * 20


def test_engines_are_asked_again_for_a_later_take_up(engines, holders):
    """Guards against a list that is older than the stream."""
    engines["d-1"].held.add("aa")
    assert holders.versions("llm", "aa") == {"v1"}
    engines["d-2"].held.add("aa")

    assert holders.versions("llm", "aa") == {"v1", "v2"}


def test_engine_that_does_not_answer_may_hold_a_prompt(engines, holders):
    """Guards against a stream that goes on beside a silent engine's."""
    engines["d-1"].held.add("aa")
    engines["d-2"].fall_silent(1.0)

    assert holders.versions("llm", "aa") == {"v1", "v2"}
    assert holders.versions("llm", "bb") == set()


def test_engine_that_is_down_holds_no_prompt(engines, holders):
    """Guards against take-ups refused for an engine that has crashed."""
    engines["d-1"].held.add("aa")
    engines["d-2"].close()

    assert holders.versions("llm", "aa") == {"v1"}


def test_many_hosts_ask_less_often(engines, holders):
    """Guards against engines that a large fleet keeps from their work."""
    holders.host_count = lambda: 380
    assert holders.versions("llm", "aa") == set()
    engines["d-1"].held.add("aa")

    assert holders.versions("llm", "aa") == set()
