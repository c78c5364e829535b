"""Guards against silences that excuse requests or miss kinds of changes."""

from __future__ import annotations

import collections
import random
import signal
import types

import msgspec
import pytest

from coltsfootarch.platform import configuration
from soak import changes
from soak import run
from soak import silences


class FakeRunner:
    def __init__(self, name, service, stage):
        self.name, self.service, self.stage = name, service, stage
        self.signals = []

    def signal(self, number):
        self.signals.append(number)


class FakeLoad:
    def __init__(self):
        self.bursts = []

    def burst(self, count):
        self.bursts.append(count)


class FakeSchedule:
    def __init__(self):
        runners = [FakeRunner(*each) for each in silences.RUNNERS]
        self.fleet = types.SimpleNamespace(runners=runners)
        self.load = FakeLoad()
        self.reserved = set()
        self.applied = []
        self.unplanned = []
        self.version = 1
        self.written = []

    def write_configuration(self):
        self.written.append(self.version)


@pytest.fixture
def schedule(monkeypatch):
    monkeypatch.setattr(silences, "MAX_SILENCE_S", 0.1)
    monkeypatch.setattr(silences, "MIN_SILENCE_S", 0.05)
    monkeypatch.setattr(silences, "REST_S", 0.0)
    return FakeSchedule()


def test_silent_runners_go_on_and_excuse_nothing(schedule):
    silences.Silences(run.configuration, 1).run(schedule, 2.0)

    assert schedule.unplanned == []
    assert schedule.reserved == set()
    signals = [runner.signals for runner in schedule.fleet.runners]
    assert any(signals)
    for each in signals:
        assert each == [signal.SIGSTOP, signal.SIGCONT] * (len(each) // 2)
    assert schedule.written
    assert schedule.load.bursts


def test_all_runners_of_a_service_or_some_are_chosen(schedule):
    series = silences.Silences(run.configuration, 1)

    chosen = {
        frozenset(each.name for each in series.choose_runners(schedule))
        for _ in range(300)
    }

    assert {frozenset(("a-1", "a-2")), frozenset(("d-1", "d-2"))} <= chosen
    assert frozenset(("p-1",)) in chosen
    assert {len(each) for each in chosen} == {1, 2, 3}


def test_runner_with_another_fault_is_not_silenced(schedule):
    series = silences.Silences(run.configuration, 1)
    schedule.reserved = {"d-1"}

    for _ in range(100):
        chosen = series.choose_runners(schedule)
        assert "d-1" not in {each.name for each in chosen}


def test_changes_of_every_kind_give_valid_configurations():
    series = changes.Changes(run.configuration, random.Random(1))
    kinds = collections.Counter()
    for version in range(2, 200):
        kinds[series.change()] += 1
        document = series.configuration(version, ["key-a", "key-b"])
        policy = configuration.decode(msgspec.json.encode(document))
        assert policy.version == version

    assert set(kinds) == set(changes.KINDS)


@pytest.mark.parametrize("kind", changes.KINDS)
def test_each_change_shows_in_the_configuration(kind):
    series = changes.Changes(run.configuration, random.Random(1))
    before = series.configuration(1, ["key-a"])

    shown = False
    for _ in range(10):
        getattr(series, kind)()
        shown |= series.configuration(1, ["key-a"]) != before

    assert shown
