"""Orders to engines to change their stage, sent by one host at a time."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import structlog

from coltsfootarch import errors
from coltsfootarch import periodic

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import active_policy
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.scheduling import dispatch_queue
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import stage_balance

CHECK_INTERVAL_S = 0.5
# An imbalance must last this long, so that a short burst of requests doesn't
# cause a change.
MIN_IMBALANCE_S = 1.0
# Each host waits this much longer than the one before it by name, so that hosts
# don't compete for the claim.
RANK_DELAY_S = 1.5
# Shortest time between two claims of a service. It covers a change of stage
# (6 s), an order that is executed late, and the lease of a holder (3 s).
CLAIM_GAP_S = 9.0
# Time for which an engine gets no requests after an order, since engines refuse
# them while they change their stage.
STAGE_CHANGE_S = 5.0
# Orders are sent only within this time after the claim was requested, so that
# they can't conflict with orders of the next holder.
CLAIM_VALIDITY_S = 1.0
# Time for which an engine with an accepted order counts with its new stage,
# though it is still registered with the old one: it first completes its
# requests, which takes as long as a long response, and then changes.
ORDER_VALIDITY_S = 15.0

# Status codes of an engine that executes the order or already has.
ACCEPTED = frozenset({"202", "200"})

logger = structlog.get_logger(__name__)


class Claim(NamedTuple):
    """Right of one host to send stage orders for a service.

    Attributes:
        holder: Name of the host.
        fence: Fencing token, which grows with each claim.
        asked_at: Instant at which the claim was requested, in seconds.
    """

    holder: str
    fence: int
    asked_at: float


class Order(NamedTuple):
    """An order that an engine accepted.

    Attributes:
        stage: Stage that the engine will have.
        until: Instant until which the engine counts with this stage, in
            seconds.
    """

    stage: upstreams.Stage
    until: float


class ClaimTable(Protocol):
    """Durable table of claims."""

    def claim(self, service: str, holder: str, gap_s: float) -> Claim | None:
        """Claims the right to send orders for a service.

        Args:
            service: Name of the service.
            holder: Name of this host.
            gap_s: Shortest time since the last claim, in seconds.

        Returns:
            The claim; None if the last one is too recent.

        Raises:
            errors.PlatformError: The claim may have been granted or not; no
                orders may be sent.
        """


class StageOrders(Protocol):
    """Sends stage orders to engines."""

    def change_stage(
        self, engine: upstreams.Upstream, stage: upstreams.Stage, claim: Claim
    ) -> str:
        """Orders a change of stage; returns the status code or the error."""


class StageController:
    """Checks the balance of stages and orders engines to change theirs.

    Args:
        policy_tracker: Holds the active policy.
        directory: Registered upstreams.
        balancer: Decides which engines should change their stage.
        queue: Requests that wait for engines.
        peers: Directory of the other hosts.
        claims: Durable table of claims.
        orders: Sends stage orders to engines.
        outcome_tracker: Keeps requests away from engines that change.
        clock: Source of time.
    """

    def __init__(
        self,
        policy_tracker: active_policy.PolicyTracker,
        directory: upstreams.UpstreamDirectory,
        balancer: stage_balance.StageBalancer,
        queue: dispatch_queue.DispatchQueue,
        peers: hosts.HostDirectory,
        claims: ClaimTable,
        orders: StageOrders,
        outcome_tracker: outcomes.OutcomeTracker,
        clock: clocks.Clock,
    ) -> None:
        self.outcome_tracker = outcome_tracker
        self.policy_tracker = policy_tracker
        self.directory = directory
        self.balancer = balancer
        self.queue = queue
        self.peers = peers
        self.claims = claims
        self.orders = orders
        self.clock = clock
        self.needed_since: dict[str, float] = {}
        self.next_claim_at: dict[str, float] = {}
        self.accepted_orders: dict[str, Order] = {}
        self.task = periodic.PeriodicTask(
            "stage balance",
            datetime.timedelta(seconds=CHECK_INTERVAL_S),
            self.try_check,
            clock,
        )

    def start(self) -> None:
        """Starts the periodic check."""
        self.task.start()

    def close(self) -> None:
        """Stops the periodic check."""
        self.task.close()

    def try_check(self) -> None:
        """Checks all services; logs if a claim could not be requested."""
        try:
            self.check()
        except errors.PlatformError as error:
            logger.info("claim for stage orders failed", reason=error.message)

    def check(self) -> None:
        """Checks all services once and sends orders where needed."""
        current = self.policy_tracker.policy
        if current is None:
            return
        for service in current.services.values():
            if service.engine is None:
                continue
            engines = [
                self.with_ordered_stage(engine)
                for engine in self.directory.members(service.name)
            ]
            change = self.balancer.decide(
                service,
                engines,
                self.queue.demand(service.name),
                lambda engine: self.queue.loads.load(engine.id).tokens,
            )
            now = self.clock.monotonic()
            if change is None or now < self.next_claim_at.get(service.name, 0):
                self.needed_since.pop(service.name, None)
                continue
            since = self.needed_since.setdefault(service.name, now)
            if (
                now - since
                >= MIN_IMBALANCE_S + self.peers.rank() * RANK_DELAY_S
            ):
                self.needed_since.pop(service.name, None)
                self.next_claim_at[service.name] = now + CLAIM_GAP_S
                self.send_orders(change)

    def with_ordered_stage(
        self, engine: upstreams.Upstream
    ) -> upstreams.Upstream:
        """Returns an engine with the stage that it is changing to.

        An engine that was unreachable for a time, as in a network partition,
        may return with its old stage. Without this a second engine would be
        ordered to change in its place.
        """
        order = self.accepted_orders.get(engine.id)
        if order is None:
            return engine
        if self.clock.monotonic() >= order.until:
            del self.accepted_orders[engine.id]
            return engine
        return engine._replace(stage=order.stage)

    def send_orders(self, change: stage_balance.StageChange) -> None:
        """Claims the right to send orders and sends them."""
        claim = self.claims.claim(
            change.service, self.peers.own.name, CLAIM_GAP_S
        )
        if claim is None:
            logger.info(
                "claim for stage orders not granted", service=change.service
            )
            return
        for engine in change.engines:
            age = self.clock.monotonic() - claim.asked_at
            if age > CLAIM_VALIDITY_S:
                logger.info(
                    "claim for stage orders expired", age_s=round(age, 3)
                )
                return
            self.outcome_tracker.back_off(engine.id, STAGE_CHANGE_S)
            answer = self.orders.change_stage(engine, change.stage, claim)
            if answer in ACCEPTED:
                until = self.clock.monotonic() + ORDER_VALIDITY_S
                self.accepted_orders[engine.id] = Order(change.stage, until)
            logger.info(
                "stage order sent",
                service=change.service,
                upstream=engine.id,
                stage=change.stage.value,
                fence=claim.fence,
                claim_age_ms=round(age * 1000),
                gain=round(min(change.gain, 99.0), 2),
                outcome=answer,
            )
