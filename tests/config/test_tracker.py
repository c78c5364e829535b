"""Guards against hosts that miss, revert or wrongly confirm versions."""

from __future__ import annotations

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import tracker as trackers
from coltsfootarch.config import versions
from coltsfootarch.protocol import messages
from coltsfootarch.storage import tables
from tests.config import documents
from tests.config import fleets
from tests.fakes import tables as fake

SECOND_DOCUMENT = documents.small("second")


@pytest.fixture
def fleet(manual_clock):
    return fleets.Fleet(manual_clock)


def commit(fleet, document=SECOND_DOCUMENT):
    repository = fleet.repository
    return repository.commit(document, "ana", "", repository.head())


def commit_unchecked(fleet, document):
    """Commits a document that this release may refuse to parse.

    An operator with a newer release could commit such a document.
    """
    version = fleet.repository.head() + 1
    digest = versions.digest_of(document)
    stored = versions.StoredVersion(version, document, "", "", "", digest, "")
    head = versions.encode_head(version)
    fleet.client.transact(
        [],
        [
            tables.Write(
                "config",
                versions.version_key(version),
                versions.encode_version(stored),
            ),
            tables.Write("config", "head", head),
            tables.Write("heads", "config", head),
        ],
    )


def test_host_without_configuration_refuses_requests(manual_clock):
    client = fake.FakeTables().client()
    tracker = trackers.ConfigTracker(manual_clock, client)
    tracker.tick()

    assert not tracker.ensure_fresh()
    assert (tracker.version, tracker.confirmed_age()) == (0, -1.0)
    with pytest.raises(errors.RefusedError) as caught:
        _ = tracker.register
    assert caught.value.code == results.NO_CONFIGURATION


def test_new_version_is_in_force_at_the_next_poll(fleet):
    _, tracker = fleet.host()
    notified = []
    tracker.listeners.append(notified.append)
    commit(fleet)

    tracker.tick()
    assert tracker.version == 1
    fleet.pass_time(2)
    tracker.tick()

    assert tracker.version == 2
    assert notified == [tracker.register]


def test_poll_reads_one_small_row_when_nothing_changed(fleet):
    _, tracker = fleet.host()
    before = fleet.shared.reads
    fleet.pass_time(2)

    tracker.tick()

    assert fleet.shared.reads == before + 1


def test_failing_listener_does_not_stop_the_others(fleet):
    _, tracker = fleet.host()
    notified = []
    tracker.listeners += [lambda register: 1 / 0, notified.append]
    commit(fleet)

    tracker.confirm()

    assert len(notified) == 1


def test_document_that_does_not_parse_is_refused_once(fleet):
    _, tracker = fleet.host()
    commit_unchecked(fleet, "[rules]\nfrom_the_future = 1")

    assert not tracker.confirm()
    assert not tracker.confirm()
    assert (tracker.version, tracker.refused_documents) == (1, 1)

    commit(fleet)
    assert tracker.confirm()
    assert tracker.version == 3


@pytest.mark.matrix(
    invariant=10,
    fault="pause and resume",
    step="first new work after the pause",
    fails_without="confirmation before new work",
)
@pytest.mark.parametrize("source", ["table service", "zone peer"])
def test_paused_host_applies_edits_before_new_work(fleet, source):
    _, peer = fleet.host()

    def ask():
        peer.tick()
        return messages.ConfigReply(
            peer.version, peer.document, peer.confirmed_age()
        )

    client, tracker = fleet.host(ask)
    commit(fleet)
    fleet.pass_time(60)
    client.cut = source == "zone peer"

    assert tracker.ensure_fresh()
    assert tracker.version == 2


@pytest.mark.matrix(
    invariant=10,
    fault="pause and resume",
    step="peer's answer waits during the pause",
    fails_without="confirmation counts from the question",
)
@pytest.mark.parametrize("unsolicited", [True, False])
def test_answer_that_waited_during_a_pause_confirms_nothing(fleet, unsolicited):
    client, tracker = fleet.host()
    client.cut = True
    asked_at = fleet.clock.monotonic()
    fleet.pass_time(60)

    tracker.handle_peer_version(1, "", 0.1, None if unsolicited else asked_at)

    assert not tracker.is_fresh()
    assert not tracker.ensure_fresh()


@pytest.mark.matrix(
    invariant=10,
    fault="stale peer",
    step="offer",
    fails_without="version comparison",
)
@pytest.mark.parametrize("store", ["up", "down"])
def test_older_peer_version_never_reverts_a_version(fleet, store):
    first = fleet.repository.read(1).document
    commit(fleet)
    client, tracker = fleet.host()
    client.cut = store == "down"
    running = tracker.register

    assert not tracker.handle_peer_version(
        1, first, 0.0, fleet.clock.monotonic()
    )
    assert not tracker.apply(1, first)
    assert (tracker.version, tracker.register) == (2, running)


@pytest.mark.matrix(
    invariant=10,
    fault="stale peer",
    step="confirmation",
    fails_without="age of the peer's confirmation",
)
@pytest.mark.parametrize("age", [-1.0, 30.0, float("nan")])
def test_peer_without_a_recent_confirmation_confirms_nothing(fleet, age):
    client, tracker = fleet.host(lambda: messages.ConfigReply(1, "", age))
    client.cut = True
    fleet.pass_time(60)

    assert not tracker.ensure_fresh()


@pytest.mark.matrix(
    invariant=10,
    fault="zone partition",
    step="in force",
    fails_without="reading of newer heads",
)
def test_partitioned_zone_keeps_its_version_until_it_is_reconnected(fleet):
    client, tracker = fleet.host()
    client.cut = True
    commit(fleet)
    fleet.pass_time(60)

    assert not tracker.ensure_fresh()
    assert tracker.version == 1
    client.cut = False
    fleet.pass_time(2)
    tracker.tick()
    assert (tracker.version, tracker.is_fresh()) == (2, True)


@pytest.mark.matrix(
    invariant=10,
    fault="store down",
    step="start",
    fails_without="offers of peers",
)
def test_host_that_starts_without_table_service_applies_a_peers_version(fleet):
    fleet.shared.down = True
    _, tracker = fleet.host(
        lambda: messages.ConfigReply(5, SECOND_DOCUMENT, 1.0)
    )

    assert tracker.ensure_fresh()
    assert tracker.version == 5


def test_host_without_a_version_and_without_requests_asks_peers(fleet):
    fleet.shared.down = True
    _, tracker = fleet.host(
        lambda: messages.ConfigReply(5, SECOND_DOCUMENT, 1.0)
    )

    fleet.pass_time(2)
    tracker.tick()

    assert tracker.version == 5


def test_failed_confirmation_is_not_repeated_for_every_request(fleet):
    peer_requests = []
    client, tracker = fleet.host(lambda: peer_requests.append(1))
    client.cut = True
    fleet.pass_time(60)

    for _ in range(10):
        tracker.ensure_fresh()
    assert len(peer_requests) == 1
    fleet.pass_time(2)
    tracker.ensure_fresh()
    assert len(peer_requests) == 2


@pytest.mark.matrix(
    invariant=10,
    fault="pause and resume",
    step="confirmation",
    fails_without="repetition of a paused attempt",
)
def test_attempt_that_was_paused_is_repeated_at_once(fleet):
    client, tracker = fleet.host()
    fleet.pass_time(60)
    commit(fleet)
    get = client.get

    def pause_in_call(table, key):
        client.get = get
        fleet.pass_time(30)
        raise errors.TableUnavailableError

    client.get = pause_in_call

    assert tracker.ensure_fresh()
    assert tracker.version == 2
