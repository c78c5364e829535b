"""Tests callers that resume an answer whose engine is silent for a while."""

from __future__ import annotations

import json

import pytest

from tests.fakes import engines
from tests.fakes import gateways

COMPLETIONS = "/v1/completions"
REQUEST = {
    "model": "summary",
    "prompt": gateways.PROMPT,
    "max_tokens": 4,
    "stream": True,
}


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


@pytest.fixture
def token(gateway):
    """Resume token of an answer that is still being generated."""
    gateway.block_at("last token")
    first = gateway.request("POST", COMPLETIONS, REQUEST)
    while not (data := first.readline()).startswith(b"data"):
        pass
    assert gateway.blocked.wait(gateways.WAIT.total_seconds())
    yield json.loads(data[6:])["resume_token"]
    first.close()


def resume(gateway, token):
    answer = gateway.request(
        "POST",
        COMPLETIONS,
        REQUEST,
        headers={"Resume-Token": token, "Last-Event-ID": "1"},
    )
    gateway.unblock.set()
    return answer


def texts(answer):
    """Returns the names of the events and the text of an answer."""
    names, text = [], ""
    for line in answer.read().decode().splitlines():
        name, _, value = line.partition(": ")
        if name == "event":
            names.append(value)
        elif name == "data":
            text += json.loads(value).get("text", "")
    return names, text


@pytest.mark.parametrize("step", ["reserve", "schedule"])
def test_answer_is_resumed_if_it_can_t_be_restarted(gateway, token, step):
    """Guards against an answer that is given up before its replacement."""
    gateway.fault_plan.faults["resume"].append("silence")
    gateway.fault_plan.faults[step].append("refused")

    names, text = texts(resume(gateway, token))

    assert "restart" not in names
    assert names[-1] == "done"
    assert text == engines.expected_text(1, 4)
    gateway.wait_settled()
    gateway.check_released()


def test_answer_of_an_engine_that_stays_silent_is_refused(gateway, token):
    """Guards against a refusal that leaves the engine's memory in use."""
    gateway.fault_plan.faults["resume"].extend(["silence", "silence"])
    gateway.fault_plan.faults["reserve"].append("refused")

    names, text = texts(resume(gateway, token))

    assert (names, text) == (["restart", "error"], "")
    gateway.wait_settled()
    gateway.check_released()


def test_answer_that_was_restarted_is_cancelled_at_its_engine(gateway, token):
    """Guards against two answers that hold memory for one caller."""
    gateway.fault_plan.faults["resume"].append("silence")

    names, text = texts(resume(gateway, token))

    assert names[:2] == ["restart", "start"]
    assert text == engines.expected_text(0, 4)
    gateway.wait_settled()
    gateway.check_released()
