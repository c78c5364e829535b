"""Guards against invalid registrations that are accepted as upstreams."""

from __future__ import annotations

import pytest

from coltsfootarch.fleet import upstreams
from coltsfootarch.platform import decoding
from coltsfootarch.platform import registrations
from tests.platform import documents


def decode(**changes):
    value = documents.encoded(documents.registration(**changes))
    return registrations.decode("i-1", value)


def test_registration_becomes_an_upstream():
    upstream = decode(stage="decode", born=17, state="draining")

    assert upstream == upstreams.Upstream(
        "i-1",
        "app",
        "127.0.0.1:8080",
        "north",
        False,
        8,
        upstreams.Stage.DECODE,
        17,
        "v1",
    )


def test_registration_without_a_version_is_accepted():
    assert decode(version=None).version == ""


@pytest.mark.parametrize("key", ["i-1\r\nX-Tenant: other", "i-\u00e9"])
def test_ids_that_fit_into_no_header_field_are_refused(key):
    """Guards against header fields that an id adds to requests."""
    value = documents.encoded(documents.registration())
    with pytest.raises(decoding.UnreadableDocumentError):
        registrations.decode(key, value)


def test_registrations_that_differ_by_heartbeat_only_are_equal():
    assert decode(sequence=1, cold_remaining_ms=5) == decode(sequence=2)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 3},
        {"address": "nowhere"},
        {"address": 8080},
        {"state": "resting"},
        {"stage": "dreaming"},
        {"slots": "eight"},
        {"zone": None},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:²"},
        {"slots": -1},
        {"slots": 10**30},
        {"slots": 1e30},
        {"born": 10**400},
        {"born": -1},
        {"stage": ["decode"]},
        {"version": 2},
        {"version": "v" * 101},
        {"stage": {"name": "decode"}},
    ],
)
def test_invalid_entries_are_refused(changes):
    with pytest.raises(decoding.UnreadableDocumentError):
        decode(**changes)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x80\x81",
        b"[]",
        b"null",
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b'{"slots": 1e999}',
    ],
)
def test_bytes_that_are_no_json_object_are_refused(value):
    with pytest.raises(decoding.UnreadableDocumentError):
        registrations.decode("i-1", value)
