"""Model of prefill and decode engines in steps of virtual time.

Figures are those of the users' pages for their engines: a prompt is
prefilled at 55.6 tokens a millisecond by a prefill engine and at half of that
by a decode engine, whose streams pause meanwhile; a step of decoding takes
0.65 ms and 0.03 ms for each stream; an event carries 50 tokens.
"""

from __future__ import annotations

import collections

STEP_S = 0.01
READ_TOKENS_PER_S = 55555.0
OWN_READ_PART = 0.5
TOKEN_S = 0.00065
TOKEN_STREAM_S = 0.00003
EVENT_TOKENS = 50


class Stream:
    """A request at the engines.

    Args:
        prompt: Prompt tokens.
        output: Tokens of its answer.
    """

    def __init__(self, prompt: int, output: int) -> None:
        self.prompt = prompt
        self.output = output
        self.unprefilled = float(prompt)
        self.produced = 0.0
        self.events = 0
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.longest_gap = 0.0

    @property
    def finished(self) -> bool:
        return self.produced >= self.output

    def note_events(self, now: float) -> None:
        """Counts the events that the produced tokens make."""
        due = 1 + int(self.produced / EVENT_TOKENS)
        if self.produced <= 0 or due <= self.events:
            return
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.events = due
        self.last_event_at = now


class PrefillEngine:
    """Prefills prompts one after the other."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: collections.deque[Stream] = collections.deque()

    def step(self) -> None:
        """Works for one step."""
        left = READ_TOKENS_PER_S * STEP_S
        while self.queue and left > 0:
            stream = self.queue[0]
            part = min(left, stream.unprefilled)
            stream.unprefilled -= part
            left -= part
            if stream.unprefilled <= 0:
                self.queue.popleft()


class DecodeEngine:
    """Generates many streams at once in a bounded memory.

    Args:
        name: Its id.
        memory_tokens: Tokens of prompts and answers that fit.
        slots: Streams that fit.
    """

    def __init__(self, name: str, memory_tokens: int, slots: int) -> None:
        self.name = name
        self.memory_tokens = memory_tokens
        self.slots = slots
        self.streams: list[Stream] = []

    def accepts(self, stream: Stream) -> bool:
        """Returns whether there is room for a stream now."""
        used = sum(each.prompt + each.produced for each in self.streams)
        fits = used + stream.prompt <= self.memory_tokens
        return fits and len(self.streams) < self.slots

    def step(self, now: float) -> None:
        """Works for one step; streams that have ended leave."""
        left = STEP_S
        rate = READ_TOKENS_PER_S * OWN_READ_PART
        for stream in self.streams:
            if stream.unprefilled > 0 and left > 0:
                part = min(stream.unprefilled, left * rate)
                stream.unprefilled -= part
                left -= part / rate
        running = [each for each in self.streams if each.unprefilled <= 0]
        if running and left > 0:
            tokens = left / (TOKEN_S + TOKEN_STREAM_S * len(running))
            for stream in running:
                stream.produced += tokens
                stream.note_events(now)
        self.streams = [each for each in self.streams if not each.finished]
