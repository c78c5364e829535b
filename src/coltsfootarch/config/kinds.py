"""Value types of configuration documents.

A kind is one type of value. It checks a TOML value, converts it to the value
that the program uses, and describes in words what it accepts.
"""

from __future__ import annotations

import datetime
import ipaddress
import math
import re
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    import enum

DURATION_PATTERN = re.compile(r"([0-9]{1,9}(?:\.[0-9]{1,9})?)(us|ms|s|m|h|d)")
DURATION_UNITS = {
    "us": datetime.timedelta(microseconds=1),
    "ms": datetime.timedelta(milliseconds=1),
    "s": datetime.timedelta(seconds=1),
    "m": datetime.timedelta(minutes=1),
    "h": datetime.timedelta(hours=1),
    "d": datetime.timedelta(days=1),
}
BYTE_RATE_PATTERN = re.compile(
    r"([0-9]{1,9}(?:\.[0-9]{1,9})?)([kMGT]?)(bit|B)/s"
)
RATE_PREFIXES = {"": 1.0, "k": 1e3, "M": 1e6, "G": 1e9, "T": 1e12}
BITS_PER_BYTE = 8
MAX_PORT = 65535


class Kind(Protocol):
    """One type of value."""

    @property
    def accepted(self) -> str:
        """The accepted values in words, for errors and documentation."""

    def read(self, value: Any) -> Any:
        """Returns the checked and converted value.

        Args:
            value: Value as tomllib returned it.

        Raises:
            ConfigurationError: Code WRONG_TYPE or WRONG_VALUE. The message
                says what is wrong with the value; without one it is the
                summary of the code, because `accepted` says enough.
        """


def wrong_type(message: str = "") -> errors.ConfigurationError:
    """Returns the error for a value of the wrong type."""
    return errors.ConfigurationError(message, results.WRONG_TYPE)


def wrong_value(message: str = "") -> errors.ConfigurationError:
    """Returns the error for a value of the right type that isn't accepted."""
    return errors.ConfigurationError(message, results.WRONG_VALUE)


class String(NamedTuple):
    """A string that a regular expression matches completely.

    Attributes:
        pattern: Regular expression.
        description: The accepted values in words.
    """

    pattern: str
    description: str

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return self.description

    def read(self, value: Any) -> str:
        """Returns the string; see `Kind`."""
        if not isinstance(value, str):
            raise wrong_type()
        if re.fullmatch(self.pattern, value) is None:
            raise wrong_value()
        return value


class Integer(NamedTuple):
    """An integer in a range, both ends included."""

    minimum: int
    maximum: int

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return f"whole number from {self.minimum} to {self.maximum}"

    def read(self, value: Any) -> int:
        """Returns the integer; see `Kind`."""
        if not isinstance(value, int) or isinstance(value, bool):
            raise wrong_type()
        if not self.minimum <= value <= self.maximum:
            raise wrong_value()
        return value


class Number(NamedTuple):
    """A finite number in a range, both ends included."""

    minimum: float
    maximum: float

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return f"number from {self.minimum:g} to {self.maximum:g}"

    def read(self, value: Any) -> float:
        """Returns the number as a float; see `Kind`."""
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise wrong_type()
        # This refuses NaN and infinities too: NaN fails both comparisons, an
        # infinity fails one of them.
        if not self.minimum <= value <= self.maximum:
            raise wrong_value()
        return float(value)


class Boolean(NamedTuple):
    """A boolean."""

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return "true or false"

    def read(self, value: Any) -> bool:
        """Returns the boolean; see `Kind`."""
        if not isinstance(value, bool):
            raise wrong_type()
        return value


class Choice(NamedTuple):
    """A string that is the value of a member of an enumeration.

    Attributes:
        members: The enumeration.
    """

    members: type[enum.Enum]

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return " or ".join(f'"{member.value}"' for member in self.members)

    def read(self, value: Any) -> enum.Enum:
        """Returns the member; see `Kind`."""
        if not isinstance(value, str):
            raise wrong_type()
        try:
            return self.members(value)
        except ValueError:
            raise wrong_value() from None


class Duration(NamedTuple):
    """A duration written as a number with a unit, such as "65ms".

    Attributes:
        minimum: Shortest accepted duration, as written in a document.
        maximum: Longest accepted duration, as written in a document.
    """

    minimum: str
    maximum: str

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return (
            f'duration from "{self.minimum}" to "{self.maximum}" with a unit '
            "(us, ms, s, m, h, d)"
        )

    def read(self, value: Any) -> datetime.timedelta:
        """Returns the duration; see `Kind`."""
        if isinstance(value, int | float) and not isinstance(value, bool):
            raise wrong_type("a duration needs a unit")
        if not isinstance(value, str):
            raise wrong_type()
        duration = parse_duration(value)
        shortest = parse_duration(self.minimum)
        longest = parse_duration(self.maximum)
        if not shortest <= duration <= longest:
            raise wrong_value()
        return duration


class ByteRate(NamedTuple):
    """A rate in bytes per second, as a number or a string with its unit.

    Attributes:
        minimum: Smallest accepted rate in bytes per second.
        maximum: Largest accepted rate in bytes per second.
    """

    minimum: float
    maximum: float

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return (
            f"bytes per second from {self.minimum:g} to {self.maximum:g}, or "
            'a string such as "10Gbit/s" or "1.25GB/s"'
        )

    def read(self, value: Any) -> float:
        """Returns the rate in bytes per second; see `Kind`."""
        if isinstance(value, str):
            value = parse_byte_rate(value)
        return Number(self.minimum, self.maximum).read(value)


class Address(NamedTuple):
    """An IP address with a port, "192.0.2.1:8080" or "[2001:db8::1]:8080"."""

    @property
    def accepted(self) -> str:
        """The accepted values in words."""
        return 'IP address and port such as "192.0.2.1:8080"'

    def read(self, value: Any) -> str:
        """Returns the address unchanged; see `Kind`."""
        if not isinstance(value, str):
            raise wrong_type()
        host, _, port = value.rpartition(":")
        if re.fullmatch("[0-9]{1,5}", port) is None:
            raise wrong_value("the port is missing")
        if not 1 <= int(port) <= MAX_PORT:
            raise wrong_value(f"the port must be from 1 to {MAX_PORT}")
        if host.startswith("[") and host.endswith("]"):
            self.check_ip(host[1:-1], ipaddress.IPv6Address)
        else:
            self.check_ip(host, ipaddress.IPv4Address)
        return value

    def check_ip(
        self,
        text: str,
        version: type[ipaddress.IPv4Address | ipaddress.IPv6Address],
    ) -> None:
        """Refuses host names, because no process resolves them.

        Raises:
            ConfigurationError: Code WRONG_VALUE; not an IP address of the
                version.
        """
        try:
            version(text)
        except ValueError:
            raise wrong_value("a host name is not accepted") from None


def parse_duration(text: str) -> datetime.timedelta:
    """Returns the duration that `text` (such as "1.4s") stands for.

    Raises:
        ConfigurationError: Code WRONG_VALUE; not a number with a unit, or too
            long for `datetime.timedelta`.
    """
    match = DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise wrong_value("not a number with a unit")
    try:
        return float(match[1]) * DURATION_UNITS[match[2]]
    except OverflowError:
        raise wrong_value("the duration is too long") from None


def parse_byte_rate(text: str) -> float:
    """Returns the bytes per second that `text` (such as "10Gbit/s") means.

    Raises:
        ConfigurationError: Code WRONG_VALUE; not a number with a unit.
    """
    match = BYTE_RATE_PATTERN.fullmatch(text)
    if match is None:
        raise wrong_value("not a number with a unit")
    rate = float(match[1]) * RATE_PREFIXES[match[2]]
    if match[3] == "bit":
        rate /= BITS_PER_BYTE
    return rate if math.isfinite(rate) else math.inf


def format_duration(duration: datetime.timedelta) -> str:
    """Returns the duration as it is written in a document, in ms or s."""
    seconds = duration.total_seconds()
    if 0 < seconds < 1:
        return f"{seconds * 1000:g}ms"
    return f"{seconds:g}s"
