"""Simulates load on entry hosts, with the product's own decision code.

The product's code places, queues and refuses requests and tells callers when to
retry. The engines are the models of `edge_engines`, and the hosts exchange
reports every `REPORT_INTERVAL_S` of simulated time.
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
from coltsfootarch.limits import upstream_limits
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import refusals
from coltsfootarch.scheduling import sampling
from coltsfootarch.scheduling import upstream_notices

if TYPE_CHECKING:
    from collections.abc import Sequence

REPORT_INTERVAL_S = 0.1
FIRST_EVENT_TARGET_S = 0.9
EVENT_GAP_TARGET_S = 0.3
TIMEOUT_S = 14.0
# A caller waits for a random fraction of the route's timeout, between this and
# 1, and retries once.
MIN_DEADLINE_FRACTION = 0.85
MEMORY_TOKENS = 85937
SLOTS = 64
MEAN_PROMPT = 5000
LONGEST_PROMPT = 11000
MEAN_OUTPUT = 3500
LONGEST_OUTPUT = 6500
# Standard deviation of prompt and output lengths as a fraction of their mean.
LENGTH_SPREAD = 0.5
# Seconds that a decode engine needs to fetch the KV cache of a prompt.
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
    FIRST_EVENT_TARGET_S,
    1,
    (policy.Target("llm", 1.0),),
    2,
    event_gap_s=EVENT_GAP_TARGET_S,
)


class Case(NamedTuple):
    """A fleet and its load.

    Attributes:
        rates: Offered requests per second, for each second of the run.
        prefills: Number of prefill engines.
        decodes: Number of decode engines.
        hosts: Number of entry hosts.
        seed: Seed of the load.
    """

    rates: Sequence[float]
    prefills: int
    decodes: int
    hosts: int = 7
    seed: int = 1


class Result(NamedTuple):
    """Results for the callers.

    Attributes:
        requests: Number of requests; a retry does not count again.
        in_time: Requests answered within the latency targets.
        late: Requests answered completely, but not within the targets.
        refused: Requests refused for good or abandoned by their callers.
        wasted_prompt_tokens: Prompt tokens prefilled for requests that a
            decode engine then refused.
        first_event_p95_s: 95th percentile of the time from a request's first
            attempt to its first event, in seconds.
    """

    requests: int
    in_time: int
    late: int
    refused: int
    wasted_prompt_tokens: int
    first_event_p95_s: float


class Request:
    """Request of a caller, with up to two attempts.

    Args:
        number: Number of the request.
        prompt: Prompt tokens.
        output: Output tokens.
        arrived_at: Instant of its first attempt, in seconds.
        deadline_s: Seconds for which its caller waits for the whole answer.
    """

    def __init__(
        self,
        number: int,
        prompt: int,
        output: int,
        arrived_at: float,
        deadline_s: float,
    ) -> None:
        self.number = number
        self.prompt = prompt
        self.output = output
        self.arrived_at = arrived_at
        self.deadline_s = deadline_s
        self.attempts = 0
        self.stream = edge_engines.Stream(prompt, output)

    def is_in_time(self) -> bool:
        """Returns whether it was answered within the latency targets."""
        first = self.stream.first_event_at
        return (
            self.stream.finished
            and first is not None
            and first - self.arrived_at <= FIRST_EVENT_TARGET_S
            and self.stream.longest_gap <= EVENT_GAP_TARGET_S
        )


class Attempt:
    """Attempt of a request at one host.

    Args:
        request: The request.
        generation: State of the request in the host's pipeline.
        waiter: Entry in the host's dispatch queue.
        ends_at: Instant until which it waits in the queue, in seconds.

    Attributes:
        ready_at: Instant at which it can start to decode, in seconds; infinity
            before that is known and after decoding started.
        prefilling: Whether it is queued or running at a prefill engine.
        prompt_prefilled: Whether the queue was told that the prompt was
            prefilled.
        queued_ahead: Requests at the prefill engine when this one was added.
        started_at: Instant at which it left the queue, in seconds.
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
        self.queued_ahead = 0
        self.started_at = 0.0


class Host:
    """Decision code of one entry host, as the product runs it."""

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
            clock=clock,
            queue=self.queue,
            refusals=self.refusals,
            directory=self.directory,
            notices=upstream_notices.UpstreamNotices(
                clock, upstream_limits.UpstreamLimits(clock, lambda: 1.0)
            ),
        )
        self.pipeline = generation_pipeline.GenerationPipeline(context)  # type: ignore[arg-type]
        self.pipeline.generator = random.Random(f"return {name}")
        self.waiting: list[Attempt] = []
        self.running: list[Attempt] = []

    def participants(self) -> tuple[reports.Participant, ...]:
        """Returns the components that take part in reports."""
        return (self.loads, self.tracker, self.backlog, self.refusals)

    def report(self) -> reports.Report:
        """Returns the report for the other hosts."""
        report = reports.empty_report(self.name, 1, 1)
        for participant in self.participants():
            report = participant.add_to_report(report)
        return report

    def apply_report(self, report: reports.Report) -> None:
        """Applies the report of another host."""
        for participant in self.participants():
            participant.apply_report(report, True)


class Simulation:
    """Simulation of one case.

    Args:
        case: Fleet and load.

    Attributes:
        requests: All requests so far.
        pending_retries: Instant and request of each retry to come.
        wasted_prompt_tokens: See `Result`.
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
            host.directory.replace(self.upstreams_by_name())
        self.requests: list[Request] = []
        self.pending_retries: list[tuple[float, Request]] = []
        self.wasted_prompt_tokens = 0

    def upstreams_by_name(self) -> dict[str, upstreams.Upstream]:
        """Returns the engines as the hosts know them."""
        stages = dict.fromkeys(self.prefills, upstreams.Stage.PREFILL)
        stages |= dict.fromkeys(self.decodes, upstreams.Stage.DECODE)
        return {
            name: upstreams.Upstream(
                name, "llm", f"10.0.0.1:{number}", "north", True, SLOTS, stage
            )
            for number, (name, stage) in enumerate(stages.items())
        }

    def simulate(self) -> Result:
        """Runs until the load is over and all its requests have ended."""
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
            self.send_due_retries(now)
            if now >= next_report:
                self.exchange_reports()
                next_report += REPORT_INTERVAL_S
            self.step_engines(now)
            for host in self.hosts:
                self.process_attempts(host, now)
            self.clock.advance(datetime.timedelta(seconds=edge_engines.STEP_S))
        return self.result()

    def is_idle(self) -> bool:
        return not self.pending_retries and not any(
            host.waiting or host.running for host in self.hosts
        )

    def result(self) -> Result:
        in_time = sum(each.is_in_time() for each in self.requests)
        finished = sum(each.stream.finished for each in self.requests)
        return Result(
            len(self.requests),
            in_time,
            finished - in_time,
            len(self.requests) - finished,
            self.wasted_prompt_tokens,
            self.first_event_p95(),
        )

    def first_event_p95(self) -> float:
        """Returns the 95th percentile of the time to the first event."""
        waits = sorted(
            each.stream.first_event_at - each.arrived_at
            for each in self.requests
            if each.stream.first_event_at is not None
        )
        return waits[len(waits) * 95 // 100] if waits else 0.0

    def draw_length(self, mean: float, maximum: int) -> int:
        """Returns a log-normal number of tokens, between 50 and `maximum`."""
        sigma = math.sqrt(math.log(1 + LENGTH_SPREAD**2))
        size = self.generator.lognormvariate(
            math.log(mean) - sigma**2 / 2, sigma
        )
        return max(min(int(size), maximum), 50)

    def arrive(self, now: float, rate: float) -> None:
        """Adds the new request of this step, if one arrives."""
        if self.generator.random() >= rate * edge_engines.STEP_S:
            return
        request = Request(
            len(self.requests),
            self.draw_length(MEAN_PROMPT, LONGEST_PROMPT),
            self.draw_length(MEAN_OUTPUT, LONGEST_OUTPUT),
            now,
            TIMEOUT_S * self.generator.uniform(MIN_DEADLINE_FRACTION, 1.0),
        )
        self.requests.append(request)
        self.send(request, now)

    def send_due_retries(self, now: float) -> None:
        """Sends the retries that are due."""
        due = [each for at, each in self.pending_retries if at <= now]
        self.pending_retries = [
            each for each in self.pending_retries if each[0] > now
        ]
        for request in due:
            self.send(request, now)

    def exchange_reports(self) -> None:
        """Delivers a report of each host to all other hosts."""
        current_reports = [host.report() for host in self.hosts]
        for host in self.hosts:
            for report in current_reports:
                if report.host != host.name:
                    host.apply_report(report)

    def send(self, request: Request, now: float) -> None:
        """Sends a request to a host, which places, queues or refuses it."""
        host = self.generator.choice(self.hosts)
        request.attempts += 1
        remaining_s = request.arrived_at + request.deadline_s - now
        call = calls.Call(
            calls.CallerRequest(
                f"r{request.number}.{request.attempts}",
                "POST",
                f"/write/{request.number}",
                "api.example",
                "",
                remaining_s,
                request.prompt,
                LONGEST_OUTPUT,
                request.output,
                "",
                (),
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
            now + FIRST_EVENT_TARGET_S,
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
        """Refuses an attempt; the caller retries after the first one."""
        host.queue.withdraw(attempt.waiter)
        request = attempt.request
        retry_after = host.pipeline.retry_after(attempt.generation)
        host.refusals.record(attempt.generation.call.digest)
        if request.attempts == 1:
            self.pending_retries.append((now + retry_after, request))

    def process_attempts(self, host: Host, now: float) -> None:
        """Starts placed attempts and refuses those that waited too long."""
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
            self.advance_attempt(host, attempt, now)

    def start(self, host: Host, attempt: Attempt, now: float) -> None:
        """Starts a placed attempt at its prefill or decode engine."""
        placement = attempt.waiter.placement
        assert placement is not None
        attempt.started_at = now
        attempt.ready_at = now
        host.running.append(attempt)
        if placement.prefill is None:
            return
        attempt.prefilling = True
        attempt.ready_at = math.inf
        attempt.queued_ahead = host.loads.load(placement.prefill.id).requests
        host.loads.add(placement.prefill.id, attempt.request.prompt)
        self.prefills[placement.prefill.id].queue.append(attempt.request.stream)

    def advance_attempt(self, host: Host, attempt: Attempt, now: float) -> None:
        """Moves an attempt from prefill to decode; ends it when finished."""
        placement = attempt.waiter.placement
        assert placement is not None
        stream = attempt.request.stream
        if attempt.prefilling and stream.unprefilled <= 0:
            assert placement.prefill is not None
            attempt.prefilling = False
            attempt.ready_at = now + FETCH_S
            host.loads.remove(placement.prefill.id, attempt.request.prompt)
            # As in `PrefillStage.run`, the time is divided among the prompts
            # that the engine prefilled meanwhile.
            prefill_s = (now - attempt.started_at) / (1 + attempt.queued_ahead)
            host.prefill_times.record("llm", attempt.request.prompt, prefill_s)
        engine = self.decodes[placement.decode.id]
        if attempt.ready_at <= now:
            attempt.ready_at = math.inf
            if engine.accepts(stream):
                engine.streams.append(stream)
            else:
                self.wasted_prompt_tokens += int(
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
        """Releases the resources of a running attempt."""
        placement = attempt.waiter.placement
        assert placement is not None
        host.running.remove(attempt)
        host.queue.release(placement, attempt.prompt_prefilled)

    def step_engines(self, now: float) -> None:
        """Advances all engines by one step."""
        for prefill in self.prefills.values():
            prefill.step()
        for decode in self.decodes.values():
            decode.step(now)


def simulate(case: Case) -> Result:
    """Simulates a case and returns its results."""
    return Simulation(case).simulate()
