"""Messages between hosts.

Each message is a `NamedTuple` and is encoded as a MessagePack array, so the
order of its fields is part of the protocol. New fields are appended with a
default, so that hosts of adjacent software versions understand each other.
"""

from __future__ import annotations

from typing import NamedTuple


class Sender(NamedTuple):
    """The host that sent a message.

    Attributes:
        host: Name of the sending host.
        incarnation: Start of its process, in milliseconds of wall time.
        availability_zone: Availability zone of the host.
        address: Address ("ip:port") of its peer socket.
    """

    host: str
    incarnation: int
    availability_zone: str
    address: str


class Heads(NamedTuple):
    """Newest versions known to the sender.

    Attributes:
        config_version: Newest committed configuration version.
        directory: Shard directory revision by availability zone.
    """

    config_version: int
    directory: dict[str, int]


class Heartbeat(NamedTuple):
    """Periodic message to zone peers which shows that the sender is running.

    Attributes:
        config_version: Configuration version in force on the sender.
        heads: Newest versions known to the sender.
        confirmed_age: Seconds since the sender's configuration was confirmed
            through the store; negative if never.
        shards: Number of shards that the sender holds.
        stopping: Whether the sender is shutting down.
        session_valid: Whether the sender's session is valid, so that it may
            use the shards that it holds.
    """

    config_version: int
    heads: Heads
    confirmed_age: float
    shards: int
    stopping: bool = False
    session_valid: bool = True


class HeartbeatAck(NamedTuple):
    """Answer to a heartbeat, with the state of the answering host.

    Attributes:
        config_version: Configuration version in force on the answering host.
        heads: Newest versions known to the answering host.
        confirmed_age: As in `Heartbeat`.
    """

    config_version: int
    heads: Heads
    confirmed_age: float


class Probe(NamedTuple):
    """Asks a host on a new connection whether its session is valid."""


class IndirectProbe(NamedTuple):
    """Asks a peer for its last contact with another host.

    Unless that contact is recent, the peer probes the host before it answers.

    Attributes:
        host: Name of the other host.
        incarnation: Incarnation of that host.
        address: Address ("ip:port") of its peer socket.
    """

    host: str
    incarnation: int
    address: str


class ProbeAck(NamedTuple):
    """Answer to a direct or indirect probe.

    A message from a host without a valid session does not count as a contact,
    since such a host can only regain its shards through the store.

    Attributes:
        incarnation: Incarnation of the host that the answer is about.
        heard_age: Seconds since the last contact with this host while its
            session was valid; 0 from the host itself, negative if there was
            none.
    """

    incarnation: int
    heard_age: float


class GrantUsage(NamedTuple):
    """Use of a grant, as totals since it was made.

    Unlike differences, totals stay correct when a report is lost, repeated or
    delayed.

    Attributes:
        grant_id: The grant.
        spent: Tokens reserved for requests so far.
        returned: Tokens returned so far without having been reserved.
        refunded: Tokens reported as spent that their requests did not use.
        account: Client account; empty if the enclosing message names it.
    """

    grant_id: str
    spent: int
    returned: int
    refunded: int = 0
    account: str = ""


class GrantRequest(NamedTuple):
    """Asks a ledger for prepaid tokens.

    Attributes:
        account: Client account.
        shard: Home shard of the account in the ledger's availability zone.
        minimum: Tokens that the waiting request is missing.
        wanted: Tokens that the host prefers to get, at least `minimum`.
        usage: Reports on earlier grants of the same account.
    """

    account: str
    shard: int
    minimum: int
    wanted: int
    usage: list[GrantUsage]


class GrantReply(NamedTuple):
    """A ledger's answer to a grant request.

    Attributes:
        grant_id: Id of the new grant; empty if nothing was granted.
        tokens: Tokens granted; may be less than the minimum.
        validity: Seconds until the grant expires, counted from the instant at
            which the request was sent.
        retry_after: Seconds until the ledger could grant the minimum.
        home: False if the answering host does not hold the shard.
    """

    grant_id: str
    tokens: int
    validity: float
    retry_after: float
    home: bool = True


class GrantReport(NamedTuple):
    """Reports on the use of grants without requesting a new one.

    Attributes:
        account: Client account; empty if each report names its own.
        shard: Home shard of the accounts in the ledger's availability zone.
        usage: One report per grant.
    """

    account: str
    shard: int
    usage: list[GrantUsage]


class OutstandingGrant(NamedTuple):
    """A live grant in the state of a ledger.

    Attributes:
        grant_id: The grant.
        tokens: Tokens not yet reported as spent or returned.
        remaining: Seconds until it expires on the ledger.
        spent: Tokens reported as spent.
    """

    grant_id: str
    tokens: int
    remaining: float
    spent: int = 0


class LedgerState(NamedTuple):
    """State of one account's ledger at a hand-over.

    Attributes:
        account: Client account.
        level: Tokens available.
        outstanding: Grants that are still valid.
    """

    account: str
    level: float
    outstanding: list[OutstandingGrant]


class LedgerHandover(NamedTuple):
    """Hands the ledgers of a released shard over to its next holder.

    Attributes:
        shard: The shard.
        epoch: Epoch under which the sender held it.
        ledgers: The ledgers that have state.
        accrued: Seconds for which the unused ledgers, which have no state, have
            been refilling.
    """

    shard: int
    epoch: int
    ledgers: list[LedgerState]
    accrued: float = 0.0


class Ack(NamedTuple):
    """Acknowledgement; `accepted` is False if the message had no effect."""

    accepted: bool = True


class ScheduleRequest(NamedTuple):
    """Asks a pool's scheduler to assign upstreams to a request.

    Attributes:
        service: Model service.
        scope: Availability zone or region that the pool serves.
        shard: Home shard of the pool.
        request_id: Request id.
        attempt: Number of the attempt, from 1.
        account: Client account.
        prompt_tokens: Tokens of the prompt, including the output tokens of
            earlier attempts.
        max_output_tokens: Largest number of tokens still to be generated.
        prefix_digests: Digests of the prompt's leading chunks, in order.
        digest: Digest of the request body, for quarantine.
        priority: Priority; requests with a larger value run earlier.
        first_token_within: Seconds within which the first token is due.
        excluded: Upstreams that must not be assigned.
    """

    service: str
    scope: str
    shard: int
    request_id: str
    attempt: int
    account: str
    prompt_tokens: int
    max_output_tokens: int
    prefix_digests: list[int]
    digest: str
    priority: int
    first_token_within: float
    excluded: list[str]


class ScheduleReply(NamedTuple):
    """A scheduler's answer: an assignment, or a refusal with its code.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        prefill: Name of the prefill upstream; empty in a refusal.
        decode: Name of the decode upstream; empty in a refusal.
        refusal: Number of the result code; 0 in an assignment.
        retry_after: Seconds after which a retry can succeed.
    """

    request_id: str
    attempt: int
    prefill: str
    decode: str
    refusal: int
    retry_after: float


class ScheduleEvent(NamedTuple):
    """A step in the processing of a scheduled request.

    Attributes:
        request_id: Request id.
        attempt: Number of the attempt.
        step: One of "prefilled", "transferred", "finished", "failed",
            "crashed", "cancelled".
        upstream: Upstream that the step concerns.
        tokens: Tokens generated so far.
    """

    request_id: str
    attempt: int
    step: str
    upstream: str
    tokens: int


class ScheduleUpdate(NamedTuple):
    """Batch of steps, sent by an entry host to a pool's scheduler.

    Attributes:
        service: Model service.
        scope: Availability zone or region that the pool serves.
        shard: Home shard of the pool.
        events: Steps in the order in which they occurred.
    """

    service: str
    scope: str
    shard: int
    events: list[ScheduleEvent]


class ConfigRequest(NamedTuple):
    """Asks a peer for its register if it is newer than `known_version`."""

    known_version: int


class ConfigReply(NamedTuple):
    """A peer's register.

    Attributes:
        version: Version in force on the peer.
        document: TOML text; empty if the version is not newer than
            `ConfigRequest.known_version`.
        confirmed_age: As in `Heartbeat`.
    """

    version: int
    document: str
    confirmed_age: float


class CancelRequest(NamedTuple):
    """Asks a host to cancel a request that it is running.

    Attributes:
        request_id: Request id.
        account: Client account that the request must belong to.
    """

    request_id: str
    account: str


class RequestQuery(NamedTuple):
    """Asks a host whether it is still running a request.

    Attributes:
        request_id: Request id.
    """

    request_id: str


class DirectorySession(NamedTuple):
    """A host's session as a peer last read it from the store.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host.
        address: Address ("ip:port") of its peer socket.
    """

    host: str
    incarnation: int
    address: str


class DirectoryShard(NamedTuple):
    """A shard's holder as a peer last read it from the store.

    Attributes:
        number: Number of the shard.
        holder: Name of the holding host; empty if there is none.
        incarnation: Incarnation of that host.
        address: Address ("ip:port") of its peer socket.
        epoch: Epoch of its lease.
    """

    number: int
    holder: str
    incarnation: int
    address: str
    epoch: int


class ZoneDirectory(NamedTuple):
    """An availability zone's hosts and shard holders.

    Attributes:
        availability_zone: The zone.
        revision: Directory revision.
        sessions: Sessions of its hosts.
        shards: Holders of its shards.
    """

    availability_zone: str
    revision: int
    sessions: list[DirectorySession]
    shards: list[DirectoryShard]


class DirectoryRequest(NamedTuple):
    """Asks a zone peer for its view of all zones."""


class DirectoryReply(NamedTuple):
    """A peer's view of all zones, as last read from the store."""

    zones: list[ZoneDirectory]
