"""Orders that change the stage of engines, given by one host at a time."""

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
    from coltsfootarch.fleet import followers
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.scheduling import dispatch_queue
    from coltsfootarch.scheduling import outcomes
    from coltsfootarch.scheduling import stage_balance

CHECK_INTERVAL_S = 0.5
# The need must last this long, so that a burst of some requests moves nothing.
MIN_IMBALANCE_S = 1.0
# Each further host in the order of names waits this much longer, so that hosts
# don't compete for the claim.
RANK_DELAY_S = 1.5
# Time between two claims of a service. It covers a change of stage (6 s), an
# order that is carried out late, and the lease of a holder (3 s).
CLAIM_GAP_S = 9.0
# Engines refuse requests while they change their stage.
STAGE_CHANGE_S = 5.0
# An order is sent only this soon after the claim was asked for, so that it
# can't meet one of the next holder.
CLAIM_VALIDITY_S = 1.0
# Time for which an accepted order is taken to hold, though the engine is still
# registered with its old stage: it first ends its requests, which takes as long
# as a long answer, and then changes.
ORDER_VALIDITY_S = 15.0

# Answers of an engine that carries out the order, or already has.
ACCEPTED = frozenset({"202", "200"})

logger = structlog.get_logger(__name__)


class Claim(NamedTuple):
    """Right to give orders for a service.

    Attributes:
        holder: Name of the host.
        fence: Number that grows with each claim.
        asked_at: Instant at which the claim was asked for, in seconds.
    """

    holder: str
    fence: int
    asked_at: float


class Order(NamedTuple):
    """An accepted order.

    Attributes:
        stage: Stage that the engine will have.
        until: Instant until which it is taken to hold, in seconds.
    """

    stage: upstreams.Stage
    until: float


class ClaimTable(Protocol):
    """Durable claims."""

    def claim(self, service: str, holder: str, gap_s: float) -> Claim | None:
        """Returns a claim, or None if another one is too recent.

        Raises:
            errors.PlatformError: Not known whether it was granted; don't use.
        """


class StageOrders(Protocol):
    """Gives orders to engines."""

    def change_stage(
        self, engine: upstreams.Upstream, stage: upstreams.Stage, claim: Claim
    ) -> str:
        """Orders a change of stage; returns what the engine answered."""


class StageController:
    """Watches the balance of stages and gives orders.

    Args:
        tracker: The policy in force.
        directory: Registered upstreams.
        balancer: Decides on moves.
        queue: Requests that wait for engines.
        peers: The other hosts.
        claims: Durable claims.
        orders: Gives orders to engines.
        outcome_tracker: Told which engines get no requests meanwhile.
        clock: Source of time.
    """

    def __init__(
        self,
        tracker: followers.PolicyTracker,
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
        self.tracker = tracker
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
        """Starts to watch."""
        self.task.start()

    def close(self) -> None:
        """Stops watching."""
        self.task.close()

    def try_check(self) -> None:
        """Checks all services; without a claim nothing is ordered."""
        try:
            self.check()
        except errors.PlatformError as error:
            logger.info("no claim for orders", reason=error.message)

    def check(self) -> None:
        """Checks all services once and gives orders where needed."""
        current = self.tracker.policy
        if current is None:
            return
        for service in current.services.values():
            if service.engine is None:
                continue
            engines = [
                self.with_ordered_stage(engine)
                for engine in self.directory.candidates(service.name)
            ]
            shift = self.balancer.decide(
                service,
                engines,
                self.queue.demand(service.name),
                lambda engine: self.queue.loads.load(engine.id).tokens,
            )
            now = self.clock.monotonic()
            if shift is None or now < self.next_claim_at.get(service.name, 0):
                self.needed_since.pop(service.name, None)
                continue
            since = self.needed_since.setdefault(service.name, now)
            if (
                now - since
                >= MIN_IMBALANCE_S + self.peers.rank() * RANK_DELAY_S
            ):
                self.needed_since.pop(service.name, None)
                self.next_claim_at[service.name] = now + CLAIM_GAP_S
                self.send_orders(shift)

    def with_ordered_stage(
        self, engine: upstreams.Upstream
    ) -> upstreams.Upstream:
        """Returns an engine with the stage that it is changing to.

        An engine that can't be seen for a time, behind a cut, may come back
        with its old stage; another one would be moved in its place.
        """
        order = self.accepted_orders.get(engine.id)
        if order is None:
            return engine
        if self.clock.monotonic() >= order.until:
            del self.accepted_orders[engine.id]
            return engine
        return engine._replace(stage=order.stage)

    def send_orders(self, shift: stage_balance.Shift) -> None:
        """Claims the right to give orders and gives them."""
        claim = self.claims.claim(
            shift.service, self.peers.own.name, CLAIM_GAP_S
        )
        if claim is None:
            logger.info("orders left to another host", service=shift.service)
            return
        for engine in shift.engines:
            age = self.clock.monotonic() - claim.asked_at
            if age > CLAIM_VALIDITY_S:
                logger.info("claim for orders lapsed", age_s=round(age, 3))
                return
            self.outcome_tracker.rest(engine.id, STAGE_CHANGE_S)
            answer = self.orders.change_stage(engine, shift.stage, claim)
            if answer in ACCEPTED:
                until = self.clock.monotonic() + ORDER_VALIDITY_S
                self.accepted_orders[engine.id] = Order(shift.stage, until)
            logger.info(
                "stage order given",
                service=shift.service,
                upstream=engine.id,
                stage=shift.stage.value,
                fence=claim.fence,
                claim_age_ms=round(age * 1000),
                gain=round(min(shift.gain, 99.0), 2),
                outcome=answer,
            )
