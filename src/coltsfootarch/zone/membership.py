"""Heartbeats and probes between the hosts of an availability zone."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import gevent.pool

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.zone import homes
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch import clock
    from coltsfootarch.protocol import network
    from coltsfootarch.zone import directory
    from coltsfootarch.zone import records

FORGET_SECONDS = 60.0
RECENT_SECONDS = 10.0


class Peer:
    """A host of this zone, as heard.

    Attributes:
        sender: The host.
        seen_at: When any message of it was received.
        heard_at: When it was heard with a valid session.
        stopping: Whether it is shutting down.
    """

    def __init__(self, sender: messages.Sender) -> None:
        self.sender = sender
        self.seen_at = -math.inf
        self.heard_at = -math.inf
        self.stopping = False


class Membership:
    """Sends heartbeats to zone peers and knows which ones were heard.

    Each host sends to its successors on a ring ordered by the hash of names.

    Args:
        sender: This host.
        network: Network between hosts.
        directory: The directory, which names the zone's hosts.
        clock: Source of time.
        seeds: Returns addresses that may be hosts; used while no zone peer is
            known.

    Attributes:
        acked_at: When the last acknowledged heartbeat to a zone peer was sent.
        heartbeats: Heartbeats sent.
        acks: Heartbeats acknowledged.
    """

    def __init__(
        self,
        sender: messages.Sender,
        network: network.PeerNetwork,
        directory: directory.Directory,
        clock: clock.Clock,
        seeds: Callable[[], Sequence[str]],
    ) -> None:
        self.sender = sender
        self.network = network
        self.directory = directory
        self.clock = clock
        self.seeds = seeds
        self.peers: dict[tuple[str, int], Peer] = {}
        self.acked_at = -math.inf
        self.heartbeats = 0
        self.acks = 0
        self.rounds = 0
        self.ring_names: frozenset[str] = frozenset()
        self.ring_order: list[str] = []

    def peer_of(self, sender: messages.Sender) -> Peer:
        """Returns the entry of a zone peer, a new one if there is none."""
        key = (sender.host, sender.incarnation)
        peer = self.peers.get(key)
        if peer is None:
            peer = self.peers[key] = Peer(sender)
        return peer

    def note_heartbeat(
        self, sender: messages.Sender, heartbeat: messages.Heartbeat
    ) -> None:
        """Records who was heard."""
        self.directory.observe(heartbeat.heads)
        if sender.availability_zone != self.sender.availability_zone:
            return
        now = self.clock.monotonic()
        peer = self.peer_of(sender)
        peer.seen_at = now
        peer.stopping = heartbeat.stopping
        if heartbeat.session_valid:
            peer.heard_at = now

    def heard_age(self, host: str, incarnation: int) -> float:
        """Returns the seconds since a host was heard with a valid session."""
        peer = self.peers.get((host, incarnation))
        if peer is None:
            return math.inf
        return self.clock.monotonic() - peer.heard_at

    def stopping_hosts(self) -> set[str]:
        """Returns the zone peers that are shutting down."""
        return {
            peer.sender.host for peer in self.peers.values() if peer.stopping
        }

    def peers_agree(self, now: float) -> bool:
        """Returns whether this host may extend its session itself.

        It may if a zone peer acknowledged a heartbeat, or if no zone peer is
        known to be alive.
        """
        if now - self.acked_at <= timing.ACK_WINDOW:
            return True
        return all(
            now - peer.seen_at > timing.ALIVE_WINDOW
            for peer in self.peers.values()
        )

    def zone_peers(self) -> dict[str, messages.Sender]:
        """Returns the other hosts of the zone, read or seen recently."""
        found = {
            record.host: messages.Sender(
                record.host,
                record.incarnation,
                record.availability_zone,
                record.address,
            )
            for record in self.directory.own_view.sessions.values()
        }
        oldest = self.clock.monotonic() - RECENT_SECONDS
        for peer in self.peers.values():
            if peer.seen_at >= oldest:
                found[peer.sender.host] = peer.sender
        found.pop(self.sender.host, None)
        return found

    def ring(self) -> list[str]:
        """Returns the zone's hosts in ring order, this one first."""
        names = frozenset([*self.zone_peers(), self.sender.host])
        if names != self.ring_names:
            ordered = sorted(names, key=lambda name: homes.weigh("ring", name))
            start = ordered.index(self.sender.host)
            self.ring_names = names
            self.ring_order = ordered[start:] + ordered[:start]
        return self.ring_order

    def successors(self) -> list[str]:
        """Returns the hosts that this host sends its heartbeats to."""
        return self.ring()[1 : timing.HEARTBEAT_PEERS + 1]

    def predecessors(self) -> list[records.SessionRecord]:
        """Returns the sessions of the peers that send to this host."""
        senders = self.ring()[1:][-timing.HEARTBEAT_PEERS :]
        sessions = self.directory.own_view.sessions
        return [sessions[host] for host in senders if host in sessions]

    def send_heartbeats(self, heartbeat: messages.Heartbeat) -> None:
        """Sends a heartbeat to the ring's successors and awaits the answers."""
        self.forget_peers()
        targets = self.targets()
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        for address in targets:
            pool.spawn(self.send_heartbeat, address, heartbeat, True)
        for address in [] if targets else self.next_seeds():
            pool.spawn(self.send_heartbeat, address, heartbeat, False)
        pool.join()

    def targets(self) -> list[str]:
        """Returns the addresses of the ring's successors.

        While none of them acknowledges, such as after the loss of a rack in a
        store outage, peers that were seen to be alive are added.
        """
        peers = self.zone_peers()
        hosts = self.successors()
        now = self.clock.monotonic()
        if now - self.acked_at > timing.HEARTBEAT_INTERVAL:
            seen = [
                peer.sender.host
                for peer in self.peers.values()
                if now - peer.seen_at <= timing.ALIVE_WINDOW
            ]
            hosts = hosts + sorted(set(seen) - set(hosts))
            hosts = hosts[: 2 * timing.HEARTBEAT_PEERS]
        return [peers[host].address for host in hosts if host in peers]

    def send_heartbeat(
        self, address: str, heartbeat: messages.Heartbeat, zone_peer: bool
    ) -> None:
        """Sends one heartbeat; acknowledgements count from when it was sent."""
        sent = self.clock.monotonic()
        self.heartbeats += 1
        try:
            answer = self.network.request(
                address, heartbeat, timing.HEARTBEAT_TIMEOUT
            )
        except errors.PeerError:
            return
        if not isinstance(answer, messages.HeartbeatAck):
            return
        self.acks += 1
        self.directory.observe(answer.heads)
        if zone_peer:
            self.acked_at = max(self.acked_at, sent)

    def next_seeds(self) -> list[str]:
        """Returns the next few seed addresses, in turn."""
        seeds = [seed for seed in self.seeds() if seed != self.sender.address]
        if not seeds:
            return []
        count = min(timing.HEARTBEAT_PEERS, len(seeds))
        start = self.rounds * count
        self.rounds += 1
        return [seeds[(start + i) % len(seeds)] for i in range(count)]

    def forget_peers(self) -> None:
        """Removes peers that were not seen for a long time."""
        oldest = self.clock.monotonic() - FORGET_SECONDS
        for key, peer in list(self.peers.items()):
            if peer.seen_at < oldest:
                del self.peers[key]

    def probe(self, sender: messages.Sender) -> bool:
        """Asks a zone peer on a new connection whether it may use its shards.

        An answer counts as an acknowledged heartbeat, since the way back is
        open too.

        Returns:
            Whether this incarnation answered with a valid session.
        """
        sent = self.clock.monotonic()
        try:
            answer = self.network.probe(
                sender.address, messages.Probe(), timing.PROBE_TIMEOUT
            )
        except errors.PeerError:
            return False
        if not isinstance(answer, messages.ProbeAck):
            return False
        if answer.incarnation != sender.incarnation or answer.heard_age < 0:
            return False
        self.acked_at = max(self.acked_at, sent)
        now = self.clock.monotonic()
        peer = self.peer_of(sender)
        peer.seen_at = max(peer.seen_at, now)
        peer.heard_at = max(peer.heard_at, now)
        return True

    def answer_indirect(
        self, request: messages.IndirectProbe
    ) -> messages.ProbeAck:
        """Answers how long ago a host was heard; probes it if long ago."""
        age = self.heard_age(request.host, request.incarnation)
        target = messages.Sender(
            request.host,
            request.incarnation,
            self.sender.availability_zone,
            request.address,
        )
        if age >= timing.HEARD_WINDOW and self.probe(target):
            age = 0.0
        reported = age if age < math.inf else -1.0
        return messages.ProbeAck(request.incarnation, reported)

    def heard_by_anyone(self, target: messages.Sender) -> bool:
        """Asks the host itself and all zone peers whether it was heard."""
        age = self.heard_age(target.host, target.incarnation)
        if age < timing.HEARD_WINDOW:
            return True
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        asked = [pool.spawn(self.probe, target)]
        for peer in self.zone_peers().values():
            if peer.host != target.host:
                asked.append(pool.spawn(self.heard_by, peer, target))
        pool.join()
        return any(greenlet.value for greenlet in asked)

    def heard_by(self, peer: messages.Sender, target: messages.Sender) -> bool:
        """Asks one zone peer whether another one was heard recently."""
        question = messages.IndirectProbe(
            target.host, target.incarnation, target.address
        )
        try:
            answer = self.network.probe(
                peer.address, question, timing.INDIRECT_TIMEOUT
            )
        except errors.PeerError:
            return False
        return (
            isinstance(answer, messages.ProbeAck)
            and answer.incarnation == target.incarnation
            and 0 <= answer.heard_age < timing.HEARD_WINDOW
        )
