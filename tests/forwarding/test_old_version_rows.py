"""Guards against take-ups that are judged by an old row of versions."""

from __future__ import annotations

import pytest

from coltsfootarch.fleet import service_versions
from tests.forwarding import version_fleet

LIFETIME_S = service_versions.MIN_LIFETIME_S


@pytest.fixture
def fleet(manual_clock):
    return version_fleet.Fleet(manual_clock)


def replace_version(fleet):
    """Releases v2 until it is the base version at the first host."""
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    fleet.register(d_2="v2")
    for _ in range(400):
        fleet.step(0.25)
        if fleet.first.versions.base("llm") == "v2":
            return
    raise AssertionError("the base version has not changed")


def test_stream_goes_on_elsewhere_right_after_a_change_of_the_base(fleet):
    """Guards against take-ups refused by hosts with the row of before."""
    replace_version(fleet)
    assert fleet.second.versions.base("llm") == "v1"

    assert fleet.first.begin("s1", "v2")

    assert fleet.second.take_up("s1") == "v2"


def test_stream_of_the_base_of_before_is_not_taken_for_one_of_the_new(fleet):
    """Guards against joined streams after a release that is taken back."""
    replace_version(fleet)
    fleet.register(d_1="v1", d_2="v2")
    assert fleet.second.begin("s1", "v1")
    fleet.step(15.0)

    assert fleet.first.take_up("s1") in ("v1", "stream-version-unknown")


def test_streams_are_of_the_new_base_once_no_other_can_be_taken_up(fleet):
    """Guards against records that are written for ever after a release."""
    replace_version(fleet)
    fleet.step(LIFETIME_S + 30.0)

    assert not fleet.first.versions.needs_record("llm", "v2")
    assert fleet.second.take_up("unrecorded") == "v2"


@pytest.mark.parametrize(
    ("held", "expected"),
    [(set(), "stream-version-unknown"), ({"v2"}, "v2")],
)
def test_lookup_after_a_restoration_is_not_judged_by_the_row_of_before(
    fleet, held, expected
):
    """Guards against joined streams whose records a restoration has lost."""
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    assert fleet.second.begin("s1", "v2")
    fleet.holders.held["part"] = held

    fleet.restore()

    assert fleet.first.take_up("s1", "part") == expected


def test_streams_go_on_by_their_records_after_a_restoration(fleet):
    """Guards against take-ups that are all refused after a restoration."""
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    assert fleet.second.begin("s1", "v2")
    fleet.restore()
    fleet.step(1.0)

    assert fleet.first.take_up("s1") == "v2"


def begin_at_new_version(fleet):
    """Begins a stream at v2, of which the first host hasn't heard."""
    fleet.second.register(d_1="v1", d_2="v2")
    fleet.step(7.0, [fleet.second])
    assert fleet.second.begin("s1", "v2")


def test_host_that_was_out_of_step_looks_a_stream_up(fleet):
    """Guards against joined streams at a host that stood still."""
    begin_at_new_version(fleet)
    fleet.first.register(d_1="v1", d_2="v2")

    assert fleet.first.take_up("s1") == "v2"


def test_host_that_is_out_of_step_waits_for_the_engines(fleet):
    """Guards against a stream that goes on at the only version known."""
    begin_at_new_version(fleet)

    assert fleet.first.take_up("s1") == "stream-version-unknown"


@pytest.mark.parametrize(
    ("held", "expected"),
    [(set(), "stream-version-unknown"), ({"v1"}, "v1")],
)
def test_host_cut_off_from_store_and_others_asks_the_engines(
    fleet, held, expected
):
    """Guards against joined streams at a host that sees nothing new."""
    begin_at_new_version(fleet)
    fleet.holders.held["part"] = held
    fleet.first.is_cut_off = True

    assert fleet.first.take_up("s1", "part") == expected


def test_streams_of_one_version_go_on_while_the_store_is_away(fleet):
    """Guards against take-ups refused for a store that is down for all."""
    fleet.table.is_failing = True
    fleet.step(30.0)

    assert fleet.first.take_up("s1") == "v1"


def test_take_ups_do_not_each_wait_for_a_store_that_is_away(fleet):
    """Guards against take-ups that time out one after the other."""
    fleet.table.is_failing = True
    assert fleet.first.take_up("s1") == "v1"
    fleet.first.versions.refresh = lambda service: pytest.fail("asked again")

    assert fleet.first.take_up("s2") == "v1"


def test_version_that_was_seen_for_a_moment_is_looked_up(fleet):
    """Guards against trust in a row that was never read again."""
    fleet.second.is_cut_off = True
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    assert fleet.first.begin("s1", "v2")
    fleet.register(d_1="v1")
    fleet.step(1.0)

    assert fleet.second.take_up("s1") == "stream-version-unknown"


def test_host_that_stood_still_records_its_streams(fleet):
    """Guards against unrecorded streams under a row of long ago."""
    fleet.second.register(d_1="v1", d_2="v2")
    fleet.step(2.0, [fleet.second])
    fleet.second.register(d_2="v2")
    fleet.step(120.0, [fleet.second])
    assert fleet.second.versions.base("llm") == "v2"
    fleet.second.register(d_1="v1", d_2="v2")
    fleet.step(2.0, [fleet.second])

    assert fleet.first.begin("s1", "v1")

    assert fleet.second.take_up("s1") == "v1"


def test_host_that_stood_still_does_not_change_the_base(fleet):
    """Guards against a version that counts as absent and is back."""
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    fleet.register(d_2="v2")
    fleet.step(1.0)
    fleet.second.register(d_1="v1", d_2="v2")
    fleet.step(LIFETIME_S + 5.0, [fleet.second])

    fleet.first.versions.check()

    assert fleet.table.rows["llm"][0].base == "v1"


def test_streams_begin_at_the_base_while_the_store_is_away_for_long(fleet):
    """Guards against a store whose failure ends all streams of a service."""
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(2.0)
    fleet.table.is_failing = True
    fleet.step(service_versions.MAX_COPY_AGE_S + 5.0)

    assert fleet.first.begin("s1", "v1")
    assert fleet.first.begin("s2", "v1")
    assert not fleet.first.begin("s3", "v2")
