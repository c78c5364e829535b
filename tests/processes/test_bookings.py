"""Tests that a booking is executed once when answers or hosts are lost."""

from __future__ import annotations

import json

import pytest

from tests.processes import support

OUTCOME_UNKNOWN = 5005
IN_PROGRESS = 5004
BOOKING_DELAY_SECONDS = 3


def fault_instances(fleet, **faults):
    for address in support.upstream_addresses(fleet, "plain"):
        fleet.set_faults(address, **faults)


@pytest.mark.matrix(
    invariant=7,
    fault="kill upstream",
    step="booking ran",
    fails_without="check of the claim's row",
)
@pytest.mark.matrix(
    invariant=6, fault="kill upstream", step="booking ran", fails_without=""
)
def test_booking_without_an_answer_may_have_run_and_is_not_resent(
    shared_fleet,
):
    fleet = shared_fleet
    caller = support.Caller(fleet)
    fault_instances(fleet, die_before_answer=1)
    first = caller.book("regina-1", "b-unanswered")
    fault_instances(fleet, die_before_answer=0)

    resent = [caller.book(host, "b-unanswered") for host in support.HOSTS]

    executions = {support.refusal(answer)[1] for answer in [first, *resent]}
    assert executions == {"may have run"}
    assert support.count_executions(fleet, "b-unanswered") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="store answer lost after the write",
    step="claim",
    fails_without="check of the claim's row",
)
def test_booking_is_executed_once_if_the_answer_to_its_claim_is_lost(
    shared_fleet,
):
    fleet = shared_fleet
    caller = support.Caller(fleet)
    # Many answers are lost, since a single lost answer could belong to the
    # renewal of a session instead of the claim.
    fleet.set_faults(fleet.tables, lose_answers=1000)
    first = caller.book("regina-1", "b-lost-claim")
    fleet.set_faults(fleet.tables, lose_answers=0)

    resent = [caller.book(host, "b-lost-claim") for host in support.HOSTS]

    assert first.status == 201, first.data
    assert [answer.status for answer in resent] == [201] * 3
    assert {answer.data for answer in resent} == {first.data}
    assert support.count_executions(fleet, "b-lost-claim") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="concurrent resends",
    step="claim",
    fails_without="check of the claim's row",
)
def test_concurrent_bookings_with_one_key_are_executed_once(shared_fleet):
    fleet = shared_fleet
    caller = support.Caller(fleet)
    fault_instances(fleet, delay=0.5)

    answers = support.run_concurrently(
        [
            lambda host=host: caller.book(host, "b-many")
            for host in support.HOSTS * 4
        ]
    )
    fault_instances(fleet, delay=0)

    assert 201 in [answer.status for answer in answers]
    for answer in answers:
        if answer.status != 201:
            refusal = support.refusal(answer)
            assert refusal == (IN_PROGRESS, "may have run")
    assert support.count_executions(fleet, "b-many") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="kill entry host",
    step="booking sent",
    fails_without="check of the claim's row",
)
def test_booking_of_a_killed_entry_host_is_not_resent(running_fleet):
    fleet = running_fleet
    caller = support.Caller(fleet)
    fault_instances(fleet, delay=BOOKING_DELAY_SECONDS)
    cut = support.spawn(book_or_none, caller, "regina-1", "b-cut")
    fleet.wait_until(
        lambda: support.count_executions(fleet, "b-cut") == 1,
        "the booking did not run",
    )
    fleet.processes["regina-1"].kill()
    assert cut.get() is None

    def is_attempt_ended():
        code, execution = support.refusal(caller.book("regina-2", "b-cut"))
        assert execution == "may have run"
        assert code in (IN_PROGRESS, OUTCOME_UNKNOWN)
        return code == OUTCOME_UNKNOWN

    fleet.wait_until(is_attempt_ended, "the attempt is not reported as ended")
    last = json.loads(caller.book("saskatoon-1", "b-cut").data)
    assert last["execution"] == "may have run"
    assert support.count_executions(fleet, "b-cut") == 1


def book_or_none(caller, host, booking):
    """Returns the response, or None if the connection failed."""
    try:
        return caller.book(host, booking)
    except support.HTTPError:
        return None
