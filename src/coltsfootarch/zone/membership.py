"""Heartbeats and probes between the hosts of one availability zone."""

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

# A peer is forgotten this long after its last message.
PEER_RETENTION_SECONDS = 60.0
# A peer without a session in the directory still counts as a zone peer for this
# long after its last message.
RECENT_PEER_SECONDS = 10.0


class Peer:
    """Another host of this zone; instants are monotonic seconds.

    Attributes:
        sender: The host.
        last_message_at: Instant of the last heartbeat or probe answer from it.
        last_contact_at: Instant of the last one sent with a valid session.
        stopping: Whether it is shutting down.
    """

    def __init__(self, sender: messages.Sender) -> None:
        self.sender = sender
        self.last_message_at = -math.inf
        self.last_contact_at = -math.inf
        self.stopping = False


class Membership:
    """Sends heartbeats to zone peers and records the last contact with each.

    Each host sends to its successors on a ring ordered by the hashes of host
    names.

    Args:
        sender: This host.
        network: Network between hosts.
        directory: The shard directory, which lists the zone's hosts.
        clock: Source of time.
        seeds: Returns addresses at which hosts may run; used while no zone
            peer is known.

    Attributes:
        peers: Zone peers by host and incarnation.
        last_acked_at: Instant at which the last acknowledged heartbeat or probe
            to a zone peer was sent.
        heartbeats: Number of heartbeats sent.
        acks: Number of heartbeats acknowledged.
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
        self.last_acked_at = -math.inf
        self.heartbeats = 0
        self.acks = 0
        self.seed_rounds = 0
        self.ring_names: frozenset[str] = frozenset()
        self.ring_order: list[str] = []

    def get_or_add_peer(self, sender: messages.Sender) -> Peer:
        """Returns the entry of a zone peer; adds one if there is none."""
        key = (sender.host, sender.incarnation)
        peer = self.peers.get(key)
        if peer is None:
            peer = self.peers[key] = Peer(sender)
        return peer

    def record_heartbeat(
        self, sender: messages.Sender, heartbeat: messages.Heartbeat
    ) -> None:
        """Records a heartbeat: its heads and the contact with a zone peer."""
        self.directory.record_heads(heartbeat.heads)
        if sender.availability_zone != self.sender.availability_zone:
            return
        now = self.clock.monotonic()
        peer = self.get_or_add_peer(sender)
        peer.last_message_at = now
        peer.stopping = heartbeat.stopping
        if heartbeat.session_valid:
            peer.last_contact_at = now

    def contact_age(self, host: str, incarnation: int) -> float:
        """Returns the seconds since the last contact with a host.

        Only messages sent with a valid session count; infinite if there was
        none.
        """
        peer = self.peers.get((host, incarnation))
        if peer is None:
            return math.inf
        return self.clock.monotonic() - peer.last_contact_at

    def stopping_hosts(self) -> set[str]:
        """Returns the zone peers that are shutting down."""
        return {
            peer.sender.host for peer in self.peers.values() if peer.stopping
        }

    def may_extend_session(self, now: float) -> bool:
        """Returns whether zone peers permit this host to extend its session.

        They do if one of them recently acknowledged a heartbeat, or if none is
        known to be alive.
        """
        if now - self.last_acked_at <= timing.ACK_WINDOW:
            return True
        return all(
            now - peer.last_message_at > timing.ALIVE_WINDOW
            for peer in self.peers.values()
        )

    def zone_peers(self) -> dict[str, messages.Sender]:
        """Returns the other hosts of the zone by name.

        They have a session in the directory or sent a message recently.
        """
        found = {
            record.host: messages.Sender(
                record.host,
                record.incarnation,
                record.availability_zone,
                record.address,
            )
            for record in self.directory.own_view.sessions.values()
        }
        oldest = self.clock.monotonic() - RECENT_PEER_SECONDS
        for peer in self.peers.values():
            if peer.last_message_at >= oldest:
                found[peer.sender.host] = peer.sender
        found.pop(self.sender.host, None)
        return found

    def ring(self) -> list[str]:
        """Returns the zone's hosts in ring order, starting with this one."""
        names = frozenset([*self.zone_peers(), self.sender.host])
        if names != self.ring_names:
            ordered = sorted(
                names, key=lambda name: homes.stable_hash("ring", name)
            )
            start = ordered.index(self.sender.host)
            self.ring_names = names
            self.ring_order = ordered[start:] + ordered[:start]
        return self.ring_order

    def successors(self) -> list[str]:
        """Returns the hosts to which this host sends heartbeats."""
        return self.ring()[1 : timing.HEARTBEAT_PEERS + 1]

    def predecessors(self) -> list[records.SessionRecord]:
        """Returns the sessions of the peers that send to this host."""
        senders = self.ring()[1:][-timing.HEARTBEAT_PEERS :]
        sessions = self.directory.own_view.sessions
        return [sessions[host] for host in senders if host in sessions]

    def send_heartbeats(self, heartbeat: messages.Heartbeat) -> None:
        """Sends a heartbeat to the successors and waits for the answers.

        While no zone peer is known, it is sent to a few seeds instead.
        """
        self.prune_peers()
        targets = self.heartbeat_targets()
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        for address in targets:
            pool.spawn(self.send_heartbeat, address, heartbeat, True)
        for address in [] if targets else self.next_seeds():
            pool.spawn(self.send_heartbeat, address, heartbeat, False)
        pool.join()

    def heartbeat_targets(self) -> list[str]:
        """Returns the addresses to which heartbeats are sent.

        While no successor acknowledges, such as after the loss of a rack during
        a store outage, other peers that are known to be alive are added.
        """
        peers = self.zone_peers()
        hosts = self.successors()
        now = self.clock.monotonic()
        if now - self.last_acked_at > timing.HEARTBEAT_INTERVAL:
            alive = [
                peer.sender.host
                for peer in self.peers.values()
                if now - peer.last_message_at <= timing.ALIVE_WINDOW
            ]
            hosts = hosts + sorted(set(alive) - set(hosts))
            hosts = hosts[: 2 * timing.HEARTBEAT_PEERS]
        return [peers[host].address for host in hosts if host in peers]

    def send_heartbeat(
        self, address: str, heartbeat: messages.Heartbeat, zone_peer: bool
    ) -> None:
        """Sends one heartbeat and records the acknowledgement.

        Args:
            address: Address ("ip:port") of the receiver.
            heartbeat: The heartbeat.
            zone_peer: Whether the receiver is a zone peer, and not a seed. Only
                then the acknowledgement permits self-extensions.
        """
        sent_at = self.clock.monotonic()
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
        self.directory.record_heads(answer.heads)
        if zone_peer:
            self.last_acked_at = max(self.last_acked_at, sent_at)

    def next_seeds(self) -> list[str]:
        """Returns the next few seed addresses in round-robin order."""
        seeds = [seed for seed in self.seeds() if seed != self.sender.address]
        if not seeds:
            return []
        count = min(timing.HEARTBEAT_PEERS, len(seeds))
        start = self.seed_rounds * count
        self.seed_rounds += 1
        return [seeds[(start + i) % len(seeds)] for i in range(count)]

    def prune_peers(self) -> None:
        """Removes peers without a message for `PEER_RETENTION_SECONDS`."""
        oldest = self.clock.monotonic() - PEER_RETENTION_SECONDS
        for key, peer in list(self.peers.items()):
            if peer.last_message_at < oldest:
                del self.peers[key]

    def probe(self, sender: messages.Sender) -> bool:
        """Asks a zone peer on a new connection whether its session is valid.

        An answer counts as an acknowledged heartbeat, since it shows that the
        network works in both directions.

        Returns:
            Whether this incarnation answered with a valid session.
        """
        sent_at = self.clock.monotonic()
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
        self.last_acked_at = max(self.last_acked_at, sent_at)
        now = self.clock.monotonic()
        peer = self.get_or_add_peer(sender)
        peer.last_message_at = max(peer.last_message_at, now)
        peer.last_contact_at = max(peer.last_contact_at, now)
        return True

    def answer_indirect_probe(
        self, request: messages.IndirectProbe
    ) -> messages.ProbeAck:
        """Answers how long ago the last contact with a host was.

        If it is not recent, the host is probed first.
        """
        age = self.contact_age(request.host, request.incarnation)
        target = messages.Sender(
            request.host,
            request.incarnation,
            self.sender.availability_zone,
            request.address,
        )
        if age >= timing.CONTACT_WINDOW and self.probe(target):
            age = 0.0
        reported = age if age < math.inf else -1.0
        return messages.ProbeAck(request.incarnation, reported)

    def has_recent_contact(self, target: messages.Sender) -> bool:
        """Returns whether any host of the zone had recent contact with a host.

        If this host itself had none, it probes the host and asks all other
        zone peers.
        """
        age = self.contact_age(target.host, target.incarnation)
        if age < timing.CONTACT_WINDOW:
            return True
        pool = gevent.pool.Pool(timing.MAX_PARALLEL_PROBES)
        asked = [pool.spawn(self.probe, target)]
        for peer in self.zone_peers().values():
            if peer.host != target.host:
                asked.append(
                    pool.spawn(self.peer_has_recent_contact, peer, target)
                )
        pool.join()
        return any(greenlet.value for greenlet in asked)

    def peer_has_recent_contact(
        self, peer: messages.Sender, target: messages.Sender
    ) -> bool:
        """Asks one zone peer whether it had recent contact with another one."""
        question = messages.IndirectProbe(
            target.host, target.incarnation, target.address
        )
        try:
            answer = self.network.probe(
                peer.address, question, timing.INDIRECT_PROBE_TIMEOUT
            )
        except errors.PeerError:
            return False
        return (
            isinstance(answer, messages.ProbeAck)
            and answer.incarnation == target.incarnation
            and 0 <= answer.heard_age < timing.CONTACT_WINDOW
        )
