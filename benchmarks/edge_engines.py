"""Models prefill and decode engines in steps of simulated time.

The figures are those that the users document for their engines: a prefill
engine reads 55.6 prompt tokens per millisecond; a decode engine reads half as
many, and its streams pause meanwhile. A decode step takes 0.65 ms plus 0.03 ms
for each stream, and an event carries 50 tokens.
"""

from __future__ import annotations

import collections

STEP_S = 0.01
READ_TOKENS_PER_S = 55555.0
DECODE_READ_FACTOR = 0.5
DECODE_STEP_S = 0.00065
DECODE_STREAM_S = 0.00003
EVENT_TOKENS = 50


class Stream:
    """Progress of a request at the engines.

    Args:
        prompt: Prompt tokens.
        output: Output tokens.

    Attributes:
        unprefilled: Prompt tokens that no engine has read yet.
        produced: Output tokens so far.
        events: Events sent so far.
        first_event_at: Instant of the first event in seconds, None before.
        last_event_at: Instant of the last event in seconds.
        longest_gap: Longest time between two events in seconds.
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

    def count_events(self, now: float) -> None:
        """Counts the events for the tokens produced so far, at time `now`."""
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
    """Prefill engine that reads its queued prompts one after the other."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: collections.deque[Stream] = collections.deque()

    def step(self) -> None:
        """Advances the engine by `STEP_S`."""
        remaining = READ_TOKENS_PER_S * STEP_S
        while self.queue and remaining > 0:
            stream = self.queue[0]
            tokens = min(remaining, stream.unprefilled)
            stream.unprefilled -= tokens
            remaining -= tokens
            if stream.unprefilled <= 0:
                self.queue.popleft()


class DecodeEngine:
    """Decode engine with limited memory and slots.

    Args:
        name: Id of the engine.
        memory_tokens: Capacity in tokens of prompts and outputs.
        slots: Capacity in streams.
    """

    def __init__(self, name: str, memory_tokens: int, slots: int) -> None:
        self.name = name
        self.memory_tokens = memory_tokens
        self.slots = slots
        self.streams: list[Stream] = []

    def accepts(self, stream: Stream) -> bool:
        """Returns whether memory and slots suffice for another stream."""
        used = sum(each.prompt + each.produced for each in self.streams)
        fits = used + stream.prompt <= self.memory_tokens
        return fits and len(self.streams) < self.slots

    def step(self, now: float) -> None:
        """Advances the engine by `STEP_S` and removes finished streams."""
        remaining = STEP_S
        rate = READ_TOKENS_PER_S * DECODE_READ_FACTOR
        for stream in self.streams:
            if stream.unprefilled > 0 and remaining > 0:
                tokens = min(stream.unprefilled, remaining * rate)
                stream.unprefilled -= tokens
                remaining -= tokens / rate
        running = [each for each in self.streams if each.unprefilled <= 0]
        if running and remaining > 0:
            tokens = remaining / (
                DECODE_STEP_S + DECODE_STREAM_S * len(running)
            )
            for stream in running:
                stream.produced += tokens
                stream.count_events(now)
        self.streams = [each for each in self.streams if not each.finished]
