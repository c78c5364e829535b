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
