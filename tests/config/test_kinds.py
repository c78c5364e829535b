"""Guards against ambiguous or invalid values that are accepted."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.config import kinds

DURATION = kinds.Duration("1ms", "1h")
WRONG_TYPE = results.WRONG_TYPE
WRONG_VALUE = results.WRONG_VALUE


@pytest.mark.parametrize(
    ("kind", "value", "expected"),
    [
        (DURATION, "1.4s", datetime.timedelta(seconds=1.4)),
        (DURATION, "65ms", datetime.timedelta(milliseconds=65)),
        (DURATION, "10m", datetime.timedelta(minutes=10)),
        (kinds.ByteRate(1, 1e12), "10Gbit/s", 1.25e9),
        (kinds.ByteRate(1, 1e12), "1.25GB/s", 1.25e9),
        (kinds.ByteRate(1, 1e12), 5, 5.0),
        (kinds.Address(), "[::1]:80", "[::1]:80"),
    ],
)
def test_accepted_values_are_converted(kind, value, expected):
    assert kind.read(value) == expected


@pytest.mark.parametrize(
    ("kind", "value", "code"),
    [
        (DURATION, 5, WRONG_TYPE),
        (DURATION, True, WRONG_TYPE),
        (DURATION, "5", WRONG_VALUE),
        (DURATION, "5 s", WRONG_VALUE),
        (DURATION, "5s\n", WRONG_VALUE),
        (DURATION, "5sec", WRONG_VALUE),
        (DURATION, "2h", WRONG_VALUE),
        (DURATION, "999999999d", WRONG_VALUE),
        (kinds.Integer(0, 9), True, WRONG_TYPE),
        (kinds.Integer(0, 9), 1.0, WRONG_TYPE),
        (kinds.Integer(0, 9), 10, WRONG_VALUE),
        (kinds.Number(0, 9), float("nan"), WRONG_VALUE),
        (kinds.Number(0, 9), float("inf"), WRONG_VALUE),
        (kinds.Number(0, 9), False, WRONG_TYPE),
        (kinds.ByteRate(1, 1e12), "10Gbit", WRONG_VALUE),
        (kinds.Boolean(), "true", WRONG_TYPE),
        (kinds.Address(), "localhost:80", WRONG_VALUE),
        (kinds.Address(), "127.0.0.1", WRONG_VALUE),
        (kinds.Address(), "127.0.0.1:0", WRONG_VALUE),
        (kinds.Address(), "127.0.0.1:65536", WRONG_VALUE),
        (kinds.Address(), "::1:80", WRONG_VALUE),
    ],
)
def test_unaccepted_values_are_refused_with_their_code(kind, value, code):
    with pytest.raises(errors.ConfigurationError) as caught:
        kind.read(value)

    assert caught.value.code == code
