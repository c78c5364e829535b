"""Tests that requests take the routes and services set by the operator."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.fleet import policy
from tests.fleet import builders

ROUTES = (
    builders.route(name="root", prefix="/"),
    builders.route(name="short", prefix="/a/"),
    builders.route(name="long", prefix="/a/b/"),
    builders.route(name="other", host="two.example", prefix="/a/"),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("api.example", "/a/b/c", "long"),
        ("api.example", "/a/b/", "long"),
        ("api.example", "/a/b", "short"),
        ("API.example", "/a/x/y/z", "short"),
        ("api.example:8080", "/a/x", "short"),
        ("api.example", "/ab/c", "root"),
        ("two.example", "/a/b/c", "other"),
        ("two.example", "/b/", None),
        ("three.example", "/a/", None),
        ("api.example", "a/b", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    found = builders.make_policy(routes=ROUTES).find_route(host, path)

    assert (found.name if found else None) == name


def test_services_are_chosen_by_weight():
    targets = (policy.Target("one", 90.0), policy.Target("two", 10.0))
    route = builders.route(targets=targets)
    generator = random.Random(1)

    chosen = [route.choose_service(generator) for _ in range(1000)]

    assert 850 < chosen.count("one") < 950


def test_targets_with_zero_weight_are_never_chosen():
    targets = (policy.Target("one", 0.0), policy.Target("two", 10.0))
    route = builders.route(targets=targets)

    chosen = {route.choose_service(random.Random(n)) for n in range(50)}

    assert chosen == {"two"}


@pytest.mark.parametrize(
    ("repeat", "resumable", "expected"),
    [
        (policy.Repeat.IDEMPOTENT, False, True),
        (policy.Repeat.NON_IDEMPOTENT, False, False),
        (policy.Repeat.NON_IDEMPOTENT, True, False),
        (policy.Repeat.STREAM, False, False),
        (policy.Repeat.STREAM, True, True),
    ],
)
def test_only_idempotent_requests_and_resumable_streams_are_repeatable(
    repeat, resumable, expected
):
    route = builders.route(repeat=repeat, resumable=resumable)

    assert route.repeatable is expected


def test_silence_timeout_is_the_largest_of_its_terms():
    assert (
        builders.route(objective_s=0.9, event_gap_s=0.3).silence_timeout_s
        == 3.6
    )
    assert (
        builders.route(objective_s=0.1, event_gap_s=0.5).silence_timeout_s
        == 4.0
    )
    assert (
        builders.route(objective_s=0.1, event_gap_s=0.1).silence_timeout_s
        == 2.0
    )
