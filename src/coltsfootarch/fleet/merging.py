"""Sums of reports, which a relay sends in place of the single reports."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar

from coltsfootarch.fleet import reports

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

Key = TypeVar("Key")
Value = TypeVar("Value", int, tuple[int, int, int])

# Largest number of entries of each kind in a sum.
MAX_BREAKS = 40
MAX_REFUSED = 300
MAX_PARTS = 32
# Time for which an account is reported after its last change, in seconds. It
# spans several messages, since some of them may be lost.
USAGE_WINDOW_S = 5.0


class Received(NamedTuple):
    """A report with the time since it arrived.

    Attributes:
        report: The report.
        age_ms: Time since it arrived, in milliseconds.
    """

    report: reports.Report
    age_ms: int = 0


def merge(received: Iterable[Received]) -> reports.Report:
    """Returns the sum of reports without sender, usage and directory.

    The order of the reports doesn't matter. Each host's report must be in the
    sum once.
    """
    loads: dict[str, tuple[int, int]] = {}
    breaks: dict[str, int] = {}
    failures: dict[str, int] = {}
    waiting: dict[str, int] = {}
    refusing: set[str] = set()
    refused: set[str] = set()
    departed: set[str] = set()
    crashed: dict[tuple[str, frozenset[str], frozenset[str]], int] = {}
    sound: dict[tuple[str, str], int] = {}
    broken: dict[str, tuple[frozenset[str], int]] = {}
    completed: dict[str, int] = {}
    limits: dict[str, tuple[int, int, int]] = {}
    for report, age_ms in received:
        for upstream, requests, tokens in report.loads:
            known = loads.get(upstream, (0, 0))
            loads[upstream] = (known[0] + requests, known[1] + tokens)
        add_counts(breaks, report.breaks)
        add_counts(failures, report.failures)
        add_counts(waiting, report.waiting)
        refusing.update(report.refusing)
        refused.update(report.refused)
        departed.update(report.departed)
        for service, parts, engines, since_ms in report.crashed_parts:
            crash = (service, frozenset(parts), frozenset(engines))
            keep_smallest(crashed, crash, since_ms + age_ms)
        for service, part, since_ms in report.sound_parts:
            keep_smallest(sound, (service, part), since_ms + age_ms)
        for digest, causes, since_ms in report.broken_requests:
            add_causes(broken, digest, causes, since_ms + age_ms)
        for digest, since_ms in report.completed_requests:
            keep_smallest(completed, digest, since_ms + age_ms)
        for upstream, started_ms, limit, since_ms in report.upstream_limits:
            # The latest start counts, then the latest statement.
            stated = (-started_ms, since_ms + age_ms, limit)
            keep_smallest(limits, upstream, stated)
    recent_crashes = sorted(crashed.items(), key=lambda item: item[1])
    recent_sound = sorted(sound.items(), key=lambda item: item[1])
    recent_completed = sorted(
        completed.items(), key=lambda item: (item[1], item[0])
    )
    most_causes = sorted(
        broken.items(), key=lambda item: (-len(item[1][0]), item[1][1], item[0])
    )
    most_breaks = sorted(breaks.items(), key=lambda item: (-item[1], item[0]))
    return reports.empty_report("", 0, 0)._replace(
        loads=[(name, *load) for name, load in sorted(loads.items())],
        breaks=most_breaks[:MAX_BREAKS],
        failures=sorted(failures.items()),
        waiting=sorted(waiting.items()),
        refusing=sorted(refusing),
        refused=tuple(sorted(refused)[:MAX_REFUSED]),
        crashed_parts=tuple(
            (service, tuple(parts), tuple(engines), since_ms)
            for (service, parts, engines), since_ms in recent_crashes[
                :MAX_PARTS
            ]
        ),
        sound_parts=tuple(
            (service, part, since_ms)
            for (service, part), since_ms in recent_sound[:MAX_PARTS]
        ),
        broken_requests=tuple(
            (digest, tuple(sorted(causes)), since_ms)
            for digest, (causes, since_ms) in most_causes[:MAX_BREAKS]
        ),
        completed_requests=tuple(recent_completed[:MAX_BREAKS]),
        departed=tuple(sorted(departed)[:MAX_REFUSED]),
        upstream_limits=tuple(
            (upstream, -negative_start, limit, since_ms)
            for upstream, (negative_start, since_ms, limit) in sorted(
                limits.items()
            )
        ),
    )


def add_causes(
    table: dict[str, tuple[frozenset[str], int]],
    digest: str,
    causes: Iterable[str],
    since_ms: int,
) -> None:
    """Adds the breaks of a request, the latest one so many ms ago."""
    known, known_ms = table.get(digest, (frozenset[str](), since_ms))
    table[digest] = (known | frozenset(causes), min(known_ms, since_ms))


def add_counts(
    totals: dict[str, int], entries: Iterable[tuple[str, int]]
) -> None:
    """Adds the counts of a report to a sum."""
    for name, count in entries:
        totals[name] = totals.get(name, 0) + count


def keep_smallest(table: dict[Key, Value], key: Key, value: Value) -> None:
    """Keeps the smallest value of a key."""
    table[key] = min(value, table.get(key, value))


class UsageCounter:
    """Tokens admitted for one account by several hosts.

    Attributes:
        value: Tokens admitted.
        before_window: Value before the changes that are reported at present.
        changed_at: Instant of the last change, in seconds.
        window: Number of the reported window; grows with each new one.
    """

    def __init__(self) -> None:
        self.value = 0
        self.before_window = 0
        self.changed_at = float("-inf")
        self.window = 0


class MemberCounter:
    """Part of a `UsageCounter` that one member admitted.

    Attributes:
        value: Tokens admitted by the member.
        before_window: Value before the window of the counter.
        window: Window of the counter in which the member's value last changed.
    """

    def __init__(self) -> None:
        self.value = 0
        self.before_window = 0
        self.window = -1


class UsageTotals:
    """Usage of accounts by many hosts, as counters of this host.

    Counters of hosts that come and go can't be added up: a host that restarts
    or moves to another relay begins anew. Their differences can.

    Args:
        monotonic: Returns the time in seconds.

    Attributes:
        counters: Counters by account.
        members: Parts of the counters by member and account.
        known: Last reported value by source and account.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.counters: dict[str, UsageCounter] = {}
        self.members: dict[str, dict[str, MemberCounter]] = {}
        self.known: dict[str, dict[str, int]] = {}

    def differences(
        self,
        source: str,
        usage: Iterable[tuple[str, int, int]],
        continuous: bool,
    ) -> dict[str, int]:
        """Returns what a source admitted since its previous report.

        Args:
            source: Name of the source.
            usage: Account, value before the reported window, value.
            continuous: Whether this report continues the previous one; if not,
                its values only become the base of the next differences.
        """
        known = self.known.get(source, {}) if continuous else {}
        current = {}
        differences = {}
        for account, before_window, value in usage:
            current[account] = value
            difference = value - known.get(account, before_window)
            if continuous and difference:
                differences[account] = difference
        self.known[source] = current
        return differences

    def add(self, differences: dict[str, int], member: str = "") -> None:
        """Adds differences to the counters.

        Args:
            differences: Tokens by account; negative for refunds.
            member: Member that admitted them; empty if it needn't be known.
        """
        now = self.monotonic()
        for account, tokens in differences.items():
            counter = self.counters.setdefault(account, UsageCounter())
            if now - counter.changed_at > USAGE_WINDOW_S:
                counter.before_window = counter.value
                counter.window += 1
            counter.value += tokens
            counter.changed_at = now
            if not member:
                continue
            parts = self.members.setdefault(member, {})
            part = parts.setdefault(account, MemberCounter())
            if part.window != counter.window:
                part.before_window = part.value
                part.window = counter.window
            part.value += tokens

    def usage(self, without: str = "") -> list[tuple[str, int, int]]:
        """Returns the accounts that changed within the window.

        Args:
            without: Member whose own part is left out; empty for none.

        Returns:
            Account, value before the window, value.
        """
        oldest = self.monotonic() - USAGE_WINDOW_S
        parts = self.members.get(without, {})
        result = []
        for account, counter in self.counters.items():
            if counter.changed_at < oldest:
                continue
            value, before = counter.value, counter.before_window
            part = parts.get(account)
            if part is not None:
                value -= part.value
                before -= (
                    part.before_window
                    if part.window == counter.window
                    else part.value
                )
            result.append((account, before, value))
        return result

    def forget(self, source: str) -> None:
        """Drops what is known of a source that left; the counters stay.

        The part of a member stays as well: its values were told to the member
        only, which begins anew if it comes back.
        """
        self.known.pop(source, None)
