"""What a running host believes about its fleet, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypedDict

if TYPE_CHECKING:
    from coltsfootarch.fleet import followers
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import report_exchange
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.limits import shared_bucket


class PolicyStatus(TypedDict):
    """Policy in force.

    Attributes:
        version: Its version; -1 if there is none.
        newest_version: Newest version that another host has; -1 if unknown.
        confirmed_age_s: Time since it was confirmed, in seconds; -1 if never.
        fallback_reads: Reads because relays confirmed it too late.
    """

    version: int
    newest_version: int
    confirmed_age_s: float
    fallback_reads: int


class PeerStatus(TypedDict):
    """Another host that this host has heard.

    Attributes:
        name: Its name.
        availability_zone: Its availability zone; empty if unknown.
        role: "relay", "other relay", "member", "direct" or "silent".
        hosts: Number of hosts whose state it includes.
        age_s: Time since its last message, in seconds; -1 if never.
    """

    name: str
    availability_zone: str
    role: str
    hosts: int
    age_s: float


class UpstreamStatus(TypedDict):
    """An upstream as this host sees it.

    Attributes:
        id: Its id.
        service: Its service.
        stage: Stage of a model engine; empty for a plain service.
        ready: Whether it accepts new requests by its registration.
        ejected: Whether it is ejected after failures.
        requests: Requests of all hosts in progress.
        tokens: Tokens of these requests.
    """

    id: str
    service: str
    stage: str
    ready: bool
    ejected: bool
    requests: int
    tokens: int


class AccountStatus(TypedDict):
    """Rate limit of a client account on this host.

    Attributes:
        account: Name of the account.
        level: Tokens left in this host's copy of the bucket.
        admitted: Tokens that this host admitted since its start.
    """

    account: str
    level: int
    admitted: int


class CrashStatus(TypedDict):
    """Parts of prompts before which engines crashed.

    Attributes:
        service: Service of the requests.
        parts: The parts.
        engines: Number of engines that crashed.
    """

    service: str
    parts: list[str]
    engines: int


class HostStatus(TypedDict):
    """Everything that the status shows.

    Attributes:
        host: Name of the host.
        availability_zone: Its availability zone.
        role: "direct", "member", "relay" or "joining".
        relay: Name of its relay; empty without one.
        reached: Hosts whose state arrives, with this one.
        expected: Hosts that may be serving.
        limit_share: Part of each rate limit that the reached hosts use.
        registrations_age_s: Time since the registrations were read, in
            seconds; -1 if never.
        policy: Policy in force.
        peers: Hosts that it has heard or knows by their rows.
        upstreams: Registered upstreams.
        accounts: Client accounts in use.
        crashed_parts: Parts of prompts before which engines crashed.
    """

    host: str
    availability_zone: str
    role: str
    relay: str
    reached: int
    expected: int
    limit_share: float
    registrations_age_s: float
    policy: PolicyStatus
    peers: list[PeerStatus]
    upstreams: list[UpstreamStatus]
    accounts: list[AccountStatus]
    crashed_parts: list[CrashStatus]


def rounded_age(age_s: float) -> float:
    """Returns an age in seconds; -1 if it is unlimited."""
    return -1.0 if age_s == float("inf") else round(age_s, 3)


class StatusReporter:
    """Describes a host.

    Args:
        directory: Directory of the other hosts.
        exchange: Exchange with them.
        policy_follower: Reads the policy.
        context: Components of the pipelines.
        buckets: Rate limits.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        exchange: report_exchange.ReportExchange,
        policy_follower: followers.PolicyFollower,
        context: contexts.Context,
        buckets: shared_bucket.SharedBuckets,
    ) -> None:
        self.directory = directory
        self.exchange = exchange
        self.policy_follower = policy_follower
        self.context = context
        self.buckets = buckets

    def describe(self) -> HostStatus:
        """Returns the status."""
        own = self.directory.own
        relayed = self.exchange.relayed
        tracker = self.policy_follower.tracker
        return HostStatus(
            host=own.name,
            availability_zone=own.availability_zone,
            role=self.role(),
            relay=relayed.choice.relay or "",
            reached=self.directory.reached(),
            expected=self.directory.count(),
            limit_share=round(self.directory.share(), 4),
            registrations_age_s=rounded_age(self.context.directory.age()),
            policy=PolicyStatus(
                version=tracker.version(),
                newest_version=max(
                    tracker.announced.version, tracker.version()
                ),
                confirmed_age_s=rounded_age(tracker.age()),
                fallback_reads=self.policy_follower.fallback_reads,
            ),
            peers=self.peers(),
            upstreams=self.upstreams(),
            accounts=[
                AccountStatus(
                    account=name,
                    level=round(bucket.level),
                    admitted=bucket.admitted,
                )
                for name, bucket in sorted(self.buckets.buckets.items())
            ],
            crashed_parts=[
                CrashStatus(
                    service=suspects.service,
                    parts=sorted(suspects.parts),
                    engines=len(crashes.engines),
                )
                for suspects, crashes in (
                    self.context.crashing_parts.crashes.items()
                )
            ],
        )

    def fallback_reads(self) -> int:
        """Returns the reads because relays confirmed the policy too late."""
        return self.policy_follower.fallback_reads

    def role(self) -> str:
        """Returns this host's part in the exchange."""
        if not self.directory.is_large():
            return "direct"
        if self.exchange.relayed.choice.relaying:
            return "relay"
        return "member" if self.exchange.relayed.choice.relay else "joining"

    def peers(self) -> list[PeerStatus]:
        """Returns the other hosts, those of one zone together."""
        now = self.directory.clock.monotonic()
        relayed = self.exchange.relayed
        result = []
        for name, peer in self.directory.peers.items():
            included = 0
            role = "silent"
            if name == relayed.choice.relay:
                role = "relay"
            elif name in relayed.groups:
                role = "other relay"
            elif name in relayed.members:
                role, included = "member", 1
            elif self.exchange.hears_directly(name):
                role, included = "direct", 1
            if role in ("relay", "other relay"):
                included = relayed.latest[name].envelope.hosts
            result.append(
                PeerStatus(
                    name=name,
                    availability_zone=peer.record.availability_zone,
                    role=role,
                    hosts=included,
                    age_s=rounded_age(now - peer.last_report_at),
                )
            )
        result.sort(key=lambda each: (each["availability_zone"], each["name"]))
        return result

    def upstreams(self) -> list[UpstreamStatus]:
        """Returns the registered upstreams, those of one service together."""
        context = self.context
        result = []
        for upstream in context.directory.upstreams.values():
            load = context.loads.load(upstream.id)
            result.append(
                UpstreamStatus(
                    id=upstream.id,
                    service=upstream.service,
                    stage=upstream.stage.value if upstream.stage else "",
                    ready=upstream.ready,
                    ejected=not context.outcome_tracker.is_usable(upstream.id),
                    requests=load.requests,
                    tokens=load.tokens,
                )
            )
        result.sort(key=lambda each: (each["service"], each["id"]))
        return result
