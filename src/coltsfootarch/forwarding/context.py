"""What the pipelines of a host share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.http1 import pool
    from coltsfootarch.observability import registry
    from coltsfootarch.retries import shared_budget
    from coltsfootarch.scheduling import break_counts
    from coltsfootarch.scheduling import call_placement
    from coltsfootarch.scheduling import dispatch_queue
    from coltsfootarch.scheduling import engine_placement
    from coltsfootarch.scheduling import load_view
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import prompt_reading
    from coltsfootarch.scheduling import refusals
    from coltsfootarch.scheduling import stage_balance


class Context(NamedTuple):
    """Components of one host.

    Attributes:
        clock: Source of time.
        wire: Wire format of upstreams.
        connections: Idle connections to upstreams.
        directory: Registered upstreams.
        loads: Work in progress on all hosts.
        tracker: Recent outcomes of upstreams.
        breaks: Requests whose upstreams broke off.
        refusals: Requests that were refused for want of room.
        budget: Retry budget.
        call_placer: Chooses upstreams of plain services.
        engine_placer: Chooses engines.
        queue: Requests that wait for engines.
        balancer: What requests need in each stage.
        reading_times: How long prompts take.
        metrics: Counters and histograms.
    """

    clock: clocks.Clock
    wire: calls.UpstreamProtocol
    connections: pool.ConnectionPool
    directory: upstreams.UpstreamDirectory
    loads: load_view.LoadView
    tracker: outcomes.OutcomeTracker
    breaks: break_counts.BreakCounts
    refusals: refusals.RecentRefusals
    budget: shared_budget.SharedRetryBudget
    call_placer: call_placement.CallPlacer
    engine_placer: engine_placement.EnginePlacer
    queue: dispatch_queue.DispatchQueue
    balancer: stage_balance.StageBalancer
    reading_times: prompt_reading.ReadingTimes
    metrics: registry.MetricRegistry
