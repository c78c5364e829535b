"""Steps whole fleets without network: sums, limits, faults and their end."""

from __future__ import annotations

import collections
import logging

import pytest
import structlog

from coltsfootarch.fleet import followers
from coltsfootarch.fleet import policy
from tests.fakes import stepped_fleet
from tests.fleet import builders

SETTLED_S = 14.0
# The users' time until a fleet that lost hosts serves again.
RECOVERY_S = 12.0
# What users allow a host for control, in bytes a second sent or received.
MAX_BYTES_PER_S = 5000


@pytest.fixture(autouse=True)
def quiet_log():
    """Hundreds of hosts log each other."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield
    structlog.reset_defaults()


def settled(count, **arguments):
    fleet = stepped_fleet.SteppedFleet(count, **arguments)
    fleet.run(SETTLED_S)
    return fleet


def add_loads(fleet, engines=40):
    for number, host in enumerate(fleet.running()):
        host.loads.add(f"decode-{number % engines:02}", 5000)


def seen_tokens(host):
    return sum(load.tokens for load in host.loads.total.values())


def assert_whole(fleet):
    """Each host counts the load of each running host once."""
    running = fleet.running()
    expected = sum(
        load.tokens for host in running for load in host.loads.own.values()
    )
    wrong = {
        host.name: seen_tokens(host)
        for host in running
        if seen_tokens(host) != expected
    }
    assert not wrong, f"expected {expected}"


def rates(fleet, seconds=10.0):
    """Returns messages and bytes a second and host."""
    messages, sent = fleet.messages, fleet.bytes
    fleet.run(seconds)
    divisor = seconds * len(fleet.hosts)
    return (
        (fleet.messages - messages) / divisor,
        (fleet.bytes - sent) / divisor,
    )


def test_host_of_a_small_fleet_does_not_pay_for_relays():
    fleet = settled(7)
    add_loads(fleet)

    messages, _ = rates(fleet)

    assert_whole(fleet)
    assert not fleet.relaying()
    assert messages == pytest.approx(60, rel=0.02)


def test_messages_and_bytes_of_a_host_do_not_grow_with_the_fleet():
    """The costs at 300 hosts are at most 1.3 times those at 30."""
    figures = {}
    for count in (30, 300):
        fleet = settled(count)
        add_loads(fleet, engines=15)
        figures[count] = rates(fleet, 5.0)
        assert_whole(fleet)

    assert figures[300][0] <= 1.3 * figures[30][0]
    assert figures[300][1] <= 1.3 * figures[30][1]


def test_fleet_of_380_hosts_stays_within_the_budget():
    fleet = settled(380)
    reads = fleet.policy_reads
    add_loads(fleet)

    _, sent = rates(fleet, 4.0)

    assert_whole(fleet)
    assert {host.directory.share() for host in fleet.hosts} == {1.0}
    assert {host.directory.count() for host in fleet.hosts} == {380}
    assert sent <= MAX_BYTES_PER_S
    assert (fleet.policy_reads - reads) / 380 / 4.0 <= 0.1


def test_load_reaches_all_hosts_within_a_second():
    fleet = settled(62)
    fleet.hosts[0].loads.add("decode-00", 700)

    fleet.run(1.0)

    assert_whole(fleet)


def test_lost_messages_lose_no_state():
    fleet = settled(62)
    fleet.delivered = lambda sender, receiver: fleet.generator.random() > 0.2
    add_loads(fleet)
    fleet.run(10.0)
    fleet.delivered = lambda sender, receiver: True

    fleet.run(5.0)

    assert_whole(fleet)
    assert {host.directory.share() for host in fleet.hosts} == {1.0}


def test_full_link_of_a_relay_takes_it_from_no_member():
    """A link takes the first 14 datagrams that a host sends in a step."""
    fleet = settled(73, zones=("a", "b", "c", "d"))
    add_loads(fleet)
    relays = {
        host.name: host.exchange.relayed.choice.relay for host in fleet.hosts
    }
    sent = collections.Counter()

    def is_delivered(sender, receiver):
        key = (fleet.elapsed, sender.name)
        sent[key] += 1
        return sent[key] <= 14

    fleet.delivered = is_delivered
    for _ in range(20):
        fleet.run(0.5)
        assert relays == {
            host.name: host.exchange.relayed.choice.relay
            for host in fleet.hosts
        }
    assert max(sent.values()) > 14


@pytest.mark.parametrize("count", [7, 62])
def test_breaks_of_a_request_are_known_to_all_hosts_and_after_restarts(count):
    """Guards against hosts that send a request which others refuse already."""
    fleet = settled(count)
    for number in range(3):
        fleet.hosts[number].break_counts.record("digest", f"i-{number}@1")
        for other in range(30):
            fleet.hosts[number].break_counts.record(f"other-{number}-{other}")
    fleet.run(1.0)
    assert all(host.break_counts.is_refused("digest") for host in fleet.hosts)

    fleet.run(5.0)
    for host in fleet.hosts[:3]:
        fleet.restart(host)
    # Users allow the time in which a machine counts as in touch again.
    fleet.run(3.0)

    assert all(host.break_counts.is_refused("digest") for host in fleet.hosts)


def test_breaks_before_a_separation_ends_are_known_after_it():
    fleet = settled(7)
    cut = set(fleet.hosts[:3])
    fleet.delivered = lambda sender, receiver: (
        (sender in cut) == (receiver in cut)
    )
    fleet.run(2.0)
    for number in range(3):
        fleet.hosts[0].break_counts.record("digest", f"i-{number}@1")
    fleet.run(8.0)
    fleet.delivered = lambda sender, receiver: True

    fleet.run(3.0)

    assert all(host.break_counts.is_refused("digest") for host in fleet.hosts)


def test_parts_of_a_separated_fleet_use_parts_of_a_limit():
    fleet = settled(60)
    add_loads(fleet)
    fleet.delivered = lambda sender, receiver: (
        (sender.zone == "a") == (receiver.zone == "a")
    )
    fleet.store_reachable = lambda host: host.zone != "a"

    fleet.run(4.0)
    inside = {h.directory.share() for h in fleet.hosts if h.zone == "a"}
    outside = {h.directory.share() for h in fleet.hosts if h.zone != "a"}
    assert max(inside) + max(outside) <= 1.0
    assert max(inside) == pytest.approx(10 / 60)

    fleet.delivered = lambda sender, receiver: True
    fleet.run(6.0)
    assert_whole(fleet)
    assert {host.directory.share() for host in fleet.hosts} == {1.0}


def test_isolated_host_does_not_take_the_whole_limit():
    fleet = settled(60)
    alone = next(
        h for h in fleet.hosts if not h.exchange.relayed.choice.relaying
    )
    fleet.delivered = lambda sender, receiver: alone not in (sender, receiver)

    fleet.run(20.0)

    assert alone.directory.share() == pytest.approx(1 / 60)


@pytest.mark.parametrize("again", [False, True])
def test_relays_that_die_together_are_replaced(again):
    """All relays of a zone are killed, and those that replace them as well."""
    fleet = settled(90)
    add_loads(fleet)
    fleet.run(1.0)
    for _ in range(2 if again else 1):
        for host in fleet.relaying():
            host.running = host.zone != "a"
        fleet.run(3.0)

    fleet.run(RECOVERY_S - 3.0)

    assert any(host.zone == "a" for host in fleet.relaying())
    assert_whole(fleet)


def test_survivors_of_most_hosts_find_each_other():
    """80% of the hosts are killed at once and started again."""
    fleet = settled(100)
    killed = [host for number, host in enumerate(fleet.hosts) if number % 5]
    for host in killed:
        host.running = False
    add_loads(fleet)
    fleet.run(RECOVERY_S)
    assert_whole(fleet)
    shares = {host.directory.share() for host in fleet.running()}
    assert max(shares) <= 0.21

    for host in killed:
        fleet.restart(host)
    fleet.run(RECOVERY_S)
    assert_whole(fleet)
    assert {host.directory.reached() for host in fleet.hosts} == {100}


def test_hosts_restarted_in_turn_do_not_bring_back_state():
    fleet = settled(30)
    add_loads(fleet)
    for host in list(fleet.hosts):
        fleet.restart(host)
        fleet.run(0.5)

    fleet.run(6.0)

    assert_whole(fleet)
    assert max(seen_tokens(host) for host in fleet.hosts) == 0


def test_messages_that_pass_one_way_only_do_not_stop_the_exchange():
    """A member hears its relay, which doesn't hear the member."""
    fleet = settled(60)
    member = next(h for h in fleet.hosts if h.exchange.relayed.choice.relay)
    relay = member.exchange.relayed.choice.relay
    fleet.delivered = lambda sender, receiver: (
        (sender, receiver.name) != (member, relay)
    )
    add_loads(fleet)

    fleet.run(6.0)

    assert member.exchange.relayed.choice.relay != relay
    assert_whole(fleet)


def test_resumed_host_drops_what_its_socket_kept():
    """It must not take an old confirmation or load for a recent one."""
    fleet = settled(30)
    member = next(h for h in fleet.hosts if h.exchange.relayed.choice.relay)
    kept = []
    fleet.delivered = lambda sender, receiver: receiver is not member
    relay = next(
        h for h in fleet.hosts if h.name == member.exchange.relayed.choice.relay
    )
    original = fleet.send

    def send(sender, data, address):
        original(sender, data, address)
        if address == member.record.address and sender is relay:
            kept.append(data)

    fleet.send = send
    member.running = False
    fleet.run(0.6)
    confirmed_at = member.tracker.confirmed_at
    fleet.run(5.0)
    assert kept

    for data in kept:
        member.exchange.receive(data, relay.record.address)

    assert member.exchange.counts.dropped["late"] == len(kept)
    assert member.tracker.confirmed_at == confirmed_at


def test_no_host_confirms_a_version_after_it_was_replaced():
    """Withdrawn keys stop in time while some hosts don't reach the store.

    A confirmation that is passed on must not count from its arrival.
    """
    fleet = settled(62)
    cut = {h.name for number, h in enumerate(fleet.hosts) if number % 3 == 0}
    fleet.store_reachable = lambda host: host.name not in cut
    # Slow links: messages wait for up to a second.
    fleet.delivered = lambda sender, receiver: fleet.generator.random() > 0.3
    fleet.run(3.0)
    old = fleet.policy.version
    fleet.policy = builders.make_policy(old + 1)
    changed_at = fleet.elapsed

    for _ in range(100):
        fleet.step()
        for host in fleet.hosts:
            if host.tracker.version() == old:
                confirmed = host.tracker.confirmed_at - host.clock.offset_s
                assert confirmed - 1000.0 <= changed_at + 0.01

    behind = {h.name for h in fleet.hosts if h.tracker.version() == old}
    assert behind <= cut
    assert all(
        host.tracker.age() > 4.5 for host in fleet.hosts if host.name in behind
    )


def test_members_use_the_confirmations_of_relays():
    fleet = settled(62)
    reads = fleet.policy_reads
    ages = []
    for _ in range(200):
        fleet.step()
        ages.extend(host.tracker.age() for host in fleet.hosts)

    assert max(ages) <= followers.MAX_PASSED_AGE_S + 1.0
    assert (fleet.policy_reads - reads) / 62 / 10.0 <= 0.1


class EarlierHost(stepped_fleet.Host):
    """A host of the build before relays: it only knows direct reports."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.directory.is_large = lambda: False
        self.exchange.relayed.receive = lambda data, address: None
        self.exchange.interval = lambda: 0.5


def test_builds_side_by_side_count_each_load_once():
    """A rolling upgrade from direct reports to relays, and back."""
    fleet = stepped_fleet.SteppedFleet(36)
    earlier = []
    for number in range(0, 36, 2):
        old = fleet.hosts[number]
        new = EarlierHost(fleet, number, old.zone)
        fleet.hosts[number] = new
        fleet.by_address[new.record.address] = new
        earlier.append(new)
    add_loads(fleet)

    fleet.run(SETTLED_S)

    assert_whole(fleet)
    assert {host.directory.share() for host in fleet.hosts} == {1.0}
    assert not any(host in earlier for host in fleet.relaying())
    for host in earlier:
        for upstream, load in host.loads.own.items():
            fleet.restart(host).loads.add(upstream, load.tokens)
        fleet.run(0.5)
    fleet.run(6.0)
    assert_whole(fleet)
    assert all(
        host.exchange.relayed.choice.relay
        or host.exchange.relayed.choice.relaying
        for host in fleet.hosts
    )


def account(rate):
    return policy.ClientAccount("acme", frozenset(), rate, 2 * rate, None, 100)


def admitted_share(count, demand, exchange):
    """Returns tokens admitted over the limit of an account, in 20 s.

    Args:
        count: Number of hosts.
        demand: Tokens that are asked for, as a multiple of the limit.
        exchange: "relays", "mesh" or "split".
    """
    fleet = stepped_fleet.SteppedFleet(count)
    rate = 400.0 * count
    fleet.accounts["acme"] = account(rate)
    if exchange == "mesh":
        for host in fleet.hosts:
            host.directory.is_large = lambda: False
    if exchange == "split":
        fleet.delivered = lambda sender, receiver: False
        for host in fleet.hosts:
            host.buckets.reachable_fraction = lambda: 1 / count
    fleet.run(SETTLED_S)
    admitted = asked = 0
    per_step = rate * demand * stepped_fleet.STEP_S / 500
    owed = 0.0
    for _ in range(400):
        fleet.step()
        owed += per_step
        while owed >= 1:
            owed -= 1
            # Callers are spread unevenly: a third of the hosts take half.
            number = fleet.generator.randrange(count)
            if fleet.generator.random() < 0.25:
                number = number // 3
            host = fleet.hosts[number]
            asked += 500
            if host.buckets.admit(fleet.accounts["acme"], 500) == 0.0:
                admitted += 500
    limit = rate * 20.0 + 2 * rate
    return admitted / limit, admitted / asked


@pytest.mark.parametrize("count", [7, 62])
def test_rate_limit_holds_and_is_used(count):
    """Users allow a tenth above the limit; below it nothing is refused."""
    over, _ = admitted_share(count, 2.0, "relays")
    _, below = admitted_share(count, 0.8, "relays")

    assert over <= 1.1
    assert below >= 0.98


# Limit of a large account of the users' large site, and what they allow.
LARGE_RATE = 80_000.0
LARGE_BURST = 180_000.0
REQUEST_TOKENS = 5_200
WINDOW_S = 8.0
SLACK_TOKENS = 120_000


def test_isolated_hosts_do_not_exceed_a_limit_while_one_account_bursts():
    """A third of the hosts is cut off as an account sends three times its rate.

    Before they notice, each of them admits as if the others admitted nothing.
    Users allow a tenth and a fixed number of tokens above rate and burst.
    """
    fleet = stepped_fleet.SteppedFleet(195)
    large = policy.ClientAccount(
        "acme", frozenset(), LARGE_RATE, LARGE_BURST, None, 100
    )
    fleet.accounts["acme"] = large
    fleet.run(SETTLED_S)
    cut = {
        host.name for number, host in enumerate(fleet.hosts) if not number % 3
    }
    fleet.delivered = lambda sender, receiver: (
        sender.name not in cut and receiver.name not in cut
    )
    admitted = 0
    owed = 0.0
    for _ in range(round(WINDOW_S / stepped_fleet.STEP_S)):
        fleet.step()
        owed += LARGE_RATE * 3.3 * stepped_fleet.STEP_S / REQUEST_TOKENS
        while owed >= 1:
            owed -= 1
            host = fleet.generator.choice(fleet.hosts)
            if host.buckets.admit(large, REQUEST_TOKENS) == 0.0:
                admitted += REQUEST_TOKENS

    allowed = (LARGE_RATE * WINDOW_S + LARGE_BURST) * 1.1 + SLACK_TOKENS
    assert admitted <= allowed
