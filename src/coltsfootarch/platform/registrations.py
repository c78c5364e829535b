"""Decodes what runners register about themselves."""

from __future__ import annotations

from coltsfootarch.fleet import upstreams
from coltsfootarch.platform import decoding

STAGE_BY_NAME = {
    "prefill": upstreams.Stage.PREFILL,
    "decode": upstreams.Stage.DECODE,
}
# `state` is whether the runner takes new work, not its health.
READY_BY_STATE = {"ready": True, "draining": False}


def decode(key: str, value: bytes) -> upstreams.Upstream:
    """Returns the upstream of a registration.

    Args:
        key: Key of the row, which is the upstream's identity.
        value: Stored bytes.

    Raises:
        decoding.UnreadableDocumentError: The row names no usable upstream.
    """
    entry = decoding.decode_object(value)
    state = decoding.string(entry, "state")
    if state not in READY_BY_STATE:
        raise decoding.UnreadableDocumentError(f"state {state} is unknown")
    address = decoding.string(entry, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise decoding.UnreadableDocumentError("address has no port")
    stage = entry.get("stage")
    if stage is not None and stage not in STAGE_BY_NAME:
        raise decoding.UnreadableDocumentError(f"stage {stage} is unknown")
    return upstreams.Upstream(
        id=key,
        service=decoding.string(entry, "service"),
        address=address,
        availability_zone=decoding.string(entry, "zone"),
        ready=READY_BY_STATE[state],
        slots=int(decoding.number(entry, "slots")),
        stage=STAGE_BY_NAME.get(stage) if stage else None,
        started_ms=int(decoding.number(entry, "born", 0)),
    )
