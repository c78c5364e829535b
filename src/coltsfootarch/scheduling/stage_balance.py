"""How many engines of a service should read prompts and how many generate.

Answers engines that leave or crash in one stage while the other has room, and
traffic that shifts between long prompts and long answers. The request rate
that a service can bear is the smaller of the rates of both stages, estimated
from what requests have needed lately.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.fleet import upstreams
from coltsfootarch.scheduling import prompt_reading

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch.fleet import policy

# Weight of the newest request in a mean.
WEIGHT = 0.05
# Requests that must have been seen before engines are moved.
MIN_SAMPLES = 3
# A move costs an engine for several seconds, so that it must raise the rate
# that can be borne by this factor. It is less than one of six engines adds.
MIN_GAIN = 1.2
# Without enough prefill engines decode engines read prompts themselves, so that
# engines are moved there for a larger gain only, and only in larger services.
MIN_GAIN_TO_PREFILL = 2.0
MIN_ENGINES_TO_PREFILL = 6
# Without any prefill engine most streams pause too long, as decode engines read
# prompts between the tokens of other requests.
MIN_DECODES_WITHOUT_PREFILL = 2
# Engines are only moved while the scarcer stage is used to this part.
MIN_USE = 0.5
# Part of a prefill engine's time that can be planned: prompts arrive unevenly.
PREFILL_USE = 0.8
# Part of a decode engine's time in which it can read prompts itself.
READING_USE = 0.25
# Part of an engine's memory that requests take on average when it is full.
MEMORY_USE = 0.9


class Shift(NamedTuple):
    """Engines that should change their stage.

    Attributes:
        service: Name of the service.
        engines: The engines.
        stage: Stage that they should have.
        gain: Factor by which the rate that can be borne grows.
    """

    service: str
    engines: tuple[upstreams.Upstream, ...]
    stage: upstreams.Stage
    gain: float


class Needs:
    """Mean needs of a service's requests."""

    def __init__(self) -> None:
        self.samples = 0
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.memory_tokens = 0.0

    def note(
        self, prefill_s: float, decode_s: float, memory_tokens: int
    ) -> None:
        """Counts a request that ran in both stages.

        Args:
            prefill_s: Time of a prefill engine that it took, in seconds.
            decode_s: Time for which it held memory at a decode engine.
            memory_tokens: That memory.
        """
        self.samples += 1
        weight = max(WEIGHT, 1 / self.samples)
        self.prefill_s += weight * (prefill_s - self.prefill_s)
        self.decode_s += weight * (decode_s - self.decode_s)
        self.memory_tokens += weight * (memory_tokens - self.memory_tokens)


class StageBalancer:
    """Decides which engines should change their stage."""

    def __init__(self) -> None:
        self.needs: dict[str, Needs] = {}

    def note(
        self,
        service: str,
        prefill_s: float,
        decode_s: float,
        memory_tokens: int,
    ) -> None:
        """Counts a request; see `Needs.note`."""
        needs = self.needs.setdefault(service, Needs())
        needs.note(prefill_s, decode_s, memory_tokens)

    def rate(
        self, service: policy.Service, prefills: int, decodes: int
    ) -> float:
        """Returns the requests a second that engines can bear.

        Args:
            service: The service.
            prefills: Number of prefill engines.
            decodes: Number of decode engines.
        """
        needs = self.needs[service.name]
        engine = service.engine
        if engine is None:
            return 0.0
        at_once = min(
            engine.memory_tokens * MEMORY_USE / max(needs.memory_tokens, 1.0),
            float(engine.slots),
        )
        prefill_s = max(needs.prefill_s, 0.001)
        engine_rate = at_once / max(needs.decode_s, 0.001)
        decode_rate = decodes * engine_rate
        prefill_rate = prefills * PREFILL_USE / prefill_s
        if prefill_rate >= decode_rate:
            return decode_rate
        # The other prompts are read at decode engines, which generate nothing
        # meanwhile and can't read all the time.
        reading_s = prompt_reading.READING_SLOWDOWN * prefill_s
        lost = reading_s * engine_rate
        return min(
            (decode_rate + lost * prefill_rate) / (1 + lost),
            prefill_rate + decodes * READING_USE / reading_s,
        )

    def decide(
        self,
        service: policy.Service,
        engines: Sequence[upstreams.Upstream],
        requests_in_progress: int,
        work: Callable[[upstreams.Upstream], float] = lambda engine: 0.0,
    ) -> Shift | None:
        """Returns the engines to move now, None if the stages are balanced.

        Args:
            service: A service with engines.
            engines: Its ready engines.
            requests_in_progress: Requests at its decode engines, with those
                that wait for one.
            work: Returns what an engine has to do; the idlest ones move.
        """

        def idlest(
            stage: upstreams.Stage, count: int
        ) -> tuple[upstreams.Upstream, ...]:
            found = [each for each in engines if each.stage is stage]
            found.sort(key=lambda each: (work(each), each.id))
            return tuple(found[:count])

        prefills = sum(
            engine.stage is upstreams.Stage.PREFILL for engine in engines
        )
        decodes = sum(
            engine.stage is upstreams.Stage.DECODE for engine in engines
        )
        total = prefills + decodes
        if not prefills and decodes >= MIN_DECODES_WITHOUT_PREFILL:
            return Shift(
                service.name,
                idlest(upstreams.Stage.DECODE, 1),
                upstreams.Stage.PREFILL,
                float("inf"),
            )
        needs = self.needs.get(service.name)
        if needs is None or needs.samples < MIN_SAMPLES:
            return None
        if total < 2 or not decodes:
            return None
        now = self.rate(service, prefills, decodes)
        best = max(
            range(1, total),
            key=lambda count: self.rate(service, count, total - count),
        )
        possible = self.rate(service, best, total - best)
        load = requests_in_progress / max(needs.decode_s, 0.001)
        gain = possible / now if now > 0 else float("inf")
        if gain < MIN_GAIN or load < MIN_USE * now or best == prefills:
            return None
        source, target = upstreams.Stage.PREFILL, upstreams.Stage.DECODE
        if best > prefills:
            if gain < MIN_GAIN_TO_PREFILL or total < MIN_ENGINES_TO_PREFILL:
                return None
            source, target = target, source
        count = min(abs(best - prefills), max(total // 8, 1))
        return Shift(service.name, idlest(source, count), target, gain)
