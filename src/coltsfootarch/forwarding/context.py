"""Components that the pipelines of a host share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import crash_checks
    from coltsfootarch.forwarding import response_memory
    from coltsfootarch.forwarding import stream_versions
    from coltsfootarch.http1 import pool
    from coltsfootarch.observability import registry
    from coltsfootarch.retries import shared_budget
    from coltsfootarch.scheduling import break_counts
    from coltsfootarch.scheduling import call_placement
    from coltsfootarch.scheduling import crashing_parts
    from coltsfootarch.scheduling import dispatch_queue
    from coltsfootarch.scheduling import engine_placement
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import local_prefill
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import refusals
    from coltsfootarch.scheduling import stage_balance
    from coltsfootarch.scheduling import upstream_notices


class Context(NamedTuple):
    """Components of one entry host.

    Attributes:
        clock: Source of time.
        wire: Wire format of upstreams.
        connections: Idle connections to upstreams.
        directory: Registered upstreams.
        loads: Work in progress at each upstream, from all hosts.
        outcome_tracker: Recent outcomes of each upstream.
        break_counts: Number of connections that broke during each request.
        crash_check: Finds out whether an upstream crashed during a request.
        crashing_parts: Parts of prompts on which engines crash.
        notices: What upstreams state about themselves.
        response_memory: Bounds the memory of all responses.
        refusals: Requests that were recently refused for lack of capacity.
        budget: Retry budget.
        call_placer: Chooses upstreams of plain services.
        engine_placer: Chooses prefill and decode engines.
        queue: Requests that wait for engine capacity.
        balancer: Cost of requests in each stage, to balance the stages.
        stream_versions: Keeps streams at the version that began them.
        prefill_times: Prefill time of prompts by their length.
        metrics: Counters and histograms.
    """

    clock: clocks.Clock
    wire: calls.UpstreamProtocol
    connections: pool.ConnectionPool
    directory: upstreams.UpstreamDirectory
    loads: load_view.LoadView
    outcome_tracker: outcomes.OutcomeTracker
    break_counts: break_counts.BreakCounts
    crash_check: crash_checks.CrashCheck
    crashing_parts: crashing_parts.CrashingParts
    notices: upstream_notices.UpstreamNotices
    response_memory: response_memory.ResponseMemory
    refusals: refusals.RecentRefusals
    budget: shared_budget.SharedRetryBudget
    call_placer: call_placement.CallPlacer
    engine_placer: engine_placement.EnginePlacer
    queue: dispatch_queue.DispatchQueue
    balancer: stage_balance.StageBalancer
    stream_versions: stream_versions.StreamVersions
    prefill_times: local_prefill.PrefillTimes
    metrics: registry.MetricRegistry
