"""Reserves tokens for requests on an entry host, within account limits."""

from __future__ import annotations

import collections
import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.limits import account_grants
from coltsfootarch.limits import grant_reports
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import unreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.zone import interfaces

# Object kind with which accounts are hashed to their home shards.
ACCOUNT_KIND = "account"

# A round trip takes about 2 ms. A peer that does not answer within this time
# is partitioned or has stopped.
PEER_TIMEOUT = datetime.timedelta(milliseconds=100)

# After a timeout the peer is skipped for this long, so that other requests
# don't wait for it too.
UNREACHABLE_PEER_PAUSE = datetime.timedelta(seconds=1)

# Delay before looking again for the holder of a shard that has none. A
# takeover gives it one.
NO_HOLDER_PAUSE = datetime.timedelta(milliseconds=100)

# Bounds of the delay between two requests to a ledger that could not grant
# enough. The minimum is also the shortest timeout of a grant request.
MIN_RETRY_PAUSE = datetime.timedelta(milliseconds=20)
MAX_RETRY_PAUSE = datetime.timedelta(milliseconds=250)

# How often waiting requests check for returned tokens: the first request in an
# account's queue, and the requests behind it.
HEAD_POLL_INTERVAL = datetime.timedelta(milliseconds=10)
QUEUE_POLL_INTERVAL = datetime.timedelta(milliseconds=25)

# Unreserved tokens of an account go back to the ledgers after this time
# without a reservation.
IDLE_TIMEOUT = datetime.timedelta(seconds=1)


class Reservation:
    """Tokens reserved for one request.

    Attributes:
        account: Client account.
        tokens: Tokens reserved.
        parts: Tokens reserved from each grant.
        settled: Whether `Limiter.settle` was called.
    """

    __slots__ = ("account", "parts", "settled", "tokens")

    def __init__(
        self,
        account: str,
        tokens: int,
        parts: list[account_grants.ReservedPart],
    ) -> None:
        self.account = account
        self.tokens = tokens
        self.parts = parts
        self.settled = False


class AccountState:
    """State of one client account on this host.

    Attributes:
        grants: Grants of the account.
        queue: Tickets of the waiting requests, in order of arrival.
        next_request_at: Earliest instant of the next request to a zone's
            ledger, by zone.
        insufficient_at: Instant at which a zone's ledger last granted less
            than was missing, by zone.
        last_reply_at: Instant of the last reply of any ledger.
    """

    def __init__(self, now: float) -> None:
        self.grants = account_grants.AccountGrants(now)
        self.queue: collections.deque[object] = collections.deque()
        self.next_request_at: dict[str, float] = {}
        self.insufficient_at: dict[str, float] = {}
        self.last_reply_at = float("-inf")


class Limiter:
    """Reserves tokens from prepaid grants and requests new grants.

    Args:
        clock: Source of time.
        network: Network to the other hosts.
        holders: Looks up the holders of all shards.
        availability_zone: Zone of this host.
        register: Returns the register in force.
        home_shard: Maps kind, name and number of shards to a shard.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        network: networks.PeerNetwork,
        holders: interfaces.Holders,
        availability_zone: str,
        register: Callable[[], registers.Register],
        home_shard: Callable[[str, str, int], int],
    ) -> None:
        self.clock = clock
        self.network = network
        self.holders = holders
        self.availability_zone = availability_zone
        self.register = register
        self.home_shard = home_shard
        self.accounts: dict[str, AccountState] = {}
        self.reports = grant_reports.GrantReportQueue(self.send_report)
        self.unreachable = unreachable.UnreachablePeers(
            clock, UNREACHABLE_PEER_PAUSE
        )

    def start(self) -> None:
        """Does nothing, since grants are requested on demand."""

    def close(self) -> None:
        """Returns all unreserved tokens to their ledgers."""
        for state in self.accounts.values():
            self.return_unreserved(state)
        self.reports.flush(self.clock.monotonic(), force=True)

    def tick(self) -> None:
        """Sends reports that are due and returns tokens of idle accounts."""
        now = self.clock.monotonic()
        for account, state in list(self.accounts.items()):
            idle = now - state.grants.last_spent_at
            if state.queue or idle < IDLE_TIMEOUT.total_seconds():
                continue
            self.return_unreserved(state)
            del self.accounts[account]
        self.reports.flush(now)
        self.unreachable.prune()

    def reserve(self, account: str, tokens: int) -> Reservation:
        """Reserves tokens, waiting up to `queue_timeout` for them.

        Args:
            account: Client account.
            tokens: Largest number of tokens that the request can use.

        Raises:
            RefusedError: RATE_EXCEEDED, with the seconds after which a retry
                can succeed; REQUEST_ABOVE_BURST; or LIMIT_UNAVAILABLE if no
                ledger replied or the account is not registered.
        """
        client = self.client_account(account)
        if tokens > client.burst:
            raise errors.RefusedError(
                results.REQUEST_ABOVE_BURST,
                f"The request needs {tokens} tokens and the burst is "
                f"{client.burst}; send a shorter one.",
            )
        now = self.clock.monotonic()
        state = self.accounts.get(account)
        if state is None:
            state = self.accounts[account] = AccountState(now)
        if not state.queue and state.grants.balance(now) >= tokens:
            return self.reserve_available(state, account, tokens, now)
        ticket = object()
        state.queue.append(ticket)
        try:
            return self.wait_for_tokens(state, ticket, client, tokens)
        finally:
            state.queue.remove(ticket)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Returns the tokens that a request did not use.

        Only the first call for a reservation has an effect.

        Args:
            reservation: Reservation of the request.
            used: Tokens that the request used.
        """
        if reservation.settled:
            return
        reservation.settled = True
        now = self.clock.monotonic()
        unused = reservation.tokens - used
        for part in reversed(reservation.parts):
            if unused <= 0:
                break
            tokens = min(unused, part.tokens)
            unused -= tokens
            if part.grant.release(tokens, now):
                self.reports.add(part.grant)

    def client_account(self, account: str) -> registers.ClientAccount:
        """Returns the account's entry in the register in force."""
        client = self.register().client_accounts.get(account)
        if client is None:
            raise errors.RefusedError(
                results.LIMIT_UNAVAILABLE,
                "The account is not in the register in force.",
            )
        return client

    def reserve_available(
        self, state: AccountState, account: str, tokens: int, now: float
    ) -> Reservation:
        """Reserves tokens from the grants on this host; they must suffice."""
        parts = state.grants.spend(tokens, now)
        for part in parts:
            self.reports.add(part.grant)
        return Reservation(account, tokens, parts)

    def wait_for_tokens(
        self,
        state: AccountState,
        ticket: object,
        client: registers.ClientAccount,
        tokens: int,
    ) -> Reservation:
        """Waits until the request is first in the queue and gets its tokens."""
        started_at = self.clock.monotonic()
        queue_timeout = self.register().rules.queue_timeout.total_seconds()
        deadline = started_at + queue_timeout
        while True:
            first = state.queue[0] is ticket
            if first:
                self.request_missing(state, client, tokens, deadline)
                now = self.clock.monotonic()
                if state.grants.balance(now) >= tokens:
                    return self.reserve_available(
                        state, client.name, tokens, now
                    )
            now = self.clock.monotonic()
            if now >= deadline:
                raise self.refusal_error(state, client, tokens, started_at)
            interval = HEAD_POLL_INTERVAL if first else QUEUE_POLL_INTERVAL
            remaining = datetime.timedelta(seconds=deadline - now)
            self.clock.sleep(
                min(interval, max(remaining, datetime.timedelta.resolution))
            )

    def refusal_error(
        self,
        state: AccountState,
        client: registers.ClientAccount,
        tokens: int,
        started_at: float,
    ) -> errors.RefusedError:
        """Returns the error for a request whose queue timeout has passed."""
        if state.last_reply_at < started_at:
            return errors.RefusedError(
                results.LIMIT_UNAVAILABLE,
                retry_after=UNREACHABLE_PEER_PAUSE.total_seconds(),
            )
        missing = tokens - state.grants.balance(self.clock.monotonic())
        retry_after = max(missing, 1) / client.rate if client.rate else 60.0
        return errors.RefusedError(
            results.RATE_EXCEEDED, retry_after=retry_after
        )

    def request_missing(
        self,
        state: AccountState,
        client: registers.ClientAccount,
        tokens: int,
        deadline: float,
    ) -> None:
        """Requests grants until they suffice, from this zone's ledger first."""
        insufficient = []
        for zone in self.zones_by_preference(state):
            now = self.clock.monotonic()
            missing = tokens - state.grants.balance(now)
            if missing <= 0:
                return
            if now < state.next_request_at.get(zone, 0.0):
                continue
            if self.request_grant(state, client.name, zone, missing, deadline):
                insufficient.append(zone)
        now = self.clock.monotonic()
        missing = tokens - state.grants.balance(now)
        if missing <= 0:
            return
        refill = missing / client.rate if client.rate else 60.0
        pause = max(MIN_RETRY_PAUSE.total_seconds(), refill)
        for zone in insufficient:
            state.insufficient_at[zone] = now
            state.next_request_at[zone] = now + min(
                pause, MAX_RETRY_PAUSE.total_seconds()
            )

    def zones_by_preference(self, state: AccountState) -> list[str]:
        """Returns this zone, then the others.

        Zones whose ledgers have not been insufficient for the longest time
        come first among the others.
        """
        others = [
            name
            for name in self.register().availability_zones
            if name != self.availability_zone
        ]
        others.sort(
            key=lambda name: (state.insufficient_at.get(name, 0.0), name)
        )
        return [self.availability_zone, *others]

    def request_grant(
        self,
        state: AccountState,
        account: str,
        zone: str,
        missing: int,
        deadline: float,
    ) -> bool:
        """Requests a grant from one zone's ledger.

        Returns:
            Whether the ledger replied with fewer tokens than are missing.
        """
        shards = self.register().availability_zones[zone].shards
        shard = self.home_shard(ACCOUNT_KIND, account, shards)
        holder = self.holders.holder(zone, shard)
        sent_at = self.clock.monotonic()
        if holder is None:
            state.next_request_at[zone] = (
                sent_at + NO_HOLDER_PAUSE.total_seconds()
            )
            return False
        if self.unreachable.is_paused(holder.address):
            return False
        pending = self.reports.pop(
            grant_reports.HomeShard(zone, shard), account
        )
        wanted = missing + state.grants.recent_spending(sent_at)
        request = messages.GrantRequest(
            account,
            shard,
            missing,
            wanted,
            [grant.report() for grant in pending],
        )
        reply = self.request(holder.address, request, deadline - sent_at)
        if reply is None or not reply.home:
            for grant in pending:
                self.reports.add(grant)
            retry_at = self.clock.monotonic() + NO_HOLDER_PAUSE.total_seconds()
            state.next_request_at[zone] = retry_at
            return False
        state.last_reply_at = self.clock.monotonic()
        if reply.tokens > 0:
            state.grants.add(
                account_grants.Grant(
                    account,
                    zone,
                    shard,
                    reply.grant_id,
                    reply.tokens,
                    sent_at,
                    reply.validity,
                )
            )
        return reply.tokens < missing

    def request(
        self, address: str, request: messages.GrantRequest, remaining_s: float
    ) -> messages.GrantReply | None:
        """Sends a grant request and returns the reply.

        Args:
            address: Address ("ip:port") of the shard's holder.
            request: The request.
            remaining_s: Seconds until the deadline of the waiting request.

        Returns:
            The reply, or None if none arrived within the timeout.
        """
        timeout = min(PEER_TIMEOUT.total_seconds(), remaining_s)
        timeout = max(timeout, MIN_RETRY_PAUSE.total_seconds())
        try:
            reply = self.network.request(
                address, request, datetime.timedelta(seconds=timeout)
            )
        except errors.PeerError:
            self.unreachable.add(address)
            return None
        return reply if isinstance(reply, messages.GrantReply) else None

    def return_unreserved(self, state: AccountState) -> None:
        """Schedules reports that return an account's unreserved tokens."""
        for grant in state.grants.remove_all():
            if grant.returned or grant.spent > grant.reported:
                self.reports.add(grant)

    def send_report(
        self, home: grant_reports.HomeShard, report: messages.GrantReport
    ) -> bool:
        """Sends a report to the shard's holder.

        Returns:
            False if the holder is not known, so that nothing was sent.
        """
        holder = self.holders.holder(home.availability_zone, home.shard)
        if holder is None:
            return False
        self.network.send(holder.address, report)
        return True
