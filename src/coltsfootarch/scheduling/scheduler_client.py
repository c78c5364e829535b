"""Client of the pool schedulers on an entry host."""

from __future__ import annotations

import contextlib
import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import unreachable
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool_members

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.scheduling import local_schedulers
    from coltsfootarch.scheduling import pool_service
    from coltsfootarch.zone import interfaces

# Time for which the answer of a reachable home may exceed the time that the
# request may wait there.
ANSWER_SECONDS = 0.3

# A home that did not answer gets no requests for this time, so that only one
# request per interval waits for its time-out.
UNREACHABLE_HOME_PAUSE = datetime.timedelta(seconds=2)
# Time for which state changes are collected before they are sent.
FLUSH_SECONDS = 0.02
# Number of state changes that are sent without waiting for this time.
MAX_BATCH = 32

# Steps that are sent immediately.
URGENT_STEPS = frozenset({"failed", "crashed", "cancelled"})


class Route(NamedTuple):
    """Identifies the scheduler that assigned an attempt.

    Attributes:
        service: Model service.
        scope: Scope of the pool.
        home: Availability zone and shard of the pool's home, or None for the
            scheduler in this process.
    """

    service: str
    scope: str
    home: tuple[str, int] | None


class SchedulerClient:
    """Gets assignments from a pool's home.

    If the home does not answer, a scheduler in this process takes its place.

    Args:
        clock: Clock of all instants.
        network: Network between hosts.
        holders: Looks up which host holds a shard.
        current: Returns the register in force.
        home: Returns a pool's home by service and scope.
        sender: This host.
        own: Pool service of this host, for pools whose home shard it holds.
        local: Schedulers in this process, used if no home answers.

    Attributes:
        routes: Scheduler of each assigned attempt.
        pending: State changes that have not been sent.
        fallbacks: Number of attempts scheduled without a home.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        network: networks.PeerNetwork,
        holders: interfaces.Holders,
        current: Callable[[], register.Register],
        home: Callable[[str, str], pool_members.Home],
        sender: messages.Sender,
        own: pool_service.PoolService,
        local: local_schedulers.LocalSchedulers,
    ) -> None:
        self.clock = clock
        self.network = network
        self.holders = holders
        self.current = current
        self.home = home
        self.sender = sender
        self.own = own
        self.local = local
        self.routes: dict[items.AttemptKey, Route] = {}
        self.pending: dict[Route, list[messages.ScheduleEvent]] = {}
        self.flush_at = 0.0
        self.unreachable = unreachable.UnreachablePeers(
            clock, UNREACHABLE_HOME_PAUSE
        )
        self.fallbacks = 0

    def schedule(self, service: str, item: items.WorkItem) -> items.Assignment:
        """Returns the assignment of an attempt; may block until its deadline.

        Args:
            service: Model service.
            item: The attempt.

        Raises:
            RefusedError: The attempt was refused; carries code and retry time.
        """
        scope = pool_members.scope_of(
            self.current(), self.sender.availability_zone
        )
        home = self.home(service, scope)
        home_shard = (home.availability_zone, home.shard)
        asked_at = self.clock.monotonic()
        route = Route(service, scope, home_shard)
        with self.withdrawing(route, item):
            reply = self.request_from_home(service, scope, home_shard, item)
        if reply is None:
            self.fallbacks += 1
            # The deadline is extended by the wait for the home; the request
            # would otherwise be refused because of a fault of the router.
            waited = self.clock.monotonic() - asked_at
            extended = item._replace(deadline=item.deadline + waited)
            route = Route(service, scope, None)
            with self.withdrawing(route, item):
                reply = self.local.schedule(service, scope, extended)
        if reply.refusal:
            raise errors.RefusedError(
                results.by_number(reply.refusal), retry_after=reply.retry_after
            )
        self.routes[item.key] = route
        return items.Assignment(
            item.request_id, item.attempt, reply.prefill, reply.decode
        )

    @contextlib.contextmanager
    def withdrawing(self, route: Route, item: items.WorkItem) -> Iterator[None]:
        """Cancels an attempt at the scheduler if the wait is interrupted.

        The scheduler might still assign the attempt; its slot would then stay
        reserved until the reservation expires.
        """
        try:
            yield
        except BaseException:
            self.routes[item.key] = route
            self.notify(
                messages.ScheduleEvent(
                    item.request_id, item.attempt, "cancelled", "", 0
                )
            )
            raise

    def notify(self, event: messages.ScheduleEvent) -> None:
        """Reports a state change to the scheduler that assigned the attempt.

        Changes are sent in batches by `tick()`, `URGENT_STEPS` immediately.
        Changes of an attempt that was never assigned are dropped.
        """
        key = items.AttemptKey(event.request_id, event.attempt)
        route = self.routes.get(key)
        if route is None:
            return
        if event.step in items.TERMINAL_STEPS:
            del self.routes[key]
        if not self.pending:
            self.flush_at = self.clock.monotonic() + FLUSH_SECONDS
        batch = self.pending.setdefault(route, [])
        batch.append(event)
        if event.step in URGENT_STEPS or len(batch) >= MAX_BATCH:
            self.flush()

    def tick(self) -> None:
        """Sends the pending state changes if `FLUSH_SECONDS` have passed."""
        if self.pending and self.clock.monotonic() >= self.flush_at:
            self.flush()

    def flush(self) -> None:
        """Sends all pending state changes."""
        pending = self.pending
        self.pending = {}
        for route, events in pending.items():
            self.send(route, events)

    def send(self, route: Route, events: list[messages.ScheduleEvent]) -> None:
        """Sends state changes to the scheduler that assigned the attempts."""
        if route.home is None:
            self.local.apply(route.service, route.scope, events)
            return
        holder = self.holders.holder(*route.home)
        if holder is None:
            return
        update = messages.ScheduleUpdate(
            route.service, route.scope, route.home[1], events
        )
        if holder.address == self.sender.address:
            self.own.handle_update(self.sender, update)
        else:
            self.network.send(holder.address, update)

    def request_from_home(
        self,
        service: str,
        scope: str,
        home_shard: tuple[str, int],
        item: items.WorkItem,
    ) -> messages.ScheduleReply | None:
        """Returns the home's reply, or None if there is no usable one."""
        holder = self.holders.holder(*home_shard)
        now = self.clock.monotonic()
        if holder is None or self.unreachable.is_paused(holder.address):
            return None
        within = max(0.0, item.deadline - now)
        request = request_for(service, scope, home_shard[1], item, within)
        if holder.address == self.sender.address:
            reply = self.own.schedule(request)
        else:
            answer = self.request(holder.address, request, within)
            if answer is None:
                return None
            reply = answer
        if reply.refusal == results.NOT_HOME.number:
            return None
        return reply

    def request(
        self, address: str, request: messages.ScheduleRequest, within: float
    ) -> messages.ScheduleReply | None:
        """Returns another host's reply, or None without a valid one."""
        timeout = datetime.timedelta(seconds=within + ANSWER_SECONDS)
        # Requests that start while this one waits are also sent to the home.
        # Only a time-out pauses it, and a concurrent answer ends the pause.
        try:
            answer = self.network.request(address, request, timeout)
        except errors.PeerTimeoutError:
            self.unreachable.add(address)
            return None
        self.unreachable.remove(address)
        if not isinstance(answer, messages.ScheduleReply):
            return None
        if (answer.request_id, answer.attempt) != (
            request.request_id,
            request.attempt,
        ):
            return None
        return answer


def request_for(
    service: str,
    scope: str,
    shard: int,
    item: items.WorkItem,
    first_token_within: float,
) -> messages.ScheduleRequest:
    """Returns the message that requests an assignment."""
    return messages.ScheduleRequest(
        service=service,
        scope=scope,
        shard=shard,
        request_id=item.request_id,
        attempt=item.attempt,
        account=item.account,
        prompt_tokens=item.prompt_tokens,
        max_output_tokens=item.max_output_tokens,
        prefix_digests=list(item.prefix_digests),
        digest=item.digest,
        priority=item.priority,
        first_token_within=first_token_within,
        excluded=sorted(item.excluded),
    )
