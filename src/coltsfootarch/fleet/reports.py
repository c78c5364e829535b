"""Reports between hosts about their load, rate limit usage and upstreams."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

import msgspec

from coltsfootarch.fleet import upstreams  # noqa: TC001  Needed to decode.

PROTOCOL_VERSION = 1


class Report(NamedTuple):
    """State of one host, sent to its peers as a MessagePack array of fields.

    Attributes:
        version: Version of this format.
        host: Name of the sender.
        incarnation: Unix time of its start in milliseconds.
        sequence: Sequence number of this report in the incarnation.
        loads: Upstream id, number of requests in progress, their tokens.
        usage: Client account, tokens admitted from the start until the last
            few seconds, tokens admitted since the start.
        breaks: Request digest, number of connections that broke while it ran;
            empty in this build, whose hosts send `broken_requests`.
        failures: Upstream id, number of failed requests since the start; also
            ids with `outcomes.ANSWERED_SUFFIX`, of upstreams that have just
            answered.
        refusing: Ids of upstreams that refuse requests at present.
        waiting: Service, number of requests that wait for its engines.
        directory: Digest of the registered upstreams.
        directory_age_ms: Time since they were read from the table service; -1
            if that is not reported.
        directory_revision: Revision of the table service at that read.
        directory_base: Digest before the last change.
        directory_changed: Upstreams that this change added or replaced.
        directory_removed: Ids of upstreams that this change removed.
        refused: Digests of requests recently refused for lack of capacity.
        crashed_parts: Service, shared parts of a prompt, engines that crashed
            before requests with these parts generated, milliseconds since the
            last of the crashes.
        sound_parts: Service, part of a prompt on which engines crashed,
            milliseconds since a request with it last generated on this host.
        broken_requests: Request digest, digests of what broke while it ran,
            milliseconds since the last of these breaks.
        completed_requests: Digest of a request that broke before, milliseconds
            since it completed.
        upstream_limits: Upstream id, Unix time of its start in milliseconds,
            requests in 1,000 s that it takes from all hosts (-1 if it has no
            limit any more), milliseconds since it stated that. Their use is in
            `usage`.
        policy_version: Version of the policy, while it is new to this host;
            otherwise 0.
        store_epoch: Epoch of the table service that the host knows and to which
            `directory_revision` belongs; 0 in the first one.
        policy_epoch: Epoch in which the host's policy was last seen in the
            table service; 0 in the first one.
        policy_digest: Digest of the stored policy; 0 in the first epoch.
        departed: Incarnations of upstreams that drain or have left, for a while
            after a restoration of the table service.
    """

    version: int
    host: str
    incarnation: int
    sequence: int
    loads: list[tuple[str, int, int]]
    usage: list[tuple[str, int, int]]
    breaks: list[tuple[str, int]]
    failures: list[tuple[str, int]]
    refusing: list[str]
    waiting: list[tuple[str, int]]
    directory: int = 0
    directory_age_ms: int = -1
    directory_revision: int = 0
    directory_base: int = 0
    directory_changed: tuple[upstreams.Upstream, ...] = ()
    directory_removed: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    crashed_parts: tuple[
        tuple[str, tuple[str, ...], tuple[str, ...], int], ...
    ] = ()
    sound_parts: tuple[tuple[str, str, int], ...] = ()
    broken_requests: tuple[tuple[str, tuple[str, ...], int], ...] = ()
    completed_requests: tuple[tuple[str, int], ...] = ()
    upstream_limits: tuple[tuple[str, int, int, int], ...] = ()
    policy_version: int = 0
    store_epoch: int = 0
    policy_epoch: int = 0
    policy_digest: int = 0
    departed: tuple[str, ...] = ()


# Fields that reports leave out if they and all later ones are empty. Hosts of
# builds that don't know them can decode such reports.
OPTIONAL_FIELDS = (
    "crashed_parts",
    "sound_parts",
    "broken_requests",
    "completed_requests",
    "upstream_limits",
    "policy_version",
    "store_epoch",
    "policy_epoch",
    "policy_digest",
    "departed",
)


def empty_report(host: str, incarnation: int, sequence: int) -> Report:
    """Returns an empty report to which participants add their state."""
    return Report(
        PROTOCOL_VERSION, host, incarnation, sequence, [], [], [], [], [], []
    )


def encode(report: Report) -> bytes:
    """Returns a report as it is sent, without empty optional fields."""
    end = len(report)
    for name in reversed(OPTIONAL_FIELDS):
        if getattr(report, name):
            break
        end -= 1
    return msgspec.msgpack.encode(tuple(report)[:end])


DECODER = msgspec.msgpack.Decoder(Report)


def decode(data: bytes) -> Report:
    """Returns a received report.

    Raises:
        msgspec.DecodeError: The bytes are not a report.
    """
    return DECODER.decode(data)


class Participant(Protocol):
    """Component of the host that exchanges state through reports."""

    def add_to_report(self, report: Report) -> Report:
        """Returns a report with this host's state added."""

    def apply_report(self, report: Report, continuous: bool) -> None:
        """Merges the state of a peer.

        Args:
            report: The peer's report.
            continuous: Whether the peer was reachable ever since its previous
                report and has not restarted.
        """
