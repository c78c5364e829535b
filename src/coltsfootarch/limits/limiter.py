"""Reservations of an entry host against the limits of client accounts."""

from __future__ import annotations

import collections
import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.limits import reports
from coltsfootarch.limits import wallet as wallets
from coltsfootarch.protocol import messages
from coltsfootarch.protocol import unreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.zone import interfaces

# Name of the kind of object under which accounts are mapped to shards.
ACCOUNT_KIND = "account"

# Round trips take about 2 ms; a peer that does not answer for this long is
# partitioned or has stopped.
PEER_TIMEOUT = datetime.timedelta(milliseconds=100)

# After a timeout, other requests don't wait for the same peer.
UNREACHABLE_PEER_PAUSE = datetime.timedelta(seconds=1)

# Pause after a shard without a holder, which a takeover ends.
NO_HOLDER_PAUSE = datetime.timedelta(milliseconds=100)

# Pause between two questions to a ledger that ran short.
SHORTEST_PAUSE = datetime.timedelta(milliseconds=20)
LONGEST_PAUSE = datetime.timedelta(milliseconds=250)

# Steps in which waiting requests look for tokens that came back: the first
# of an account's queue, and those behind it.
FIRST_STEP = datetime.timedelta(milliseconds=10)
QUEUE_STEP = datetime.timedelta(milliseconds=25)

IDLE_TIME = datetime.timedelta(seconds=1)


class Reservation:
    """Tokens reserved for one request.

    Attributes:
        account: Client account.
        tokens: Tokens reserved.
        parts: Grants that they come from.
        settled: Whether `Limiter.settle` was called.
    """

    __slots__ = ("account", "parts", "settled", "tokens")

    def __init__(
        self, account: str, tokens: int, parts: list[wallets.Part]
    ) -> None:
        self.account = account
        self.tokens = tokens
        self.parts = parts
        self.settled = False


class AccountState:
    """State of an account on this host.

    Attributes:
        wallet: Its grants.
        queue: Waiting requests, first in, first out.
        ask_at: Instant from which a zone's ledger may be asked again.
        short_at: Instant at which a zone's ledger last ran short.
        answered_at: Instant of the last answer of any ledger.
    """

    def __init__(self, now: float) -> None:
        self.wallet = wallets.Wallet(now)
        self.queue: collections.deque[object] = collections.deque()
        self.ask_at: dict[str, float] = {}
        self.short_at: dict[str, float] = {}
        self.answered_at = float("-inf")


class Limiter:
    """Reserves tokens from prepaid grants and gets new grants.

    Args:
        clock: Source of time.
        network: Network to the other hosts.
        holders: Holders of all shards.
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
        self.reports = reports.Reports(self.send_report)
        self.unreachable = unreachable.UnreachablePeers(
            clock, UNREACHABLE_PEER_PAUSE
        )

    def start(self) -> None:
        """Does nothing; grants are fetched when they are needed."""

    def close(self) -> None:
        """Gives back all tokens that are not reserved."""
        for state in self.accounts.values():
            self.return_wallet(state)
        self.reports.flush(self.clock.monotonic(), everything=True)

    def tick(self) -> None:
        """Sends reports that are due and returns idle tokens."""
        now = self.clock.monotonic()
        for account, state in list(self.accounts.items()):
            idle = now - state.wallet.last_spent_at
            if state.queue or idle < IDLE_TIME.total_seconds():
                continue
            self.return_wallet(state)
            del self.accounts[account]
        self.reports.flush(now)
        self.unreachable.prune()

    def reserve(self, account: str, tokens: int) -> Reservation:
        """Reserves tokens, waiting up to `queue_timeout` for them.

        Args:
            account: Client account.
            tokens: Tokens that the request can use at most.

        Raises:
            RefusedError: RATE_EXCEEDED, with the seconds after which a retry
                can succeed; REQUEST_ABOVE_BURST; or LIMIT_UNAVAILABLE if no
                ledger answered.
        """
        client = self.client(account)
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
        if not state.queue and state.wallet.balance(now) >= tokens:
            return self.take(state, account, tokens, now)
        ticket = object()
        state.queue.append(ticket)
        try:
            return self.wait(state, ticket, client, tokens)
        finally:
            state.queue.remove(ticket)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Gives back what a request did not use; later calls do nothing.

        Args:
            reservation: Reservation of the request.
            used: Tokens that it used.
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
            if part.grant.give_back(tokens, now):
                self.reports.add(part.grant)

    def client(self, account: str) -> registers.ClientAccount:
        """Returns the account's entry in the register in force."""
        client = self.register().client_accounts.get(account)
        if client is None:
            raise errors.RefusedError(
                results.LIMIT_UNAVAILABLE,
                "The account is not in the register in force.",
            )
        return client

    def take(
        self, state: AccountState, account: str, tokens: int, now: float
    ) -> Reservation:
        """Spends from the wallet."""
        parts = state.wallet.spend(tokens, now)
        for part in parts:
            self.reports.add(part.grant)
        return Reservation(account, tokens, parts)

    def wait(
        self,
        state: AccountState,
        ticket: object,
        client: registers.ClientAccount,
        tokens: int,
    ) -> Reservation:
        """Waits for the request's turn and then for its tokens."""
        started = self.clock.monotonic()
        limit = self.register().rules.queue_timeout.total_seconds()
        deadline = started + limit
        while True:
            first = state.queue[0] is ticket
            if first:
                self.collect(state, client, tokens, deadline)
                now = self.clock.monotonic()
                if state.wallet.balance(now) >= tokens:
                    return self.take(state, client.name, tokens, now)
            now = self.clock.monotonic()
            if now >= deadline:
                raise self.refusal(state, client, tokens, started)
            step = FIRST_STEP if first else QUEUE_STEP
            rest = datetime.timedelta(seconds=deadline - now)
            self.clock.sleep(
                min(step, max(rest, datetime.timedelta.resolution))
            )

    def refusal(
        self,
        state: AccountState,
        client: registers.ClientAccount,
        tokens: int,
        started: float,
    ) -> errors.RefusedError:
        """Returns the error for a request whose time is over."""
        if state.answered_at < started:
            return errors.RefusedError(
                results.LIMIT_UNAVAILABLE,
                retry_after=UNREACHABLE_PEER_PAUSE.total_seconds(),
            )
        lacking = tokens - state.wallet.balance(self.clock.monotonic())
        retry_after = max(lacking, 1) / client.rate if client.rate else 60.0
        return errors.RefusedError(
            results.RATE_EXCEEDED, retry_after=retry_after
        )

    def collect(
        self,
        state: AccountState,
        client: registers.ClientAccount,
        tokens: int,
        deadline: float,
    ) -> None:
        """Asks ledgers, this zone's first, until the wallet suffices."""
        short = []
        for zone in self.zones_by_preference(state):
            now = self.clock.monotonic()
            lacking = tokens - state.wallet.balance(now)
            if lacking <= 0:
                return
            if now < state.ask_at.get(zone, 0.0):
                continue
            if self.ask(state, client.name, zone, lacking, deadline):
                short.append(zone)
        now = self.clock.monotonic()
        lacking = tokens - state.wallet.balance(now)
        if lacking <= 0:
            return
        refill = lacking / client.rate if client.rate else 60.0
        pause = max(SHORTEST_PAUSE.total_seconds(), refill)
        for zone in short:
            state.short_at[zone] = now
            state.ask_at[zone] = now + min(pause, LONGEST_PAUSE.total_seconds())

    def zones_by_preference(self, state: AccountState) -> list[str]:
        """Returns this zone, then the others, longest not short first."""
        others = [
            name
            for name in self.register().availability_zones
            if name != self.availability_zone
        ]
        others.sort(key=lambda name: (state.short_at.get(name, 0.0), name))
        return [self.availability_zone, *others]

    def ask(
        self,
        state: AccountState,
        account: str,
        zone: str,
        lacking: int,
        deadline: float,
    ) -> bool:
        """Asks one ledger for tokens.

        Returns:
            Whether it answered with less than what is lacking.
        """
        shards = self.register().availability_zones[zone].shards
        shard = self.home_shard(ACCOUNT_KIND, account, shards)
        holder = self.holders.holder(zone, shard)
        sent_at = self.clock.monotonic()
        if holder is None:
            state.ask_at[zone] = sent_at + NO_HOLDER_PAUSE.total_seconds()
            return False
        if self.unreachable.is_paused(holder.address):
            return False
        due = self.reports.take(reports.Home(zone, shard), account)
        wanted = lacking + state.wallet.recent_spending(sent_at)
        request = messages.GrantRequest(
            account, shard, lacking, wanted, [grant.report() for grant in due]
        )
        reply = self.request(holder.address, request, deadline - sent_at)
        if reply is None or not reply.home:
            for grant in due:
                self.reports.add(grant)
            paused = self.clock.monotonic() + NO_HOLDER_PAUSE.total_seconds()
            state.ask_at[zone] = paused
            return False
        state.answered_at = self.clock.monotonic()
        if reply.tokens > 0:
            state.wallet.add(
                wallets.Grant(
                    account,
                    zone,
                    shard,
                    reply.grant_id,
                    reply.tokens,
                    sent_at,
                    reply.validity,
                )
            )
        return reply.tokens < lacking

    def request(
        self, address: str, request: messages.GrantRequest, left: float
    ) -> messages.GrantReply | None:
        """Returns the answer, or None if there was none in time."""
        timeout = min(PEER_TIMEOUT.total_seconds(), left)
        timeout = max(timeout, SHORTEST_PAUSE.total_seconds())
        try:
            reply = self.network.request(
                address, request, datetime.timedelta(seconds=timeout)
            )
        except errors.PeerError:
            self.unreachable.add(address)
            return None
        return reply if isinstance(reply, messages.GrantReply) else None

    def return_wallet(self, state: AccountState) -> None:
        """Gives back an account's tokens that are not reserved."""
        for grant in state.wallet.take_all():
            if grant.returned or grant.spent > grant.reported:
                self.reports.add(grant)

    def send_report(
        self, home: reports.Home, report: messages.GrantReport
    ) -> bool:
        """Sends a report; returns False if the holder is not known."""
        holder = self.holders.holder(home.availability_zone, home.shard)
        if holder is None:
            return False
        self.network.send(holder.address, report)
        return True
