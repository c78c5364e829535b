"""Entry hosts of the policy benchmark: base class and the pool scheduler."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from benchmarks import policy_engines
from benchmarks import policy_workload
from coltsfootarch.config import register
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool
from coltsfootarch.scheduling import scheduler_client

if TYPE_CHECKING:
    from coltsfootarch.upstreams import engine

NETWORK_LATENCY_SECONDS = 0.001
FIRST_TOKEN_SECONDS = policy_workload.SERVICE.first_token_target.total_seconds()
RETRY_SECONDS = 0.2
MAX_ATTEMPTS = 20


class Outcome:
    """Progress and result of a request.

    Attributes:
        first_at: Instant of the first token at the caller, 0 before.
        done_at: Instant of the last token at the caller, 0 before.
        refused: Whether the request was refused without execution.
        emitted: Output tokens that the caller has from earlier attempts.
        attempt: Number of the current attempt, from 1.
    """

    def __init__(self, request: policy_workload.Request) -> None:
        self.request = request
        self.first_at = 0.0
        self.done_at = 0.0
        self.refused = False
        self.emitted = 0
        self.attempt = 0

    def meets_targets(self) -> bool:
        """Returns whether both latency targets were met."""
        if not self.done_at:
            return False
        wait = self.first_at - self.request.arrival
        tokens = max(1, self.request.output_tokens - 1)
        pace = (self.done_at - self.first_at) / tokens
        target = policy_workload.SERVICE.inter_token_target.total_seconds()
        return wait <= FIRST_TOKEN_SECONDS and pace <= target


class Hosts:
    """Base class with the engines, the outcomes and the retries.

    Args:
        loop: Event loop.
        upstreams: Engines.
        seed: Seed of the hosts' random choices.
    """

    def __init__(
        self,
        loop: policy_engines.Loop,
        upstreams: list[register.Upstream],
        seed: int,
    ) -> None:
        self.loop = loop
        self.generator = random.Random(f"hosts/{seed}")
        self.upstreams = {entry.name: entry for entry in upstreams}
        self.prefills = {
            entry.name: policy_engines.PrefillEngine(loop, entry)
            for entry in upstreams
            if entry.role is register.UpstreamRole.PREFILL
        }
        self.decodes = {
            entry.name: policy_engines.DecodeEngine(loop, entry)
            for entry in upstreams
            if entry.role is register.UpstreamRole.DECODE
        }
        self.outcomes: list[Outcome] = []

    def arrive(self, request: policy_workload.Request) -> None:
        """Starts the first attempt of a caller's request."""
        outcome = Outcome(request)
        self.outcomes.append(outcome)
        self.begin(outcome, frozenset())

    def begin(self, outcome: Outcome, excluded: frozenset[str]) -> None:
        """Starts an attempt that doesn't use the excluded engines."""
        raise NotImplementedError

    def set_state(self, name: str, state: register.UpstreamState) -> None:
        """Sets the state of an engine in the register."""
        self.upstreams[name] = self.upstreams[name]._replace(state=state)

    def load_report(self, name: str, load: engine.LoadReport) -> None:
        """Handles a load report; its `age` says how old it is."""

    def cache_event(self, name: str, event: engine.CacheEvent) -> None:
        """Handles a cache event."""

    def retry(self, outcome: Outcome, excluded: frozenset[str]) -> None:
        """Starts another attempt, up to `MAX_ATTEMPTS`."""
        if outcome.attempt < MAX_ATTEMPTS:
            self.begin(outcome, excluded)

    def record_event(
        self, outcome: Outcome, job: policy_engines.Job, kind: str
    ) -> None:
        """Records an event of a job as its caller receives it."""
        if kind == "first" and not outcome.first_at:
            outcome.first_at = self.loop.now + NETWORK_LATENCY_SECONDS
        if kind == "done":
            outcome.done_at = self.loop.now + NETWORK_LATENCY_SECONDS
        outcome.emitted = job.emitted


class ScheduledHosts(Hosts):
    """Entry hosts that leave the choice of engines to the `PoolScheduler`."""

    def __init__(
        self,
        loop: policy_engines.Loop,
        upstreams: list[register.Upstream],
        seed: int,
    ) -> None:
        super().__init__(loop, upstreams, seed)
        self.scheduler = pool.PoolScheduler(
            loop.clock, policy_workload.SERVICE, upstreams
        )
        self.pending: dict[items.AttemptKey, Outcome] = {}
        self.wakeup = 0.0

    def begin(self, outcome: Outcome, excluded: frozenset[str]) -> None:
        outcome.attempt += 1
        self.loop.after(
            NETWORK_LATENCY_SECONDS, self._submit, outcome, excluded
        )

    def set_state(self, name: str, state: register.UpstreamState) -> None:
        super().set_state(name, state)
        self.scheduler.set_upstreams(self.upstreams.values())
        self._poll_scheduler()

    def load_report(self, name: str, load: engine.LoadReport) -> None:
        self.scheduler.apply_load_report(name, load)
        self._poll_scheduler()

    def cache_event(self, name: str, event: engine.CacheEvent) -> None:
        self.scheduler.cache_event(name, event)

    def _submit(self, outcome: Outcome, excluded: frozenset[str]) -> None:
        request = outcome.request
        first = request.arrival if outcome.attempt == 1 else self.loop.now
        item = items.WorkItem(
            request_id=request.request_id,
            attempt=outcome.attempt,
            account=request.account,
            prompt_tokens=request.prompt_tokens + outcome.emitted,
            max_output_tokens=policy_workload.LONGEST_OUTPUT - outcome.emitted,
            deadline=first + FIRST_TOKEN_SECONDS - 3 * NETWORK_LATENCY_SECONDS,
            prefix_digests=request.prefix_digests,
            digest=request.request_id,
            priority=min(outcome.attempt - 1, 1),
            excluded=excluded,
            weight=policy_workload.ACCOUNT_SHARES[request.account] * 5,
        )
        self.pending[item.key] = outcome
        self.scheduler.submit(item)
        self._poll_scheduler()

    def _poll_scheduler(self) -> None:
        for decision in self.scheduler.poll():
            self.loop.after(
                NETWORK_LATENCY_SECONDS, self._handle_decision, decision
            )
        wakeup = self.scheduler.next_wakeup()
        if self.wakeup <= self.loop.now or wakeup < self.wakeup:
            self.wakeup = wakeup
            delay = max(NETWORK_LATENCY_SECONDS, wakeup - self.loop.now)
            self.loop.after(delay, self._wake)

    def _wake(self) -> None:
        if self.loop.now >= self.wakeup:
            self._poll_scheduler()

    def _handle_decision(self, decision: items.Decision) -> None:
        key = items.AttemptKey(decision.request_id, decision.attempt)
        outcome = self.pending.pop(key)
        if isinstance(decision, items.Refusal):
            if outcome.attempt == 1:
                outcome.refused = True
            else:
                self.loop.after(RETRY_SECONDS, self.retry, outcome, frozenset())
            return

        def on_event(job: policy_engines.Job, kind: str) -> None:
            self.record_event(outcome, job, kind)
            self._handle_job_event(outcome, decision, job, kind)

        job = policy_engines.Job(
            outcome.request, outcome.attempt, outcome.emitted, on_event
        )
        prefill = self.prefills[decision.prefill]
        self.loop.after(
            NETWORK_LATENCY_SECONDS,
            prefill.submit,
            job,
            lambda job, success: self.loop.after(
                NETWORK_LATENCY_SECONDS,
                self._prefilled,
                outcome,
                decision,
                job,
                success,
            ),
        )

    def _prefilled(
        self,
        outcome: Outcome,
        decision: items.Assignment,
        job: policy_engines.Job,
        success: bool,
    ) -> None:
        if not success:
            self._notify(job, "failed", decision.prefill, 0)
            self.retry(outcome, frozenset({decision.prefill}))
            return
        self._notify(job, "prefilled", decision.prefill, 0)
        target = self.decodes[decision.decode]
        self.loop.after(NETWORK_LATENCY_SECONDS, target.submit, job)

    def _handle_job_event(
        self,
        outcome: Outcome,
        decision: items.Assignment,
        job: policy_engines.Job,
        kind: str,
    ) -> None:
        if kind == "first":
            self._notify(job, "transferred", decision.decode, 1)
        elif kind == "done":
            tokens = job.request.output_tokens - job.emitted
            self._notify(job, "finished", decision.decode, tokens)
        elif kind == "expired":
            self._notify(job, "cancelled", decision.decode, 0)
            self.retry(outcome, frozenset())
        else:
            self._notify(job, "failed", decision.decode, 0)
            self.retry(outcome, frozenset({decision.decode}))

    def _notify(
        self, job: policy_engines.Job, step: str, upstream: str, tokens: int
    ) -> None:
        event = messages.ScheduleEvent(
            job.request.request_id, job.attempt, step, upstream, tokens
        )
        delay = 2 * NETWORK_LATENCY_SECONDS
        if step not in scheduler_client.URGENT_STEPS:
            delay += self.generator.random() * scheduler_client.FLUSH_SECONDS
        self.loop.after(delay, self._apply, event)

    def _apply(self, event: messages.ScheduleEvent) -> None:
        self.scheduler.apply(event)
        self._poll_scheduler()
