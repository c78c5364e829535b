"""Tests against engines that idle in one stage while the other is full."""

from __future__ import annotations

import pytest

from coltsfootarch.fleet import upstreams
from coltsfootarch.scheduling import stage_balance
from tests.fleet import builders

MANY_REQUESTS = 1000


def make_engines(prefills, decodes):
    return [
        *(builders.prefill(f"p-{number}") for number in range(prefills)),
        *(builders.decode(f"d-{number}") for number in range(decodes)),
    ]


def make_balancer(prefill_s=0.1, decode_s=3.0, memory_tokens=1000, samples=20):
    """By default a decode engine runs 8 requests at once, 2.7 per second."""
    balancer = stage_balance.StageBalancer()
    for _ in range(samples):
        balancer.record("llm", prefill_s, decode_s, memory_tokens)
    return balancer


def test_idle_prefill_engine_changes_stage_when_decode_engines_are_lost():
    change = make_balancer().decide(
        builders.LLM, make_engines(2, 2), MANY_REQUESTS
    )

    assert change.stage is upstreams.Stage.DECODE
    assert [engine.id for engine in change.engines] == ["p-0"]
    assert change.gain == pytest.approx(1.5)


def test_busy_prefill_engines_don_t_prevent_a_change():
    """One engine prefills 8 prompts per second, decode engines the others."""
    change = make_balancer(decode_s=2.2).decide(
        builders.LLM, make_engines(2, 2), MANY_REQUESTS
    )

    assert change.stage is upstreams.Stage.DECODE


def test_no_change_without_load():
    assert make_balancer().decide(builders.LLM, make_engines(2, 2), 2) is None


def test_no_change_for_a_small_gain():
    assert (
        make_balancer().decide(builders.LLM, make_engines(2, 5), MANY_REQUESTS)
        is None
    )


def test_spare_prefill_engine_of_a_small_service_changes_stage():
    """With it the service sustains a quarter more requests in a burst."""
    balancer = make_balancer(prefill_s=0.05)

    change = balancer.decide(builders.LLM, make_engines(2, 4), MANY_REQUESTS)

    assert change.stage is upstreams.Stage.DECODE
    assert change.gain == pytest.approx(1.25)


def test_prefills_on_decode_engines_reduce_the_gain():
    """Decode engines generate nothing during them, so the gain is small."""
    assert (
        make_balancer().decide(builders.LLM, make_engines(2, 4), MANY_REQUESTS)
        is None
    )


def test_last_prefill_engine_keeps_its_stage():
    assert (
        make_balancer().decide(builders.LLM, make_engines(1, 1), MANY_REQUESTS)
        is None
    )


def test_no_change_before_enough_requests_were_recorded():
    balancer = make_balancer(samples=1)

    assert (
        balancer.decide(builders.LLM, make_engines(2, 1), MANY_REQUESTS) is None
    )


def test_small_service_keeps_its_decode_engines():
    """A decode engine that changes its stage refuses requests for seconds."""
    balancer = make_balancer(prefill_s=2.0, decode_s=0.5)

    assert (
        balancer.decide(builders.LLM, make_engines(1, 3), MANY_REQUESTS) is None
    )


def test_service_without_prefill_engines_gets_the_least_loaded_engine():
    """Decode engines that prefill prompts pause their streams."""
    loads = {"d-0": 9, "d-1": 1, "d-2": 5}

    change = stage_balance.StageBalancer().decide(
        builders.LLM, make_engines(0, 3), 0, lambda engine: loads[engine.id]
    )

    assert change.stage is upstreams.Stage.PREFILL
    assert [engine.id for engine in change.engines] == ["d-1"]


def test_single_decode_engine_keeps_its_stage():
    balancer = stage_balance.StageBalancer()

    assert balancer.decide(builders.LLM, make_engines(0, 1), 5) is None


def test_large_service_gets_prefill_engines_for_long_prompts():
    balancer = make_balancer(prefill_s=2.0, decode_s=1.0)

    change = balancer.decide(builders.LLM, make_engines(2, 22), MANY_REQUESTS)

    assert change.stage is upstreams.Stage.PREFILL
    assert len(change.engines) == 3


def test_no_change_without_decode_engines():
    assert (
        make_balancer().decide(builders.LLM, make_engines(2, 0), MANY_REQUESTS)
        is None
    )
