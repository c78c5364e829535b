"""When engines last sent something: which of them are silent at present.

An engine may send nothing for a second or two and go on. Its streams stay with
it until another engine can take them. Meanwhile it gets new requests only if no
other engine is usable, and no stream is moved to it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from coltsfootarch import clock as clocks

# Engines of which nothing was heard for longer than this are no longer treated
# as silent for a moment; the outcomes of their requests show what they are.
MAX_SILENCE_S = 4.0


@dataclasses.dataclass
class Silence:
    """Silence of an engine.

    Attributes:
        latest_at: Instant at which the latest stream was beyond its limit.
        streams: Number of streams that are beyond their limit.
    """

    latest_at: float
    streams: int = 0


class EngineActivity:
    """Streams of this host at engines, and when one was last heard of.

    Args:
        clock: Source of time.

    Attributes:
        streams: Number of streams with an event, by engine id.
        heard_at: Instant of the last bytes of any stream, by engine id.
        silences: Silences by engine id.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.streams: dict[str, int] = {}
        self.heard_at: dict[str, float] = {}
        self.silences: dict[str, Silence] = {}

    def start(self, engine: str) -> None:
        """Records the first event of a stream."""
        self.streams[engine] = self.streams.get(engine, 0) + 1

    def end(self, engine: str) -> None:
        """Records the end of a stream for which `start` was called."""
        remaining = self.streams.get(engine, 0) - 1
        if remaining > 0:
            self.streams[engine] = remaining
        else:
            self.streams.pop(engine, None)

    def hear(self, engine: str) -> None:
        """Records that an engine has sent something."""
        self.heard_at[engine] = self.clock.monotonic()

    def start_silence(self, engine: str) -> None:
        """Records that a stream is silent for longer than its limit."""
        now = self.clock.monotonic()
        silence = self.silences.setdefault(engine, Silence(now))
        silence.latest_at = now
        silence.streams += 1

    def end_silence(self, engine: str) -> None:
        """Records that such a stream has gone on, was moved or has ended."""
        silence = self.silences.get(engine)
        if silence is None:
            return
        silence.streams -= 1
        if silence.streams <= 0:
            del self.silences[engine]

    def is_silent(self, engine: str) -> bool:
        """Returns whether nothing was heard since streams fell silent."""
        silence = self.silences.get(engine)
        if silence is None:
            return False
        if self.heard_at.get(engine, float("-inf")) > silence.latest_at:
            # Only single streams are silent.
            return False
        return self.clock.monotonic() - silence.latest_at < MAX_SILENCE_S

    def is_pausing(self, engine: str, pause_s: float) -> bool:
        """Returns whether no stream of an engine was heard for a time.

        It shows a silence before the limit of a stream is reached.

        Args:
            engine: Id of the engine.
            pause_s: Longest usual pause between two events, in seconds.
        """
        if engine not in self.streams or engine not in self.heard_at:
            return False
        pause = self.clock.monotonic() - self.heard_at[engine]
        return pause_s < pause < MAX_SILENCE_S

    def retain_only(self, ids: Container[str]) -> None:
        """Removes what is known of all engines except the given ones."""
        for key in [key for key in self.heard_at if key not in ids]:
            if key not in self.streams:
                del self.heard_at[key]
