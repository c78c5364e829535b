"""Parts of prompts on which engines crash, as observed by all hosts.

An engine may crash whenever it begins to generate on a prompt with a certain
part. The requests that carry the part differ otherwise and come to any host, so
that they can't be recognized by their content as a whole. After crashes of a
few engines they are refused, before they crash the next one.

A request can have caused the crash of its engine only if it had not generated
by then. One that has generated shows that none of its parts crashes engines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Events after which a stream shows that its prompt doesn't crash engines. The
# first event can be on its way when the engine crashes.
SOUND_EVENTS = 2
# Number of engines that must have crashed on a part before it is refused.
MIN_CRASHES = 2
# The number for a part with which requests generated within `SOUND_S`. Such a
# part is common: many engines run requests with it and crash for other reasons.
MIN_CRASHES_OF_SOUND_PART = 6
SOUND_S = 30.0
# Time after the last crash until a request with a refused part is tried again,
# which doubles with each trial that crashes an engine.
TRIAL_DELAY_S = 30.0
# Time after the last crash for which crashes are remembered.
RETENTION_S = 600.0
MAX_SUSPECTS = 300
MAX_SOUND_PARTS = 4096
# Every report has the crashes of this time, and some have the earlier ones too,
# from which a restarted host learns the refused parts.
RECENT_S = 3.0
REPORTS_PER_FULL_REPORT = 10
# Maximum number of entries of each kind in a report.
MAX_REPORTED = 8

logger = structlog.get_logger(__name__)


class Suspects(NamedTuple):
    """What a request has in common with others that may crash engines.

    Attributes:
        service: Its service.
        parts: Parts of its prompt that others may share.
    """

    service: str
    parts: frozenset[str]


class Crashes(NamedTuple):
    """Crashes of engines before requests with the same parts generated.

    Attributes:
        engines: Names of the incarnations that crashed.
        last_at: Monotonic instant of the latest crash, in seconds.
    """

    engines: frozenset[str]
    last_at: float


class CrashingParts:
    """Finds the parts that crash engines; a `reports.Participant`.

    Args:
        clock: Source of time.
        may_try: Returns whether this host may send a request with a refused
            part, to find out whether it still crashes engines; true on one of
            the hosts that reach each other.
        report_soon: Called after each crash, to report it early.

    Attributes:
        crashes: Crashes observed by any host.
        sound_at: Instant at which a request with a part last generated on any
            host, by service and part.
        own_sound_at: The same for this host, the longest ago first.
        cleared_at: Instant at which crashes on a part were dropped, by service
            and part.
        trials: Number of trials and instant of the last one, by service and
            part.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        may_try: Callable[[], bool] = lambda: True,
        report_soon: Callable[[], object] = lambda: None,
    ) -> None:
        self.clock = clock
        self.may_try = may_try
        self.report_soon = report_soon
        self.crashes: dict[Suspects, Crashes] = {}
        self.sound_at: dict[tuple[str, str], float] = {}
        self.own_sound_at: dict[tuple[str, str], float] = {}
        self.cleared_at: dict[tuple[str, str], float] = {}
        self.trials: dict[tuple[str, str], tuple[int, float]] = {}
        self.report_count = 0

    def record_crash(
        self, service: str, parts: Iterable[str], engine: str
    ) -> None:
        """Records that an engine crashed before a request generated.

        Args:
            service: Service of the request.
            parts: Parts of its prompt that others may share.
            engine: Name of the engine's incarnation.
        """
        suspects = Suspects(service, frozenset(parts))
        if not suspects.parts:
            return
        self.add_crashes(
            suspects, Crashes(frozenset({engine}), self.clock.monotonic())
        )
        logger.warning(
            "engine crashed before a request generated",
            service=service,
            engine=engine,
            crashed_engines={
                part: len(self.engines(service, part))
                for part in sorted(suspects.parts)
            },
        )
        self.report_soon()

    def add_crashes(self, suspects: Suspects, crashes: Crashes) -> None:
        """Adds crashes; those that are known already change nothing."""
        if self.is_cleared(suspects, crashes.last_at):
            return
        known = self.crashes.get(suspects)
        if known is not None:
            if crashes.engines <= known.engines:
                return
            crashes = Crashes(
                crashes.engines | known.engines,
                max(crashes.last_at, known.last_at),
            )
        self.crashes[suspects] = crashes
        if len(self.crashes) > MAX_SUSPECTS:
            del self.crashes[min(self.crashes, key=self.weight)]

    def weight(self, suspects: Suspects) -> tuple[int, float]:
        """Returns the sort key by which crashes are kept, least first."""
        crashes = self.crashes[suspects]
        return len(crashes.engines), crashes.last_at

    def record_sound(self, service: str, parts: Iterable[str]) -> None:
        """Records that a request generated, which clears its parts."""
        now = self.clock.monotonic()
        for part in parts:
            key = (service, part)
            self.own_sound_at.pop(key, None)  # Moves it to the end.
            self.own_sound_at[key] = now
            self.note_sound(key, now)
        while len(self.own_sound_at) > MAX_SOUND_PARTS:
            oldest = next(iter(self.own_sound_at))
            del self.own_sound_at[oldest]
            self.sound_at.pop(oldest, None)

    def note_sound(self, key: tuple[str, str], at: float) -> None:
        """Records the instant at which a request with a part generated."""
        self.sound_at[key] = max(at, self.sound_at.get(key, at))
        service, part = key
        for suspects in [
            suspects
            for suspects, crashes in self.crashes.items()
            if suspects.service == service
            and part in suspects.parts
            and self.is_cleared(suspects, crashes.last_at)
        ]:
            del self.crashes[suspects]
            now = self.clock.monotonic()
            self.cleared_at.update(
                ((service, each), now) for each in suspects.parts
            )
        if self.trials.pop(key, None) is not None:
            logger.info(
                "prompt part no longer refused", service=service, part=part
            )

    def is_cleared(self, suspects: Suspects, crashed_at: float) -> bool:
        """Returns whether requests with each part generated after a crash."""
        return all(
            self.sound_at.get((suspects.service, part), float("-inf"))
            >= crashed_at
            for part in suspects.parts
        )

    def is_refused(self, service: str, parts: Iterable[str]) -> bool:
        """Returns whether a request must not be sent to engines."""
        return bool(self.find_refused(service, parts))

    def find_refused(self, service: str, parts: Iterable[str]) -> str:
        """Returns a part for which a request must not be sent to engines.

        Args:
            service: Service of the request.
            parts: Parts of its prompt that others may share.

        Returns:
            The part; empty if the request may be sent.
        """
        if not self.crashes:
            return ""
        present = frozenset(parts)
        for part in sorted(present):
            count = len(self.engines(service, part))
            if count < self.min_crashes(service, part):
                continue
            # A part that isn't in this prompt and was there at each of the
            # crashes explains them as well.
            if self.companions(service, part) <= present:
                return part
        return ""

    def start_trial(self, service: str, parts: Iterable[str]) -> bool:
        """Returns whether a refused request may be sent as a trial.

        A part is tried at increasing intervals, since engines may have been
        mended, or may have crashed for another reason.
        """
        part = self.find_refused(service, parts)
        if not part or not self.may_try():
            return False
        key = (service, part)
        now = self.clock.monotonic()
        count, tried_at = self.trials.get(key, (0, float("-inf")))
        last_at = max(tried_at, self.last_crash_at(service, part))
        if now - last_at < TRIAL_DELAY_S * 2**count:
            return False
        self.trials[key] = (count + 1, now)
        logger.info(
            "request with a refused prompt part tried",
            service=service,
            part=part,
            trial=count + 1,
        )
        return True

    def retry_after(self, service: str, parts: Iterable[str]) -> float:
        """Returns the seconds until a refused part may be tried again."""
        part = self.find_refused(service, parts)
        tries_at = self.last_crash_at(service, part) + TRIAL_DELAY_S
        return max(tries_at - self.clock.monotonic(), 1.0)

    def suspected(self, service: str, part: str) -> dict[Suspects, Crashes]:
        """Returns the crashes after which no request with a part generated."""
        sound_at = self.sound_at.get((service, part), float("-inf"))
        return {
            suspects: crashes
            for suspects, crashes in self.crashes.items()
            if suspects.service == service
            and part in suspects.parts
            and crashes.last_at > sound_at
        }

    def last_crash_at(self, service: str, part: str) -> float:
        """Returns the instant of the last crash on a suspected part."""
        return max(
            (each.last_at for each in self.suspected(service, part).values()),
            default=float("-inf"),
        )

    def engines(self, service: str, part: str) -> frozenset[str]:
        """Returns the engines that crashed on a suspected part."""
        crashes = self.suspected(service, part).values()
        return frozenset().union(*(each.engines for each in crashes))

    def companions(self, service: str, part: str) -> frozenset[str]:
        """Returns the suspected parts that were there at each crash on one.

        Args:
            service: Service of the requests.
            part: A part on which engines crashed.
        """
        sets = [each.parts for each in self.suspected(service, part)]
        return frozenset(
            other
            for other in frozenset.intersection(*sets) - {part}
            if len(self.engines(service, other)) >= MIN_CRASHES
        )

    def min_crashes(self, service: str, part: str) -> int:
        """Returns the number of crashed engines from which to refuse a part."""
        sound_at = self.sound_at.get((service, part), float("-inf"))
        if self.clock.monotonic() - sound_at < SOUND_S:
            return MIN_CRASHES_OF_SOUND_PART
        return MIN_CRASHES

    def expire(self) -> None:
        """Removes what is older than `RETENTION_S`."""
        oldest = self.clock.monotonic() - RETENTION_S
        for suspects in [
            suspects
            for suspects, crashes in self.crashes.items()
            if crashes.last_at < oldest
        ]:
            del self.crashes[suspects]
        for key in [key for key, at in self.sound_at.items() if at < oldest]:
            del self.sound_at[key]
            self.own_sound_at.pop(key, None)
        recent = self.clock.monotonic() - RECENT_S
        for key in [key for key, at in self.cleared_at.items() if at < recent]:
            del self.cleared_at[key]
        for key in [key for key, (_, at) in self.trials.items() if at < oldest]:
            del self.trials[key]

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds crashes and sound parts; see `reports.Participant`."""
        if not self.crashes and not self.cleared_at:
            return report
        now = self.clock.monotonic()
        self.report_count += 1
        is_full = self.report_count % REPORTS_PER_FULL_REPORT == 0
        entries = sorted(
            (
                (suspects, crashes)
                for suspects, crashes in self.crashes.items()
                if is_full or now - crashes.last_at < RECENT_S
            ),
            key=lambda entry: self.weight(entry[0]),
            reverse=True,
        )[:MAX_REPORTED]
        suspected = {
            (suspects.service, part)
            for suspects, _ in entries
            for part in suspects.parts
        }
        # Peers may not know yet that these parts are sound.
        suspected.update(
            key for key, at in self.cleared_at.items() if now - at < RECENT_S
        )
        sound = sorted(
            (int((now - self.own_sound_at[key]) * 1000), *key)
            for key in suspected
            if key in self.own_sound_at
        )[:MAX_REPORTED]
        return report._replace(
            crashed_parts=tuple(
                (
                    suspects.service,
                    tuple(suspects.parts),
                    tuple(crashes.engines),
                    int((now - crashes.last_at) * 1000),
                )
                for suspects, crashes in entries
            ),
            sound_parts=tuple(
                (service, part, age_ms) for age_ms, service, part in sound
            ),
        )

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Adds a peer's crashes and sound parts; see `reports.Participant`."""
        del continuous  # Crashes that are known already change nothing.
        now = self.clock.monotonic()
        for service, parts, engines, age_ms in report.crashed_parts:
            self.add_crashes(
                Suspects(service, frozenset(parts)),
                Crashes(frozenset(engines), now - age_ms / 1000),
            )
        for service, part, age_ms in report.sound_parts:
            self.note_sound((service, part), now - age_ms / 1000)
