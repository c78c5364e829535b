"""Choice of the prefill and decode engines of a request.

Answers the load of long prompts and long answers on engines whose memory is
full before their slots are: a decode engine gets a request only while the
tokens in progress on all hosts leave room for it, and a prefill starts only
after that room has been reserved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.fleet import upstreams

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from coltsfootarch.fleet import policy
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import prompt_reading
    from coltsfootarch.scheduling import sampling

# Part of an engine's memory that is planned. The rest absorbs answers that are
# longer than estimated and requests placed by other hosts at the same time.
MEMORY_PART = 0.92
# An answer grows to its length while it runs, so that on average this part of
# its tokens is in memory.
GROWTH_PART = 0.6
# Answers are often longer than the estimate; without one the declared maximum
# is taken.
ESTIMATE_FACTOR = 1.1
# How strongly failures count against an engine.
SUCCESS_EXPONENT = 4
# Prompts at a prefill engine from which on decode engines read some themselves;
# each takes about a tenth of a second.
MAX_PROMPTS = 4
# Work that a prefill engine without any is taken to have, so that its failures
# still count.
MIN_PREFILL_TOKENS = 1000
# Tokens by which an engine in another availability zone counts as busier.
REMOTE_TOKENS = 200


class Demand(NamedTuple):
    """What a request needs.

    Attributes:
        prompt_tokens: Size of its prompt.
        memory_tokens: Memory to plan at the decode engine.
        event_gap_s: Longest pause between events that callers of the service
            accept, in seconds.
        prefill: Whether a prefill engine may read the prompt.
    """

    prompt_tokens: int
    memory_tokens: int
    event_gap_s: float = float("inf")
    prefill: bool = True


class Placement(NamedTuple):
    """Engines chosen for a request.

    Attributes:
        prefill: Engine that reads the prompt; None if the decode engine does.
        decode: Engine that generates; without a prefill engine it also reads
            the prompt.
        demand: What was planned there.
        decode_load: Work at the decode engine before this request.
        view_age_s: Age of the oldest peer report that was used, in seconds.
    """

    prefill: upstreams.Upstream | None
    decode: upstreams.Upstream
    demand: Demand
    decode_load: load_view.Load
    view_age_s: float


def estimate(
    prompt_tokens: int,
    output_tokens: int,
    likely_output_tokens: int,
    event_gap_s: float = float("inf"),
) -> Demand:
    """Returns the planned need of a request.

    Args:
        prompt_tokens: Declared prompt size.
        output_tokens: Declared maximum of generated tokens.
        likely_output_tokens: The caller's estimate; 0 if not given.
        event_gap_s: Longest pause between events, in seconds.
    """
    likely = output_tokens
    if likely_output_tokens:
        likely = min(int(likely_output_tokens * ESTIMATE_FACTOR), output_tokens)
    memory_tokens = prompt_tokens + int(likely * GROWTH_PART)
    return Demand(prompt_tokens, memory_tokens, event_gap_s)


def stage_of(engine: upstreams.Upstream) -> upstreams.Stage:
    """Returns the stage of an engine; one without a stage does both."""
    return engine.stage or upstreams.Stage.DECODE


def reading_key(engine: upstreams.Upstream) -> str:
    """Returns the key under which prompts that an engine reads are counted."""
    return f"{engine.id}/prompt"


class EnginePlacer:
    """Chooses engines from the registered ones.

    Args:
        directory: Registered upstreams.
        loads: Work in progress on all hosts.
        tracker: Recent outcomes.
        availability_zone: Zone of this host.
        sampler: Draws the engines that are compared.
        reading_times: How long prompts take.
    """

    def __init__(
        self,
        directory: upstreams.UpstreamDirectory,
        loads: load_view.LoadView,
        tracker: outcomes.OutcomeTracker,
        availability_zone: str,
        sampler: sampling.Sampler,
        reading_times: prompt_reading.ReadingTimes,
    ) -> None:
        self.sampler = sampler
        self.reading_times = reading_times
        self.directory = directory
        self.loads = loads
        self.tracker = tracker
        self.availability_zone = availability_zone

    def place(
        self,
        service: policy.Service,
        demand: Demand,
        excluded: Collection[str] = (),
    ) -> Placement | None:
        """Returns the engines for a request, None if none has room.

        Args:
            service: A service with engines.
            demand: What the request needs.
            excluded: Ids of engines that failed it.
        """
        engines = self.directory.candidates(service.name)
        prefill = None
        if demand.prefill:
            prefill = self.choose_prefill(engines, excluded)
        decode = None
        if prefill is None or self.is_crowded(prefill):
            readers = self.readers(service.name, engines, demand)
            decode = self.choose_decode(service, readers, demand, excluded)
            if decode is not None:
                prefill = None
        if decode is None and prefill is not None:
            decode = self.choose_decode(service, engines, demand, excluded)
        if decode is None:
            return None
        return Placement(
            prefill,
            decode,
            demand,
            self.loads.load(decode.id),
            self.loads.age(),
        )

    def usable(
        self,
        engines: Sequence[upstreams.Upstream],
        stage: upstreams.Stage,
        excluded: Collection[str],
    ) -> Sequence[upstreams.Upstream]:
        """Returns engines of a stage; ejected ones only if there's no other."""
        fitting = [
            engine
            for engine in engines
            if stage_of(engine) is stage
            and engine.id not in excluded
            and not self.tracker.is_refusing(engine.id)
        ]
        return self.tracker.preferred(fitting)

    def choose_decode(
        self,
        service: policy.Service,
        engines: Sequence[upstreams.Upstream],
        demand: Demand,
        excluded: Collection[str],
    ) -> upstreams.Upstream | None:
        """Returns the decode engine with the most room."""
        memory = float("inf")
        if service.engine is not None:
            memory = service.engine.memory_tokens * MEMORY_PART
        fitting = []
        for engine in self.usable(engines, upstreams.Stage.DECODE, excluded):
            load = self.loads.load(engine.id)
            planned = load.tokens + demand.memory_tokens
            has_memory = planned <= memory or not load.requests
            if has_memory and load.requests < engine.slots:
                fitting.append(engine)
        return self.cheapest(fitting, demand.memory_tokens)

    def cheapest(
        self, engines: Sequence[upstreams.Upstream], tokens: int
    ) -> upstreams.Upstream | None:
        """Returns the engine with the least work after a request.

        Args:
            engines: Engines to choose from.
            tokens: Size of the request.
        """

        def cost(engine: upstreams.Upstream) -> float:
            load = self.loads.load(engine.id)
            work = load.tokens + tokens + self.distance(engine)
            rate = self.tracker.success_rate(engine.id)
            return float(work / rate**SUCCESS_EXPONENT)

        return min(self.sampler.sample(engines), key=cost, default=None)

    def choose_prefill(
        self,
        engines: Sequence[upstreams.Upstream],
        excluded: Collection[str],
    ) -> upstreams.Upstream | None:
        """Returns the prefill engine with the fewest waiting tokens."""
        usable = self.usable(engines, upstreams.Stage.PREFILL, excluded)
        return self.cheapest(usable, MIN_PREFILL_TOKENS)

    def is_crowded(self, engine: upstreams.Upstream) -> bool:
        """Returns whether prompts wait too long at a prefill engine."""
        return self.loads.load(engine.id).requests >= MAX_PROMPTS

    def readers(
        self,
        service: str,
        engines: Sequence[upstreams.Upstream],
        demand: Demand,
    ) -> list[upstreams.Upstream]:
        """Returns the engines whose streams bear that they read a prompt.

        Args:
            service: Name of the service.
            engines: Its engines.
            demand: The prompt's request.
        """
        accepted = self.reading_times.is_accepted(
            service, demand.prompt_tokens, demand.event_gap_s
        )
        # Without a second engine there can't be one that only reads.
        accepted = accepted or len(engines) < 2
        return [
            engine
            for engine in engines
            # One without a stage is made for reading beside its streams.
            if engine.stage is None
            or (
                not self.is_reading(engine)
                and (accepted or not self.loads.load(engine.id).requests)
            )
        ]

    def is_reading(self, engine: upstreams.Upstream) -> bool:
        """Returns whether a decode engine reads a prompt itself."""
        return self.loads.load(reading_key(engine)).requests > 0

    def distance(self, engine: upstreams.Upstream) -> float:
        """Returns the cost of an engine's zone in tokens."""
        if engine.availability_zone == self.availability_zone:
            return 0.0
        return REMOTE_TOKENS

    def decode_engines(
        self, service: str, excluded: Collection[str] = ()
    ) -> list[upstreams.Upstream]:
        """Returns the registered decode engines of a service."""
        return [
            engine
            for engine in self.directory.candidates(service)
            if stage_of(engine) is upstreams.Stage.DECODE
            and engine.id not in excluded
        ]
