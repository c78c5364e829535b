"""Tests that nothing is missed when the store comes back from an older copy."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import upstreams
from coltsfootarch.platform import feeds
from coltsfootarch.platform import orders
from coltsfootarch.platform import store
from standins import metadata_store
from tests.platform import documents


@pytest.fixture
def server():
    server = metadata_store.MetadataStore()
    server.start()
    yield server
    server.close()


@pytest.fixture
def client(server):
    client = store.StoreClient(server.address, clocks.SystemClock())
    yield client
    client.close()


@pytest.fixture
def follower(client):
    """A follower of the policy whose reads don't wait."""
    tracker = active_policy.PolicyTracker(client.clock)
    return followers.PolicyFollower(
        feeds.PolicyFeed(client), tracker, client.clock, wait_s=0.0
    )


@pytest.fixture
def upstream_follower(client):
    return followers.UpstreamFollower(
        feeds.UpstreamFeed(client),
        upstreams.UpstreamDirectory(client.clock),
        client.clock,
    )


def configure(server, version):
    document = documents.configuration(version=version)
    return server.put("op", "config", documents.encoded(document))


def register(server, name, **changes):
    entry = documents.registration(**changes)
    return server.put("servers", name, documents.encoded(entry))


def write_others(server, until):
    while server.revision < until:
        server.put("other", "row", b"")


def read_registrations(follower):
    """Reads the registrations now, though they were read a moment ago."""
    follower.directory.outdated = True
    follower.try_step()


def test_policy_at_a_revision_that_was_given_out_before_is_read(
    server, follower
):
    configure(server, 1)
    copied = server.revision
    write_others(server, 9)
    follower.step()

    server.restore(copied)
    configure(server, 2)
    write_others(server, 9)
    for _ in range(3):
        follower.try_step()

    assert follower.tracker.version() == 2


def test_registration_at_a_revision_that_was_given_out_before_is_read(
    server, upstream_follower
):
    register(server, "i-1")
    copied = server.revision
    write_others(server, 9)
    upstream_follower.step()

    server.restore(copied)
    register(server, "i-1", state="draining")
    write_others(server, 9)
    for _ in range(3):
        read_registrations(upstream_follower)

    assert not upstream_follower.directory.is_serving("i-1")


def test_wait_for_a_change_that_spans_a_restoration_is_not_trusted(
    server, client
):
    configure(server, 1)
    copied = server.revision
    write_others(server, 9)
    tracker = active_policy.PolicyTracker(client.clock)
    follower = followers.PolicyFollower(
        feeds.PolicyFeed(client), tracker, client.clock, wait_s=5.0
    )
    follower.start()
    try:
        with gevent.Timeout(2.0):
            while follower.waiting_since is None:
                gevent.sleep(0.01)
        server.restore(copied)
        configure(server, 2)
        write_others(server, 9)
        with gevent.Timeout(2.0):
            while tracker.version() != 2:
                gevent.sleep(0.01)
    finally:
        follower.close()


def test_table_whose_pages_span_a_restoration_is_not_used(
    server, client, monkeypatch
):
    monkeypatch.setattr(store, "ROWS_PER_CALL", 2)
    for number in range(4):
        register(server, f"i-{number}")
    fetch = client.fetch

    def restore_after_the_first_page(*arguments):
        page = fetch(*arguments)
        if server.era == 1:
            server.restore(3)
        return page

    monkeypatch.setattr(client, "fetch", restore_after_the_first_page)

    with pytest.raises(errors.TableUnavailableError):
        client.read_table("servers")


def test_answer_of_an_earlier_epoch_is_not_used(server, client):
    """Guards against a late answer of the store as it was before."""
    configure(server, 1)
    server.era = 3
    client.read_table("op")
    server.era = 2

    with pytest.raises(errors.TableUnavailableError):
        client.read_table("op")


@pytest.mark.parametrize("era", [None, "", "x", "-1", "9" * 40])
def test_store_without_a_usable_epoch_is_followed(server, follower, era):
    server.era = era
    configure(server, 1)
    follower.step()
    configure(server, 2)
    follower.step()

    assert follower.tracker.version() == 2


def test_epoch_that_is_missing_from_one_answer_does_not_change_it(
    server, client, follower
):
    configure(server, 1)
    follower.step()
    server.era = None
    configure(server, 2)
    follower.step()

    assert follower.tracker.version() == 2
    assert client.epochs.restorations == 0


@pytest.fixture
def claims(client):
    return orders.ClaimTable(client, client.clock)


def test_fence_is_not_given_out_twice(server, claims):
    """Guards against orders of two hosts with one fencing token."""
    claims.claim("llm", "h1", gap_s=0)
    copied = server.revision
    lost = claims.claim("llm", "h1", gap_s=0)

    server.restore(copied)
    given_out = [claims.claim("llm", "h2", gap_s=0) for _ in range(2)]

    assert given_out[0] is None
    assert given_out[1].fence > lost.fence


@pytest.mark.parametrize("is_older_claim_kept", [True, False])
def test_claim_that_may_have_been_lost_keeps_its_gap(
    server, claims, is_older_claim_kept
):
    """Guards against holders that take turns within the time of a lease."""
    if is_older_claim_kept:
        claims.claim("llm", "h1", gap_s=0)
    copied = server.revision
    claims.claim("llm", "h1", gap_s=0)

    server.restore(copied)

    assert claims.claim("llm", "h2", gap_s=0.2) is None
    assert claims.claim("llm", "h3", gap_s=0.2) is None
    gevent.sleep(0.25)
    assert claims.claim("llm", "h3", gap_s=0.2).holder == "h3"


def test_claim_on_a_row_of_the_lost_history_is_not_used(server, client):
    """Guards against an expected revision that another row has by now."""
    server.put(orders.CLAIM_TABLE, "llm", b"{}")
    row, _, epoch = client.read_row(orders.CLAIM_TABLE, "llm")
    server.restore(0)
    server.put(orders.CLAIM_TABLE, "llm", b"{}")

    with pytest.raises(errors.TableUnavailableError):
        client.replace_row(
            orders.CLAIM_TABLE,
            "llm",
            b"{}",
            store_epochs.Position(epoch, row.revision),
        )


def test_claims_of_a_store_without_an_epoch_are_granted(server, claims):
    server.era = None

    assert claims.claim("llm", "h1", gap_s=60).fence == 1
    assert claims.claim("llm", "h2", gap_s=60) is None
