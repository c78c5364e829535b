"""Choice of the prefill and decode engines of a request.

With long prompts and answers the memory of an engine is exhausted before its
slots. A decode engine therefore gets a request only if the tokens in progress
on all hosts leave enough memory for it, and a prefill starts only after that
memory has been reserved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.fleet import upstreams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from coltsfootarch.fleet import policy
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import local_prefill
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import sampling

# Fraction of an engine's memory that may be reserved. The rest absorbs answers
# that are longer than estimated and requests that other hosts place at the same
# time.
MAX_MEMORY_FRACTION = 0.92
# Mean fraction of an answer's tokens that is in memory, since the answer grows
# while it is generated.
MEAN_OUTPUT_FRACTION = 0.6
# Factor on the caller's estimate of the output, since answers are often longer.
# Without an estimate the declared maximum is used.
OUTPUT_ESTIMATE_FACTOR = 1.1
# Exponent of the success rate in the cost of an engine: a higher one penalizes
# failures more.
SUCCESS_EXPONENT = 4
# Number of prompts at a prefill engine from which on decode engines prefill
# some prompts themselves; each prompt takes about 0.1 s.
MAX_QUEUED_PROMPTS = 4
# Tokens added to the load of a prefill engine when engines are compared, so
# that the failures of an idle engine still count.
BASE_PREFILL_TOKENS = 1000
# Tokens added to the load of an engine in another availability zone when
# engines are compared.
REMOTE_ZONE_TOKENS = 200


class Demand(NamedTuple):
    """Resources that a request needs.

    Attributes:
        prompt_tokens: Size of its prompt.
        memory_tokens: Memory to reserve on the decode engine.
        event_gap_s: Maximum pause between events that callers of the service
            accept, in seconds.
        may_use_prefill_engine: Whether a prefill engine may process the prompt.
        version: Software version that the decode engine must have; None for a
            stream that hasn't begun.
    """

    prompt_tokens: int
    memory_tokens: int
    event_gap_s: float = float("inf")
    may_use_prefill_engine: bool = True
    version: str | None = None


class Placement(NamedTuple):
    """Engines chosen for a request.

    Attributes:
        prefill: Engine that prefills the prompt; None if the decode engine
            does.
        decode: Engine that generates the answer; without a prefill engine it
            also prefills the prompt.
        demand: Resources to reserve for the request.
        decode_load: Load of the decode engine before this request.
        view_age_s: Age of the oldest peer report in the load view, in seconds.
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
    """Returns the estimated demand of a request.

    Args:
        prompt_tokens: Declared prompt size.
        output_tokens: Declared maximum of generated tokens.
        likely_output_tokens: The caller's estimate of them; 0 if not given.
        event_gap_s: Maximum accepted pause between events, in seconds.
    """
    expected_output = output_tokens
    if likely_output_tokens:
        expected_output = min(
            int(likely_output_tokens * OUTPUT_ESTIMATE_FACTOR), output_tokens
        )
    memory_tokens = prompt_tokens + int(expected_output * MEAN_OUTPUT_FRACTION)
    return Demand(prompt_tokens, memory_tokens, event_gap_s)


def stage_of(engine: upstreams.Upstream) -> upstreams.Stage:
    """Returns the stage of an engine.

    An engine without a stage runs both and counts as a decode engine.
    """
    return engine.stage or upstreams.Stage.DECODE


def local_prefill_key(engine: upstreams.Upstream) -> str:
    """Returns the load-view key of prompts that a decode engine prefills."""
    return f"{engine.id}/prompt"


class EnginePlacer:
    """Chooses engines for requests from the registered ones.

    Args:
        directory: Registered upstreams.
        loads: Load of the engines over all hosts.
        tracker: Recent outcomes by engine.
        availability_zone: Zone of this host.
        sampler: Selects the engines that are compared.
        prefill_times: Measured prefill times.

    Attributes:
        may_begin: Returns whether a stream may begin at an engine's version.
        are_all_open: Returns whether it may at all engines of a service.
    """

    def __init__(
        self,
        directory: upstreams.UpstreamDirectory,
        loads: load_view.LoadView,
        tracker: outcomes.OutcomeTracker,
        availability_zone: str,
        sampler: sampling.Sampler,
        prefill_times: local_prefill.PrefillTimes,
    ) -> None:
        self.may_begin: Callable[[upstreams.Upstream], bool] = lambda _: True
        self.are_all_open: Callable[[str], bool] = lambda _: True
        self.sampler = sampler
        self.prefill_times = prefill_times
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
        """Returns engines for a request, None if there is no capacity.

        Args:
            service: A service with engines.
            demand: Resources that the request needs.
            excluded: Ids of engines on which the request failed.
        """
        engines = self.directory.candidates(service.name)
        prefill = None
        if demand.may_use_prefill_engine:
            prefill = self.choose_prefill(engines, excluded)
        decode = None
        if prefill is None or self.is_saturated(prefill):
            local_prefill_engines = self.local_prefill_engines(
                service.name, engines, demand
            )
            decode = self.choose_decode(
                service, local_prefill_engines, demand, excluded
            )
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

    def usable_engines(
        self,
        engines: Sequence[upstreams.Upstream],
        stage: upstreams.Stage,
        excluded: Collection[str],
    ) -> Sequence[upstreams.Upstream]:
        """Returns the engines of a stage that may get requests.

        Ejected engines are returned only if there is no other one.
        """
        candidates = [
            engine
            for engine in engines
            if stage_of(engine) is stage
            and engine.id not in excluded
            and not self.tracker.is_backing_off(engine.id)
        ]
        return self.tracker.prefer_usable(candidates)

    def choose_decode(
        self,
        service: policy.Service,
        engines: Sequence[upstreams.Upstream],
        demand: Demand,
        excluded: Collection[str],
    ) -> upstreams.Upstream | None:
        """Returns the lowest-cost decode engine that has capacity."""
        memory = float("inf")
        if service.engine is not None:
            memory = service.engine.memory_tokens * MAX_MEMORY_FRACTION
        fitting = engines
        if demand.version is not None or not self.are_all_open(service.name):
            fitting = [each for each in engines if self.fits(each, demand)]
        candidates = []
        for engine in self.usable_engines(
            fitting, upstreams.Stage.DECODE, excluded
        ):
            load = self.loads.load(engine.id)
            planned_tokens = load.tokens + demand.memory_tokens
            has_memory = planned_tokens <= memory or not load.requests
            if has_memory and load.requests < engine.slots:
                candidates.append(engine)
        return self.lowest_cost(candidates, demand.memory_tokens)

    def fits(self, engine: upstreams.Upstream, demand: Demand) -> bool:
        """Returns whether a stream may begin or go on at an engine."""
        if demand.version is None:
            return self.may_begin(engine)
        return engine.version == demand.version

    def lowest_cost(
        self, engines: Sequence[upstreams.Upstream], tokens: int
    ) -> upstreams.Upstream | None:
        """Returns the engine with the lowest cost of taking a request.

        The cost is the engine's load in tokens with the request, divided by a
        power of its success rate.

        Args:
            engines: Engines to choose from.
            tokens: Size of the request.
        """

        def cost(engine: upstreams.Upstream) -> float:
            load = self.loads.load(engine.id)
            work = load.tokens + tokens + self.zone_cost(engine)
            rate = self.tracker.success_rate(engine.id)
            return float(work / rate**SUCCESS_EXPONENT)

        return min(self.sampler.sample(engines), key=cost, default=None)

    def choose_prefill(
        self,
        engines: Sequence[upstreams.Upstream],
        excluded: Collection[str],
    ) -> upstreams.Upstream | None:
        """Returns the prefill engine with the lowest cost."""
        usable_engines = self.usable_engines(
            engines, upstreams.Stage.PREFILL, excluded
        )
        return self.lowest_cost(usable_engines, BASE_PREFILL_TOKENS)

    def is_saturated(self, engine: upstreams.Upstream) -> bool:
        """Returns whether a prefill engine has too many prompts queued."""
        return self.loads.load(engine.id).requests >= MAX_QUEUED_PROMPTS

    def local_prefill_engines(
        self,
        service: str,
        engines: Sequence[upstreams.Upstream],
        demand: Demand,
    ) -> list[upstreams.Upstream]:
        """Returns the engines that may prefill a prompt themselves.

        The pause in the streams of such an engine must be acceptable.

        Args:
            service: Name of the service.
            engines: Its engines.
            demand: Demand of the prompt's request.
        """
        pause_accepted = self.prefill_times.is_pause_accepted(
            service, demand.prompt_tokens, demand.event_gap_s
        )
        # With a single engine there is no other one without streams that could
        # prefill the prompt.
        pause_accepted = pause_accepted or len(engines) < 2
        return [
            engine
            for engine in engines
            # An engine without a stage is designed to prefill prompts while it
            # decodes.
            if engine.stage is None
            or (
                not self.is_running_local_prefill(engine)
                and (pause_accepted or not self.loads.load(engine.id).requests)
            )
        ]

    def is_running_local_prefill(self, engine: upstreams.Upstream) -> bool:
        """Returns whether a decode engine is prefilling a prompt itself."""
        return self.loads.load(local_prefill_key(engine)).requests > 0

    def zone_cost(self, engine: upstreams.Upstream) -> float:
        """Returns the cost of an engine's availability zone in tokens."""
        if engine.availability_zone == self.availability_zone:
            return 0.0
        return REMOTE_ZONE_TOKENS

    def decode_engines(
        self,
        service: str,
        excluded: Collection[str] = (),
        version: str | None = None,
    ) -> list[upstreams.Upstream]:
        """Returns the registered decode engines of a service.

        Args:
            service: Name of the service.
            excluded: Ids of engines to leave out.
            version: Software version that they must have; None for any.
        """
        return [
            engine
            for engine in self.directory.candidates(service)
            if stage_of(engine) is upstreams.Stage.DECODE
            and engine.id not in excluded
            and version in (None, engine.version)
        ]
