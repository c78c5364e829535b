"""Decodes what runners register about themselves."""

from __future__ import annotations

from coltsfootarch.fleet import upstreams
from coltsfootarch.platform import decoding

STAGES = {
    "prefill": upstreams.Stage.PREFILL,
    "decode": upstreams.Stage.DECODE,
}
# `state` is whether the runner takes new work, not its health.
STATES = {"ready": True, "draining": False}


def decode(key: str, value: bytes) -> upstreams.Upstream:
    """Returns the upstream of a registration.

    Args:
        key: Key of the row, which is the upstream's identity.
        value: Stored bytes.

    Raises:
        decoding.UnreadableDocumentError: The row names no usable upstream.
    """
    entry = decoding.decode_object(value)
    state = decoding.text(entry, "state")
    if state not in STATES:
        raise decoding.UnreadableDocumentError(f"state {state} is unknown")
    address = decoding.text(entry, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise decoding.UnreadableDocumentError("address has no port")
    stage = entry.get("stage")
    if stage is not None and stage not in STAGES:
        raise decoding.UnreadableDocumentError(f"stage {stage} is unknown")
    return upstreams.Upstream(
        id=key,
        service=decoding.text(entry, "service"),
        address=address,
        availability_zone=decoding.text(entry, "zone"),
        ready=STATES[state],
        slots=int(decoding.number(entry, "slots")),
        stage=STAGES.get(stage) if stage else None,
        started_ms=int(decoding.number(entry, "born", 0)),
    )
