"""Decodes the registrations of runners."""

from __future__ import annotations

from typing import Any

from coltsfootarch.fleet import upstreams
from coltsfootarch.platform import decoding

STAGE_BY_NAME = {
    "prefill": upstreams.Stage.PREFILL,
    "decode": upstreams.Stage.DECODE,
}
# `state` says whether the runner accepts new work, not whether it is healthy.
MAX_VERSION_LENGTH = 100
READY_BY_STATE = {"ready": True, "draining": False}


def decode(key: str, value: bytes) -> upstreams.Upstream:
    """Returns the upstream of a registration.

    Args:
        key: Key of the row, which is the upstream's id.
        value: Stored bytes.

    Raises:
        decoding.UnreadableDocumentError: The row is not a valid registration.
    """
    if not key.isascii() or not key.isprintable():
        # The id is sent in a header field.
        raise decoding.UnreadableDocumentError(f"id {key!r} is not printable")
    entry = decoding.decode_object(value)
    state = decoding.string(entry, "state")
    if state not in READY_BY_STATE:
        raise decoding.UnreadableDocumentError(
            f"state {state!r} is not accepted; accepted: "
            f"{', '.join(READY_BY_STATE)}"
        )
    stage = entry.get("stage")
    if stage is not None and (
        not isinstance(stage, str) or stage not in STAGE_BY_NAME
    ):
        raise decoding.UnreadableDocumentError(
            f"stage {stage!r} is not accepted; accepted: "
            f"{', '.join(STAGE_BY_NAME)}"
        )
    return upstreams.Upstream(
        id=key,
        service=decoding.string(entry, "service"),
        address=decoding.address(entry, "address"),
        availability_zone=decoding.string(entry, "zone"),
        ready=READY_BY_STATE[state],
        slots=decoding.count(entry, "slots"),
        stage=STAGE_BY_NAME.get(stage) if stage else None,
        started_ms=decoding.count(entry, "born", 0),
        version=decode_version(entry),
    )


def decode_version(entry: dict[str, Any]) -> str:
    """Returns the version of a runner's software; empty if it names none.

    Raises:
        decoding.UnreadableDocumentError: No string, or too long a one.
    """
    if entry.get("version") is None:
        return ""
    version = decoding.string(entry, "version")
    if len(version) > MAX_VERSION_LENGTH:
        raise decoding.UnreadableDocumentError(
            f"version is longer than {MAX_VERSION_LENGTH} characters"
        )
    return version
