"""Guards bookings against a second run when answers or hosts are lost."""

from __future__ import annotations

import json

import pytest

from tests.processes import support

OUTCOME_UNKNOWN = 5005
IN_PROGRESS = 5004
BOOKING_DELAY_SECONDS = 3


def fault_instances(running, **faults):
    for address in support.upstream_addresses(running, "plain"):
        running.fault(address, **faults)


@pytest.mark.matrix(
    invariant=7,
    fault="kill upstream",
    step="booking ran",
    seen_red="check of the claim's row",
)
@pytest.mark.matrix(
    invariant=6, fault="kill upstream", step="booking ran", seen_red=""
)
def test_booking_without_an_answer_may_have_run_and_is_not_sent_again(
    shared_fleet,
):
    running = shared_fleet
    caller = support.Caller(running)
    fault_instances(running, die_before_answer=1)
    first = caller.book("regina-1", "b-unanswered")
    fault_instances(running, die_before_answer=0)

    again = [caller.book(host, "b-unanswered") for host in support.HOSTS]

    executions = {support.refusal(answer)[1] for answer in [first, *again]}
    assert executions == {"may have run"}
    assert support.runs(running, "b-unanswered") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="store answer lost after the write",
    step="claim",
    seen_red="check of the claim's row",
)
def test_booking_whose_claim_answer_is_lost_runs_once(shared_fleet):
    running = shared_fleet
    caller = support.Caller(running)
    # Sessions are renewed meanwhile, so that one lost answer could miss the
    # claim.
    running.fault(running.tables, lose_answers=1000)
    first = caller.book("regina-1", "b-lost-claim")
    running.fault(running.tables, lose_answers=0)

    again = [caller.book(host, "b-lost-claim") for host in support.HOSTS]

    assert first.status == 201, first.data
    assert [answer.status for answer in again] == [201] * 3
    assert {answer.data for answer in again} == {first.data}
    assert support.runs(running, "b-lost-claim") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="concurrent resends",
    step="claim",
    seen_red="check of the claim's row",
)
def test_concurrent_bookings_with_one_key_run_once(shared_fleet):
    running = shared_fleet
    caller = support.Caller(running)
    fault_instances(running, delay=0.5)

    answers = support.together(
        [
            lambda host=host: caller.book(host, "b-many")
            for host in support.HOSTS * 4
        ]
    )
    fault_instances(running, delay=0)

    assert 201 in [answer.status for answer in answers]
    for answer in answers:
        if answer.status != 201:
            refusal = support.refusal(answer)
            assert refusal == (IN_PROGRESS, "may have run")
    assert support.runs(running, "b-many") == 1


@pytest.mark.matrix(
    invariant=7,
    fault="kill entry host",
    step="booking sent",
    seen_red="check of the claim's row",
)
def test_booking_of_a_killed_entry_host_is_not_sent_again(running_fleet):
    running = running_fleet
    caller = support.Caller(running)
    fault_instances(running, delay=BOOKING_DELAY_SECONDS)
    cut = support.spawn(try_to_book, caller, "regina-1", "b-cut")
    running.wait_until(
        lambda: support.runs(running, "b-cut") == 1, "the booking did not run"
    )
    running.processes["regina-1"].kill()
    assert cut.get() is None

    def resend_until_the_host_is_gone():
        code, execution = support.refusal(caller.book("regina-2", "b-cut"))
        assert execution == "may have run"
        assert code in (IN_PROGRESS, OUTCOME_UNKNOWN)
        return code == OUTCOME_UNKNOWN

    running.wait_until(
        resend_until_the_host_is_gone, "the attempt never counts as ended"
    )
    last = json.loads(caller.book("saskatoon-1", "b-cut").data)
    assert last["execution"] == "may have run"
    assert support.runs(running, "b-cut") == 1


def try_to_book(caller, host, booking):
    """Returns the answer, or None if the connection broke."""
    try:
        return caller.book(host, booking)
    except support.HTTPError:
        return None
