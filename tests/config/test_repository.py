"""Guards against lost, repeated or reverted commits (invariant 10)."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import checker
from coltsfootarch.config import parser
from coltsfootarch.config import versions
from tests.config import documents
from tests.config import fleets


def matrix_marker(fault, step, fails_without):
    """Returns the fault matrix marker of a test or of one parameter set."""
    return pytest.mark.matrix(
        invariant=10, fault=fault, step=step, fails_without=fails_without
    )


CONCURRENT_COMMIT = matrix_marker(
    "concurrent operators", "commit", "check of the head row"
)
ANSWER_LOST = matrix_marker(
    "store answer lost after the write",
    "commit",
    "recognition of the commit id",
)
REQUEST_LOST = matrix_marker(
    "store request lost without a trace",
    "commit",
    "repetition of the same transaction",
)
ANSWER_LOST_AND_CONCURRENT = (
    "store answer lost after the write, concurrent operators"
)


@pytest.fixture
def fleet(manual_clock):
    return fleets.Fleet(manual_clock)


def test_first_commit_is_version_1_with_head_and_audit_entry(fleet):
    stored = fleet.repository.read(1)

    assert fleet.repository.head() == 1
    assert (stored.author, stored.comment) == ("ana", "start")
    entries = fleet.repository.audit.read(fleet.clock.now())
    assert [(entry.action, entry.version) for entry in entries] == [
        ("config.commit", 1)
    ]


@matrix_marker("edit of shards", "commit", "check of the edit")
def test_number_of_shards_of_a_zone_cannot_change(fleet):
    document = fleet.repository.read(1).document
    name = 'name = "regina"'
    assert name in document

    with pytest.raises(errors.ConfigurationError) as refused:
        fleet.repository.commit(
            document.replace(name, f"{name}\nshards = 16", 1), "ana", "", 1
        )

    assert refused.value.code == results.WRONG_VALUE
    assert fleet.repository.head() == 1


def test_invalid_document_is_not_committed(fleet):
    with pytest.raises(checker.InvalidDocumentError):
        fleet.repository.commit("[rules]\nx = 1", "ana", "", 1)

    assert fleet.repository.head() == 1


def test_history_lists_newest_first(fleet):
    for version in (1, 2, 3):
        fleet.repository.commit(documents.small(), "ana", "", version)

    found = [stored.version for stored in fleet.repository.history(2)]

    assert found == [4, 3]


@pytest.mark.parametrize(
    "moment",
    [
        "before the head is read",
        pytest.param("after it", marks=CONCURRENT_COMMIT),
    ],
)
def test_concurrent_commit_fails_and_names_the_first_author(fleet, moment):
    client, second_operator = fleet.operator()
    text = documents.small("of bob")

    def race(*_):
        client.before_transact = None
        fleet.repository.commit(text, "bob", "", 1)

    if moment == "after it":
        client.before_transact = race
    else:
        race()
    with pytest.raises(versions.VersionConflictError) as caught:
        second_operator.commit(documents.small("of eve"), "eve", "", 1)

    assert caught.value.code == results.VERSION_CONFLICT
    assert "version 2 by bob" in caught.value.message
    assert fleet.repository.head() == 2
    assert fleet.repository.read(2).document == text


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param("answer lost", marks=ANSWER_LOST),
        pytest.param("answer lost, read-back fails", marks=ANSWER_LOST),
        pytest.param("request lost", marks=REQUEST_LOST),
        pytest.param("request lost, then answer lost", marks=ANSWER_LOST),
    ],
)
def test_commit_with_a_lost_answer_takes_effect_once(fleet, fault):
    client, operator = fleet.operator()
    client.lose_answers = 1 if "answer" in fault else 0
    client_get = client.get

    def lose_request(*_):
        client.before_transact = None
        raise errors.TableOutcomeUnknownError

    def fail_once(table, key):
        client.get = client_get
        raise errors.TableUnavailableError

    def fail_read_back(*_):
        client.before_transact = None
        client.get = fail_once

    if "request lost" in fault:
        client.before_transact = lose_request
    elif "read-back" in fault:
        client.before_transact = fail_read_back

    stored = operator.commit(documents.small("of eve"), "eve", "", 1)

    assert stored == fleet.repository.read(2)
    assert fleet.repository.head() == 2
    assert len(fleet.client.scan("audit", "")) == 2


@pytest.mark.parametrize(
    "applied",
    [
        pytest.param(
            True,
            marks=matrix_marker(
                ANSWER_LOST_AND_CONCURRENT,
                "commit",
                "recognition of the commit id",
            ),
        ),
        pytest.param(
            False,
            marks=matrix_marker(
                ANSWER_LOST_AND_CONCURRENT, "commit", "check of the head row"
            ),
        ),
    ],
)
def test_commit_without_answer_is_distinguished_from_a_concurrent_one(
    fleet, applied
):
    client, operator = fleet.operator()
    transact = client.transact

    def lose_answer_and_race(checks, writes):
        client.transact = transact
        if applied:
            transact(checks, writes)
        other_operator = fleet.repository
        other_operator.commit(
            documents.small("rival"), "bob", "", other_operator.head()
        )
        raise errors.TableOutcomeUnknownError

    client.transact = lose_answer_and_race
    if applied:
        assert operator.commit(documents.small(), "eve", "", 1).version == 2
        assert fleet.repository.head() == 3
        return
    with pytest.raises(versions.VersionConflictError, match="2 by bob"):
        operator.commit(documents.small(), "eve", "", 1)
    assert fleet.repository.head() == 2


def test_commit_with_unknown_outcome_raises_and_names_the_commit_id(fleet):
    client, operator = fleet.operator()

    def cut(*_):
        client.cut = True
        raise errors.TableOutcomeUnknownError

    client.before_transact = cut
    with pytest.raises(errors.TableOutcomeUnknownError, match="commit id"):
        operator.commit(documents.small(), "eve", "", 1)


def test_commit_to_an_unreachable_store_is_not_applied(fleet):
    client, operator = fleet.operator()
    client.cut = True

    with pytest.raises(errors.TableUnavailableError):
        operator.commit(documents.small(), "eve", "", 1)


def status_of(fleet):
    register = parser.parse(fleet.repository.read(1).document)
    return fleet.repository.status(register)


@matrix_marker(
    "zone partition", "acceptance", "session rows hold up acceptance"
)
def test_edit_is_not_accepted_while_a_partitioned_zone_may_serve_the_old(fleet):
    fleet.renew("regina", "regina-1", 1)
    fleet.renew("brandon", "brandon-1", 1)
    fleet.repository.commit(documents.small("second"), "ana", "", 1)
    fleet.pass_time(3600)
    fleet.renew("regina", "regina-1", 2)

    before_renewal = status_of(fleet)
    fleet.renew("brandon", "brandon-1", 2)
    after_renewal = status_of(fleet)

    assert not before_renewal.accepted
    assert before_renewal.describe_waiting() == "zone brandon (hosts brandon-1)"
    assert after_renewal.accepted


def test_hosts_outside_the_register_and_damaged_rows_hold_up_acceptance(fleet):
    fleet.renew("elsewhere", "old-1", 0)
    fleet.shared.rows[("hosts", "regina/x")] = fleet.client.get(
        "config", "head"
    )._replace(table="hosts", key="regina/x", value=b"?")

    found = status_of(fleet)

    assert found.describe_waiting() == (
        "zone elsewhere (hosts old-1), zone regina (hosts x)"
    )


@pytest.mark.parametrize(
    "lost",
    [
        0,
        pytest.param(
            1,
            marks=matrix_marker(
                "store answer lost after the write",
                "forget hosts",
                "recognition of the audit entry",
            ),
        ),
    ],
)
def test_forgotten_hosts_no_longer_hold_up_acceptance(fleet, lost):
    fleet.renew("brandon", "brandon-1", 0)
    fleet.renew("brandon-2", "other", 1)
    fleet.client.lose_answers = lost

    assert fleet.repository.forget_hosts("brandon", "ana") == ["brandon-1"]

    assert status_of(fleet).accepted
    assert fleet.client.get("hosts", "brandon-2/other") is not None
    entries = fleet.repository.audit.read(
        fleet.clock.now() - datetime.timedelta(hours=1)
    )
    assert {entry.action for entry in entries} == {
        "config.commit",
        "config.forget-hosts",
    }


@matrix_marker("host still runs", "forget hosts", "check of the session rows")
def test_host_that_renews_concurrently_is_not_forgotten(fleet):
    fleet.renew("brandon", "brandon-1", 0)

    def renew(*_):
        fleet.client.before_transact = None
        fleet.renew("brandon", "brandon-1", 0)

    fleet.client.before_transact = renew
    with pytest.raises(errors.TransactionConflictError, match="still runs"):
        fleet.repository.forget_hosts("brandon", "ana")

    assert not status_of(fleet).accepted
