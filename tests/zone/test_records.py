"""Guards against rows that another version or component can't read."""

from __future__ import annotations

import msgspec
import pytest

from coltsfootarch import errors
from coltsfootarch.zone import records

SESSION = records.SessionRecord(
    "h1", 7, "regina", "10.0.0.1:9000", 3, 12, "2026-01-01T00:00:00+00:00"
)
SHARD = records.ShardRecord("h1", 7, "10.0.0.1:9000", 4)


def test_rows_are_arrays_in_field_order():
    assert msgspec.msgpack.decode(records.encode(SESSION)) == list(SESSION)
    assert records.decode_session(records.encode(SESSION)) == SESSION
    assert records.decode_shard(records.encode(SHARD)) == SHARD
    assert records.decode_head(records.encode_head(42)) == 42


def test_keys_have_the_fixed_form():
    assert records.session_key("regina", "h1") == "regina/h1"
    assert records.shard_key("regina", 7) == "regina/0007"
    assert records.shard_number("regina/0007") == 7
    assert records.directory_key("regina") == "directory/regina"


@pytest.mark.parametrize(
    "decode",
    [records.decode_session, records.decode_shard, records.decode_head],
)
def test_damaged_rows_are_refused(decode):
    with pytest.raises(errors.CodecError):
        decode(b"\xc1")
