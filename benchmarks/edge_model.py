"""Load played against the decisions of entry hosts, in virtual time.

The hosts' own code decides on placing, queueing, refusing and returning; the
engines are modelled, and hosts hear each other's reports every 0.1 s.
"""

from __future__ import annotations

import datetime
import math
import random
import types
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import edge_engines
from coltsfootarch import clock as clocks
from coltsfootarch.fleet import policy
from coltsfootarch.fleet import reports
from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import generation_pipeline
from coltsfootarch.forwarding import generations
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import refusals
from coltsfootarch.scheduling import sampling

if TYPE_CHECKING:
    from collections.abc import Sequence

REPORT_S = 0.1
OBJECTIVE_S = 0.9
GAP_S = 0.3
TIMEOUT_S = 14.0
# Callers wait for 0.85 to 1 of the route's timeout, and come back once.
SHORTEST_DEADLINE = 0.85
MEMORY_TOKENS = 85937
SLOTS = 64
MEAN_PROMPT = 5000
LONGEST_PROMPT = 11000
MEAN_OUTPUT = 3500
LONGEST_OUTPUT = 6500
SPREAD = 0.5
# Time in which a decode engine fetches a prompt's memory.
FETCH_S = 0.005

SERVICE = policy.Service(
    "llm",
    100,
    policy.EngineLimits(SLOTS, MEMORY_TOKENS, 18432, 0.5),
)
ROUTE = policy.Route(
    "write",
    "api.example",
    "/write/",
    policy.Repeat.STREAM,
    TIMEOUT_S,
    OBJECTIVE_S,
    1,
    (policy.Target("llm", 1.0),),
    2,
    event_gap_s=GAP_S,
)


class Case(NamedTuple):
    """A load.

    Attributes:
        rates: Requests a second, in each second of the run.
        prefills: Number of prefill engines.
        decodes: Number of decode engines.
        hosts: Number of hosts.
        seed: Seed of the load.
    """

    rates: Sequence[float]
    prefills: int
    decodes: int
    hosts: int = 7
    seed: int = 1


class Result(NamedTuple):
    """What callers got.

    Attributes:
        asked: Requests, without those that came back.
        in_time: Answered within the objective and without a long pause.
        late: Answered whole, but late or with a long pause.
        refused: Refused for good, or left by their callers.
        wasted_prefill_tokens: Prompt tokens whose engine refused the request.
        slow_start_s: Time to the first event that 5 of 100 answered requests
            exceed, from their first attempt on, in seconds.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    wasted_prefill_tokens: int
    slow_start_s: float


class Request:
    """One request of a caller, over its two attempts.

    Args:
        number: Its number.
        prompt: Prompt tokens.
        output: Tokens of its answer.
        arrived_at: Instant of its first attempt, in seconds.
        patience_s: Time that its caller waits for all of it.
    """

    def __init__(
        self,
        number: int,
        prompt: int,
        output: int,
        arrived_at: float,
        patience_s: float,
    ) -> None:
        self.number = number
        self.prompt = prompt
        self.output = output
        self.arrived_at = arrived_at
        self.patience_s = patience_s
        self.attempts = 0
        self.stream = edge_engines.Stream(prompt, output)

    def is_in_time(self) -> bool:
        first = self.stream.first_event_at
        return (
            self.stream.finished
            and first is not None
            and first - self.arrived_at <= OBJECTIVE_S
            and self.stream.longest_gap <= GAP_S
        )


class Attempt:
    """A request at one host.

    Args:
        request: The request.
        generation: Its state at the host.
        waiter: Its place in the queue.
        ends_at: Instant until which it waits there, in seconds.
    """

    def __init__(
        self,
        request: Request,
        generation: generations.Generation,
        waiter: dispatch_queue.Waiter,
        ends_at: float,
    ) -> None:
        self.request = request
        self.generation = generation
        self.waiter = waiter
        self.ends_at = ends_at
        self.ready_at = math.inf
        self.prefilling = False
        self.prompt_prefilled = False
        self.ahead = 0
        self.started_at = 0.0


class Host:
    """The decision code of one entry host."""

    def __init__(
        self, name: str, clock: clocks.ManualClock, count: int
    ) -> None:
        self.name = name
        self.clock = clock
        self.directory = upstreams.UpstreamDirectory(clock)
        self.loads = load_view.LoadView(clock)
        self.tracker = outcomes.OutcomeTracker(clock)
        self.prefill_times = local_prefill.PrefillTimes()
        self.backlog = backlog.Backlog(clock)
        self.refusals = refusals.RecentRefusals(clock)
        placer = engine_placement.EnginePlacer(
            self.directory,
            self.loads,
            self.tracker,
            "north",
            sampling.Sampler(lambda: count, random.Random(name)),
            self.prefill_times,
        )
        self.queue = dispatch_queue.DispatchQueue(
            placer, self.loads, self.backlog, clock
        )
        context = types.SimpleNamespace(
            clock=clock, queue=self.queue, refusals=self.refusals
        )
        self.pipeline = generation_pipeline.GenerationPipeline(context)  # type: ignore[arg-type]
        self.pipeline.generator = random.Random(f"return {name}")
        self.waiting: list[Attempt] = []
        self.running: list[Attempt] = []

    def participants(self) -> tuple[reports.Participant, ...]:
        return (self.loads, self.tracker, self.backlog, self.refusals)

    def report(self) -> reports.Report:
        report = reports.empty_report(self.name, 1, 1)
        for participant in self.participants():
            report = participant.add_to_report(report)
        return report

    def apply_report(self, report: reports.Report) -> None:
        for participant in self.participants():
            participant.apply_report(report, True)


class Model:
    """Plays one case.

    Args:
        case: The load.
    """

    def __init__(self, case: Case) -> None:
        self.case = case
        self.generator = random.Random(case.seed)
        self.clock = clocks.ManualClock()
        self.prefills = {
            name: edge_engines.PrefillEngine(name)
            for name in (f"p-{number}" for number in range(case.prefills))
        }
        self.decodes = {
            name: edge_engines.DecodeEngine(name, MEMORY_TOKENS, SLOTS)
            for name in (f"d-{number}" for number in range(case.decodes))
        }
        self.hosts = [
            Host(f"h-{number}", self.clock, case.hosts)
            for number in range(case.hosts)
        ]
        for host in self.hosts:
            host.directory.replace(self.registered())
        self.requests: list[Request] = []
        self.returning: list[tuple[float, Request]] = []
        self.wasted_prefill_tokens = 0

    def registered(self) -> dict[str, upstreams.Upstream]:
        stages = dict.fromkeys(self.prefills, upstreams.Stage.PREFILL)
        stages |= dict.fromkeys(self.decodes, upstreams.Stage.DECODE)
        return {
            name: upstreams.Upstream(
                name, "llm", f"10.0.0.1:{number}", "north", True, SLOTS, stage
            )
            for number, (name, stage) in enumerate(stages.items())
        }

    def play(self) -> Result:
        """Plays the load and what is left of it afterwards."""
        started = self.clock.monotonic()
        length = len(self.case.rates)
        next_report = started
        while True:
            now = self.clock.monotonic()
            elapsed = now - started
            if elapsed < length:
                self.arrive(now, self.case.rates[int(elapsed)])
            elif self.is_idle():
                break
            self.come_back(now)
            if now >= next_report:
                self.exchange_reports()
                next_report += REPORT_S
            self.work(now)
            for host in self.hosts:
                self.serve(host, now)
            self.clock.advance(datetime.timedelta(seconds=edge_engines.STEP_S))
        return self.result()

    def is_idle(self) -> bool:
        return not self.returning and not any(
            host.waiting or host.running for host in self.hosts
        )

    def result(self) -> Result:
        in_time = sum(each.is_in_time() for each in self.requests)
        whole = sum(each.stream.finished for each in self.requests)
        return Result(
            len(self.requests),
            in_time,
            whole - in_time,
            len(self.requests) - whole,
            self.wasted_prefill_tokens,
            self.slow_start(),
        )

    def slow_start(self) -> float:
        waits = sorted(
            each.stream.first_event_at - each.arrived_at
            for each in self.requests
            if each.stream.first_event_at is not None
        )
        return waits[len(waits) * 95 // 100] if waits else 0.0

    def draw(self, mean: float, most: int) -> int:
        sigma = math.sqrt(math.log(1 + SPREAD**2))
        size = self.generator.lognormvariate(
            math.log(mean) - sigma**2 / 2, sigma
        )
        return max(min(int(size), most), 50)

    def arrive(self, now: float, rate: float) -> None:
        """Starts the requests of one step."""
        if self.generator.random() >= rate * edge_engines.STEP_S:
            return
        request = Request(
            len(self.requests),
            self.draw(MEAN_PROMPT, LONGEST_PROMPT),
            self.draw(MEAN_OUTPUT, LONGEST_OUTPUT),
            now,
            TIMEOUT_S * self.generator.uniform(SHORTEST_DEADLINE, 1.0),
        )
        self.requests.append(request)
        self.send(request, now)

    def come_back(self, now: float) -> None:
        due = [each for at, each in self.returning if at <= now]
        self.returning = [each for each in self.returning if each[0] > now]
        for request in due:
            self.send(request, now)

    def exchange_reports(self) -> None:
        written = [host.report() for host in self.hosts]
        for host in self.hosts:
            for report in written:
                if report.host != host.name:
                    host.apply_report(report)

    def send(self, request: Request, now: float) -> None:
        """Sends a request to a host, which places, holds or refuses it."""
        host = self.generator.choice(self.hosts)
        request.attempts += 1
        left = request.arrived_at + request.patience_s - now
        call = calls.Call(
            calls.CallerRequest(
                f"r{request.number}.{request.attempts}",
                "POST",
                f"/write/{request.number}",
                "api.example",
                "",
                left,
                request.prompt,
                LONGEST_OUTPUT,
                request.output,
                "",
                (),
                b"",
                now,
            ),
            ROUTE,
            "llm",
            "",
            1,
            cancellation.Cancellation(),
            None,  # type: ignore[arg-type]
        )
        generation = generations.Generation(
            call, SERVICE, host.refusals.was_refused(call.digest)
        )
        waiter = dispatch_queue.Waiter(
            SERVICE,
            generation.demand,
            frozenset(),
            1,
            now,
            now + OBJECTIVE_S,
            generation.is_retry,
        )
        wait = host.pipeline.max_wait_s(generation)
        attempt = Attempt(request, generation, waiter, now + wait)
        host.queue.waiters.append(waiter)
        host.queue.place_waiting()
        if waiter.placement is None and wait <= 0:
            self.refuse(host, attempt, now)
            return
        if not waiter.is_retry:
            host.backlog.add_waiting("llm")
        host.waiting.append(attempt)

    def refuse(self, host: Host, attempt: Attempt, now: float) -> None:
        host.queue.withdraw(attempt.waiter)
        request = attempt.request
        retry_after = host.pipeline.retry_after(attempt.generation)
        host.refusals.record(attempt.generation.call.digest)
        if request.attempts == 1:
            self.returning.append((now + retry_after, request))

    def serve(self, host: Host, now: float) -> None:
        """Starts what was placed and refuses what waited too long."""
        for attempt in tuple(host.waiting):
            placed = attempt.waiter.placement is not None
            if not placed and now < attempt.ends_at:
                continue
            host.waiting.remove(attempt)
            if not attempt.waiter.is_retry:
                host.backlog.remove_waiting("llm")
            if placed:
                self.start(host, attempt, now)
            else:
                self.refuse(host, attempt, now)
        for attempt in tuple(host.running):
            self.go_on(host, attempt, now)

    def start(self, host: Host, attempt: Attempt, now: float) -> None:
        placement = attempt.waiter.placement
        assert placement is not None
        attempt.started_at = now
        attempt.ready_at = now
        host.running.append(attempt)
        if placement.prefill is None:
            return
        attempt.prefilling = True
        attempt.ready_at = math.inf
        attempt.ahead = host.loads.load(placement.prefill.id).requests
        host.loads.add(placement.prefill.id, attempt.request.prompt)
        self.prefills[placement.prefill.id].queue.append(attempt.request.stream)

    def go_on(self, host: Host, attempt: Attempt, now: float) -> None:
        """Moves a request from the prefill to the decode engine."""
        placement = attempt.waiter.placement
        assert placement is not None
        stream = attempt.request.stream
        if attempt.prefilling and stream.unprefilled <= 0:
            assert placement.prefill is not None
            attempt.prefilling = False
            attempt.ready_at = now + FETCH_S
            host.loads.remove(placement.prefill.id, attempt.request.prompt)
            took = (now - attempt.started_at) / (1 + attempt.ahead)
            host.prefill_times.record("llm", attempt.request.prompt, took)
        engine = self.decodes[placement.decode.id]
        if attempt.ready_at <= now:
            attempt.ready_at = math.inf
            if engine.accepts(stream):
                engine.streams.append(stream)
            else:
                self.wasted_prefill_tokens += int(
                    stream.prompt - stream.unprefilled
                )
                stream.unprefilled = stream.prompt
                host.tracker.record(
                    placement.decode.id, outcomes.Outcome.REFUSED
                )
                self.end(host, attempt)
                self.refuse(host, attempt, now)
                return
        if not attempt.prompt_prefilled and (
            stream.events >= decode_stage.EVENTS_BETWEEN_PROMPTS
        ):
            attempt.prompt_prefilled = True
            host.queue.finish_local_prefill(placement)
        if stream.finished:
            host.backlog.record_duration("llm", now - attempt.started_at)
            self.end(host, attempt)

    def end(self, host: Host, attempt: Attempt) -> None:
        placement = attempt.waiter.placement
        assert placement is not None
        host.running.remove(attempt)
        host.queue.release(placement, attempt.prompt_prefilled)

    def work(self, now: float) -> None:
        for prefill in self.prefills.values():
            prefill.step()
        for decode in self.decodes.values():
            decode.step(now)


def play(case: Case) -> Result:
    """Plays a case."""
    return Model(case).play()
