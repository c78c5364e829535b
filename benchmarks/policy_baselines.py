"""Baselines of the policy benchmark: hosts that choose engines on their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks import policy_engines
from benchmarks import policy_hosts
from benchmarks import policy_workload
from coltsfootarch.config import register
from coltsfootarch.scheduling import upstream_health

if TYPE_CHECKING:
    from coltsfootarch.upstreams import engine


class IndependentHosts(policy_hosts.Hosts):
    """Entry hosts that choose engines independently, without reservations.

    Requests that don't fit wait at the engines. As in the product, failing
    engines are ejected and draining ones get no new requests.

    Args:
        loop: Event loop.
        upstreams: Engines.
        seed: Seed of the choice of entry hosts.
        by_load: Whether to choose the engine with the least load, which is the
            last report plus the host's own dispatches since then; round robin
            otherwise.
    """

    def __init__(
        self,
        loop: policy_engines.Loop,
        upstreams: list[register.Upstream],
        seed: int,
        by_load: bool,
    ) -> None:
        super().__init__(loop, upstreams, seed)
        self.by_load = by_load
        hosts = policy_workload.HOSTS
        self.turns: dict[tuple[int, str], int] = {}
        self.reports: dict[str, float] = {}
        self.sent: list[dict[str, list[tuple[float, float]]]] = [
            {} for _ in range(hosts)
        ]
        self.report_at: dict[str, float] = {}
        self.health = [
            {name: upstream_health.Health() for name in self.upstreams}
            for _ in range(hosts)
        ]

    def load_report(self, name: str, load: engine.LoadReport) -> None:
        requests = load.running + load.waiting
        is_prefill = name in self.prefills
        amount = load.queued_prefill_tokens if is_prefill else requests
        self.reports[name] = float(amount)
        self.report_at[name] = self.loop.now - load.age

    def begin(
        self, outcome: policy_hosts.Outcome, excluded: frozenset[str]
    ) -> None:
        outcome.attempt += 1
        host = self.generator.randrange(policy_workload.HOSTS)
        name = self._choose(host, list(self.prefills), excluded)
        if name is None:
            self.loop.after(
                policy_hosts.RETRY_SECONDS, self.retry, outcome, frozenset()
            )
            return

        def on_event(job: policy_engines.Job, kind: str) -> None:
            self.record_event(outcome, job, kind)
            if kind == "expired":
                self.retry(outcome, frozenset())

        job = policy_engines.Job(
            outcome.request, outcome.attempt, outcome.emitted, on_event
        )
        self._record_dispatch(host, name, float(job.prompt_tokens))
        self.loop.after(
            policy_hosts.NETWORK_LATENCY_SECONDS,
            self.prefills[name].submit,
            job,
            lambda job, success: self.loop.after(
                policy_hosts.NETWORK_LATENCY_SECONDS,
                self._prefilled,
                host,
                name,
                outcome,
                job,
                success,
            ),
        )

    def _prefilled(
        self,
        host: int,
        name: str,
        outcome: policy_hosts.Outcome,
        job: policy_engines.Job,
        success: bool,
    ) -> None:
        state = self.health[host][name]
        if not success:
            state.record_failure(self.loop.now)
            self.retry(outcome, frozenset({name}))
            return
        state.record_success(self.loop.now)
        self._decode(host, outcome, job, frozenset())

    def _decode(
        self,
        host: int,
        outcome: policy_hosts.Outcome,
        job: policy_engines.Job,
        excluded: frozenset[str],
    ) -> None:
        target = self._choose(host, list(self.decodes), excluded)
        if target is None:
            self.loop.after(
                policy_hosts.RETRY_SECONDS, self.retry, outcome, frozenset()
            )
            return
        chosen = target

        def on_event(job: policy_engines.Job, kind: str) -> None:
            self.record_event(outcome, job, kind)
            if kind == "done":
                self.health[host][chosen].record_success(self.loop.now)
            if kind == "expired":
                self.retry(outcome, frozenset())
            if kind == "lost":
                self.health[host][chosen].record_failure(self.loop.now)
                if job.imported:
                    self.retry(outcome, frozenset({chosen}))
                else:
                    self._decode(host, outcome, job, excluded | {chosen})

        job.on_event = on_event
        self._record_dispatch(host, target, 1.0)
        self.loop.after(
            policy_hosts.NETWORK_LATENCY_SECONDS,
            self.decodes[target].submit,
            job,
        )

    def _record_dispatch(self, host: int, name: str, amount: float) -> None:
        sent = self.sent[host].setdefault(name, [])
        sent.append((self.loop.now, amount))
        self.health[host][name].record_dispatch(self.loop.now)

    def _estimated_load(self, host: int, name: str) -> float:
        since = self.report_at.get(name, 0.0)
        sent = self.sent[host].get(name, [])
        while sent and sent[0][0] < since:
            sent.pop(0)
        return self.reports.get(name, 0.0) + sum(entry[1] for entry in sent)

    def _choose(
        self, host: int, names: list[str], excluded: frozenset[str]
    ) -> str | None:
        usable = [
            name
            for name in names
            if name not in excluded
            and self.upstreams[name].state is register.UpstreamState.ACTIVE
            and self.health[host][name].usable(self.loop.now)
        ]
        if not usable:
            return None
        if self.by_load:
            self.generator.shuffle(usable)
            return min(
                usable, key=lambda name: self._estimated_load(host, name)
            )
        turn = self.turns.get((host, names[0]), host)
        self.turns[(host, names[0])] = turn + 1
        return usable[turn % len(usable)]
