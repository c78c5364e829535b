"""Tests that hosts agree which versions of a service can have begun streams."""

from __future__ import annotations

import datetime
import random

import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import policy
from coltsfootarch.fleet import service_versions
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import upstreams
from coltsfootarch.fleet import version_rows
from tests.fleet import builders

LIFETIME_S = service_versions.MIN_LIFETIME_S
OPEN_S = service_versions.OPEN_DELAY_S
UNREACHABLE_S = 5.0


class Table:
    """Rows of one store, which can be restored and can fail."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.revision = 0
        self.epoch = 1
        self.reads = 0
        self.writes = 0
        self.is_failing = False

    def read(self, service):
        if self.is_failing:
            raise errors.TableUnavailableError()
        self.reads += 1
        state, revision = self.rows.get(service, (None, 0))
        return version_rows.StoredVersions(
            state,
            store_epochs.Position(self.epoch, revision),
            int(self.clock.monotonic() * 1000) + 500,
        )

    def replace(self, service, state, position):
        if self.is_failing:
            raise errors.TableUnavailableError()
        if self.rows.get(service, (None, 0))[1] != position.revision:
            return False
        self.revision += 1
        self.writes += 1
        self.rows[service] = (state, self.revision)
        return True


class Host:
    """What one host knows; it has another one as its peer."""

    def __init__(self, table, clock, name="h1"):
        self.clock = clock
        self.hears_other = True
        self.epochs = store_epochs.StoreEpochs(clock)
        self.epochs.observe(table.epoch, "test")
        self.directory = upstreams.UpstreamDirectory(clock, self.epochs)
        tracker = active_policy.PolicyTracker(clock)
        stream = builders.route(
            repeat=policy.Repeat.STREAM,
            targets=(policy.Target("llm", 1.0),),
            resumable=True,
        )
        tracker.apply(
            active_policy.PolicyReadResult(
                builders.make_policy(1, routes=(stream,)), 1, 0.0, True
            )
        )
        self.peers = hosts.HostDirectory(record(name), clock)
        self.peers.apply([record("h1"), record("h2")])
        self.versions = service_versions.ServiceVersions(
            table,
            self.directory,
            tracker,
            self.peers,
            self.epochs,
            clock,
            random.Random(1),
            UNREACHABLE_S,
        )

    def step(self, seconds=0.0):
        """Advances the clock and checks the rows as often as a host does."""
        until = self.clock.monotonic() + seconds
        while True:
            other = "h2" if self.peers.own.name == "h1" else "h1"
            if self.hears_other:
                self.peers.record_report(other, record(other).address, 1)
            self.directory.record_read()
            self.versions.check()
            if self.clock.monotonic() >= until:
                return
            self.clock.advance(datetime.timedelta(seconds=0.25))

    def register(self, **versions):
        entries = {
            name.replace("_", "-"): builders.decode(
                name.replace("_", "-"), version=version
            )
            for name, version in versions.items()
        }
        self.directory.replace(entries)


def record(name):
    return hosts.HostRecord(name, f"10.0.0.{name[1:]}:7500", "north", 1, 0)


@pytest.fixture
def table(manual_clock):
    return Table(manual_clock)


@pytest.fixture
def host(table, manual_clock):
    """A host whose service has had one version until now."""
    host = Host(table, manual_clock)
    host.register(d_1="v1")
    host.step()
    return host


def engine(version):
    return builders.decode("d-9", version=version)


def test_single_version_needs_no_records_and_no_further_calls(host, table):
    calls = (table.reads, table.writes)
    host.step(60.0)

    assert host.versions.is_single("llm")
    assert not host.versions.needs_record("llm", "v1")
    assert (table.reads, table.writes) == calls


def test_started_host_begins_no_stream_before_it_knows_the_row(
    table, manual_clock
):
    host = Host(table, manual_clock)
    host.register(d_1="v1")
    assert not host.versions.is_open(engine("v1"))

    host.step()

    assert host.versions.is_open(engine("v1"))


def test_streams_begin_at_a_new_version_after_all_hosts_have_seen_it(host):
    host.register(d_1="v1", d_2="v2")
    host.step()

    assert not host.versions.is_open(engine("v2"))
    assert not host.versions.is_single("llm")
    assert host.versions.needs_record("llm", "v2")
    host.step(OPEN_S)
    assert host.versions.is_open(engine("v2"))
    assert host.versions.is_open(engine("v1"))


def test_unreachable_host_delays_a_new_version(host, manual_clock):
    """It may take up streams without knowing of the version."""
    manual_clock.advance(datetime.timedelta(seconds=2.0))
    host.register(d_1="v1", d_2="v2")
    host.versions.check()
    manual_clock.advance(datetime.timedelta(seconds=2.0))
    assert not host.versions.is_open(engine("v2"))

    manual_clock.advance(datetime.timedelta(seconds=UNREACHABLE_S))

    assert host.versions.is_open(engine("v2"))


def test_version_is_not_open_while_the_store_fails(host, table):
    table.is_failing = True
    host.register(d_1="v1", d_2="v2")
    host.step(10.0)

    assert not host.versions.is_open(engine("v2"))
    assert host.versions.is_open(engine("v1"))


def test_started_host_knows_that_streams_of_two_versions_exist(
    host, table, manual_clock
):
    """Guards against joined streams after the old version has left."""
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    started = Host(table, manual_clock, "h2")
    started.register(d_2="v2")
    started.step()

    assert not started.versions.is_single("llm")
    assert started.versions.base("llm") == "v1"
    assert started.versions.needs_record("llm", "v2")
    assert started.versions.is_open(engine("v2"))


def test_base_changes_when_its_streams_can_not_be_taken_up_any_more(host):
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    host.register(d_2="v2")
    host.step(LIFETIME_S - 1.0)
    assert host.versions.base("llm") == "v1"

    host.step(2.0)

    assert host.versions.base("llm") == "v2"
    assert host.versions.needs_record("llm", "v2")
    host.step(LIFETIME_S + service_versions.MAX_COPY_AGE_S - 3.0)
    assert not host.versions.is_single("llm")
    host.step(3.0)
    assert host.versions.is_single("llm")
    assert not host.versions.needs_record("llm", "v2")


def test_version_that_left_is_forgotten(host):
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    host.register(d_1="v1")
    host.step(LIFETIME_S + 1.0)

    assert host.versions.base("llm") == "v1"
    assert host.versions.is_single("llm")


def test_version_that_is_back_in_time_keeps_its_place(host):
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    host.register(d_2="v2")
    host.step(LIFETIME_S / 2)
    host.register(d_1="v1", d_2="v2")
    host.step(LIFETIME_S)

    assert host.versions.base("llm") == "v1"
    assert not host.versions.is_single("llm")


def test_other_hosts_learn_a_change_by_reading(host, table, manual_clock):
    other = Host(table, manual_clock, "h2")
    other.register(d_1="v1")
    other.step()
    host.register(d_1="v1", d_2="v2")
    host.step()
    writes = table.writes
    other.register(d_1="v1", d_2="v2")
    other.step(1.0)

    assert other.versions.needs_record("llm", "v2")
    assert table.writes == writes


def restore(host, table, state=None):
    """Restores the store; the row is as it was, or `state`."""
    table.epoch += 1
    table.rows = {} if state is None else {"llm": (state, 1)}
    host.epochs.observe(table.epoch, "test")


def test_restoration_makes_unrecorded_streams_of_two_versions_uncertain(
    host, table
):
    """Guards against streams whose records were lost in a restoration."""
    again = []
    host.versions.on_restored.append(again.append)
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    restore(host, table, version_rows.VersionState("v1", {}, 1))
    assert not host.versions.is_single("llm")

    host.step(1.0)

    assert host.versions.is_uncertain("llm")
    assert host.versions.needs_record("llm", "v1")
    assert again == ["llm"]
    state, _ = table.rows["llm"]
    assert set(state.others) == {"v2"}
    host.step(LIFETIME_S + 1.0)
    assert not host.versions.is_uncertain("llm")


@pytest.mark.parametrize("row", [None, version_rows.VersionState("v1", {}, 1)])
def test_restoration_with_one_version_loses_nothing(host, table, row):
    restore(host, table, row)
    host.step(1.0)

    assert host.versions.is_single("llm")
    assert table.rows["llm"][0].epoch == 2


@pytest.mark.parametrize("row", [None, version_rows.VersionState("v1", {}, 1)])
def test_host_that_starts_on_a_copy_is_uncertain(
    host, table, manual_clock, row
):
    """It can't know whether the copy lacks a version or records."""
    restore(host, table, row)
    started = Host(table, manual_clock)
    started.register(d_1="v1")
    started.step()

    assert not started.versions.is_single("llm")
    assert started.versions.is_uncertain("llm")
    assert started.versions.needs_record("llm", "v1")


def test_base_that_a_restoration_takes_back_is_not_trusted(host, table):
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    host.register(d_2="v2")
    host.step(LIFETIME_S + 2.0)
    assert host.versions.base("llm") == "v2"
    old = version_rows.VersionState("v1", {"v2": 0}, 1)

    restore(host, table, old)
    host.step(1.0)

    assert host.versions.base("llm") == "v1"
    assert host.versions.is_uncertain("llm")


def test_version_stays_open_if_the_clock_of_the_store_goes_back(host, table):
    """Guards against a service whose engines take nothing for seconds."""
    host.register(d_1="v1", d_2="v2")
    host.step(OPEN_S)
    state, _ = table.rows["llm"]
    ahead = state._replace(others={"v2": state.others["v2"] + 60_000})
    restore(host, table, ahead)

    host.step(OPEN_S + 1.0)

    assert host.versions.is_open(engine("v2"))


def test_one_of_many_hosts_that_start_together_creates_the_row(
    table, manual_clock
):
    """Guards against a write of each host of a large fleet."""
    second = Host(table, manual_clock, "h2")
    second.register(d_1="v1")
    second.step()
    assert table.writes == 0

    first = Host(table, manual_clock)
    first.register(d_1="v1")
    first.step()
    second.step(1.0)

    assert table.writes == 1
    assert second.versions.is_single("llm")


def test_row_is_created_although_the_first_host_does_not(table, manual_clock):
    second = Host(table, manual_clock, "h2")
    second.register(d_1="v1")
    second.step(1.0)

    assert second.versions.is_single("llm")
