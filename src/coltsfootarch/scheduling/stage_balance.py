"""Balance of a service's engines between the prefill and the decode stage.

Engines may leave or crash in one stage while the other has spare capacity, and
traffic may shift between long prompts and long answers. The sustainable request
rate of a service is limited by the slower stage. It is estimated from the mean
demand of recent requests, and engines change their stage if that raises it
enough.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.fleet import upstreams
from coltsfootarch.scheduling import local_prefill

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch.fleet import policy

# Weight of the newest request in the mean demand.
NEW_SAMPLE_WEIGHT = 0.05
# Requests that must have been recorded before engines change their stage.
MIN_SAMPLES = 3
# Minimum factor by which a change must raise the sustainable rate, since an
# engine that changes its stage is unavailable for several seconds. The factor
# is smaller than the gain from one engine in six.
MIN_GAIN = 1.2
# Minimum gain and number of engines for a change from decode to prefill. The
# limits are stricter because decode engines can prefill prompts themselves
# while there are too few prefill engines.
MIN_GAIN_TO_PREFILL = 2.0
MIN_ENGINES_TO_PREFILL = 6
# With at least this many decode engines, a service without any prefill engine
# gets one regardless of the load. Otherwise decode engines would prefill
# prompts between the tokens of other requests, and most streams would pause too
# long.
MIN_DECODES_WITHOUT_PREFILL = 2
# Engines change their stage only if the offered rate is at least this fraction
# of the sustainable rate.
MIN_UTILIZATION = 0.5
# Usable fraction of a prefill engine's time; prompts arrive unevenly.
MAX_PREFILL_UTILIZATION = 0.8
# Maximum fraction of a decode engine's time for prefilling prompts itself.
MAX_LOCAL_PREFILL_FRACTION = 0.25
# Mean fraction of an engine's memory in use while it is full.
FULL_MEMORY_UTILIZATION = 0.9


class StageChange(NamedTuple):
    """A change of the stage of some engines.

    Attributes:
        service: Name of the service.
        engines: Engines that should change their stage.
        stage: Their new stage.
        gain: Factor by which the sustainable rate grows.
    """

    service: str
    engines: tuple[upstreams.Upstream, ...]
    stage: upstreams.Stage
    gain: float


class MeanDemand:
    """Mean demand of a service's requests.

    The means weight recent requests more.

    Attributes:
        samples: Number of recorded requests.
        prefill_s: Mean time on a prefill engine, in seconds.
        decode_s: Mean time for which a request occupies memory on a decode
            engine, in seconds.
        memory_tokens: Mean size of that memory, in tokens.
    """

    def __init__(self) -> None:
        self.samples = 0
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.memory_tokens = 0.0

    def record(
        self, prefill_s: float, decode_s: float, memory_tokens: int
    ) -> None:
        """Adds a request that ran in both stages to the means.

        Args:
            prefill_s: Time that it took on a prefill engine, in seconds.
            decode_s: Time for which it occupied memory on a decode engine, in
                seconds.
            memory_tokens: Size of that memory, in tokens.
        """
        self.samples += 1
        weight = max(NEW_SAMPLE_WEIGHT, 1 / self.samples)
        self.prefill_s += weight * (prefill_s - self.prefill_s)
        self.decode_s += weight * (decode_s - self.decode_s)
        self.memory_tokens += weight * (memory_tokens - self.memory_tokens)


class StageBalancer:
    """Decides which engines should change their stage."""

    def __init__(self) -> None:
        self.mean_demands: dict[str, MeanDemand] = {}

    def record(
        self,
        service: str,
        prefill_s: float,
        decode_s: float,
        memory_tokens: int,
    ) -> None:
        """Records the demand of a request; see `MeanDemand.record`."""
        demand = self.mean_demands.setdefault(service, MeanDemand())
        demand.record(prefill_s, decode_s, memory_tokens)

    def sustainable_rate(
        self, service: policy.Service, prefills: int, decodes: int
    ) -> float:
        """Returns the sustainable rate of a service in requests per second.

        Args:
            service: The service.
            prefills: Number of prefill engines.
            decodes: Number of decode engines.
        """
        demand = self.mean_demands[service.name]
        engine = service.engine
        if engine is None:
            return 0.0
        concurrent_requests = min(
            engine.memory_tokens
            * FULL_MEMORY_UTILIZATION
            / max(demand.memory_tokens, 1.0),
            float(engine.slots),
        )
        prefill_s = max(demand.prefill_s, 0.001)
        engine_rate = concurrent_requests / max(demand.decode_s, 0.001)
        decode_rate = decodes * engine_rate
        prefill_rate = prefills * MAX_PREFILL_UTILIZATION / prefill_s
        if prefill_rate >= decode_rate:
            return decode_rate
        # Decode engines prefill the remaining prompts. They generate nothing in
        # the meantime and can spend only part of their time on it.
        local_prefill_s = local_prefill.LOCAL_PREFILL_SLOWDOWN * prefill_s
        lost_requests = local_prefill_s * engine_rate
        return min(
            (decode_rate + lost_requests * prefill_rate) / (1 + lost_requests),
            prefill_rate
            + decodes * MAX_LOCAL_PREFILL_FRACTION / local_prefill_s,
        )

    def decide(
        self,
        service: policy.Service,
        engines: Sequence[upstreams.Upstream],
        requests_in_progress: int,
        load_of: Callable[[upstreams.Upstream], float] = lambda engine: 0.0,
    ) -> StageChange | None:
        """Returns the change of stage to make now, None if there is none.

        Args:
            service: A service with engines.
            engines: Its ready engines.
            requests_in_progress: Requests that run on its decode engines or
                wait for one.
            load_of: Returns the load of an engine; the least loaded engines
                change their stage.
        """

        def least_loaded(
            stage: upstreams.Stage, count: int
        ) -> tuple[upstreams.Upstream, ...]:
            matching = [each for each in engines if each.stage is stage]
            matching.sort(key=lambda each: (load_of(each), each.id))
            return tuple(matching[:count])

        prefills = sum(
            engine.stage is upstreams.Stage.PREFILL for engine in engines
        )
        decodes = sum(
            engine.stage is upstreams.Stage.DECODE for engine in engines
        )
        total = prefills + decodes
        if not prefills and decodes >= MIN_DECODES_WITHOUT_PREFILL:
            return StageChange(
                service.name,
                least_loaded(upstreams.Stage.DECODE, 1),
                upstreams.Stage.PREFILL,
                float("inf"),
            )
        demand = self.mean_demands.get(service.name)
        if demand is None or demand.samples < MIN_SAMPLES:
            return None
        if total < 2 or not decodes:
            return None
        current_rate = self.sustainable_rate(service, prefills, decodes)
        best_prefills = max(
            range(1, total),
            key=lambda count: self.sustainable_rate(
                service, count, total - count
            ),
        )
        best_rate = self.sustainable_rate(
            service, best_prefills, total - best_prefills
        )
        offered_rate = requests_in_progress / max(demand.decode_s, 0.001)
        gain = best_rate / current_rate if current_rate > 0 else float("inf")
        if (
            gain < MIN_GAIN
            or offered_rate < MIN_UTILIZATION * current_rate
            or best_prefills == prefills
        ):
            return None
        source, target = upstreams.Stage.PREFILL, upstreams.Stage.DECODE
        if best_prefills > prefills:
            if gain < MIN_GAIN_TO_PREFILL or total < MIN_ENGINES_TO_PREFILL:
                return None
            source, target = target, source
        count = min(abs(best_prefills - prefills), max(total // 8, 1))
        return StageChange(
            service.name, least_loaded(source, count), target, gain
        )
