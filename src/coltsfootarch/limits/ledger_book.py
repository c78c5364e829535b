"""Ledgers of the shards that this host holds."""

from __future__ import annotations

import datetime
import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import structlog

from coltsfootarch.limits import edits
from coltsfootarch.limits import ledger as ledgers
from coltsfootarch.limits import shares
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.zone import interfaces

# A grant that lives shorter than this can hardly be spent in time.
SHORTEST_VALIDITY = datetime.timedelta(milliseconds=200)

PRUNE_INTERVAL = datetime.timedelta(seconds=5)
UNKNOWN_ACCOUNT_RETRY = datetime.timedelta(seconds=5)

# How long a hand-over waits for this host to claim the shard.
HANDOVER_WAIT = datetime.timedelta(seconds=60)

LONGEST_GRANT = ledgers.GRANT_VALIDITY + ledgers.EXPIRY_MARGIN


class ReceivedHandover(NamedTuple):
    """A hand-over and the instant at which it arrived."""

    message: messages.LedgerHandover
    received_at: float


class ShardLedgers:
    """Ledgers of one shard under one epoch.

    Attributes:
        epoch: Epoch of the lease.
        since: Instant from which unused ledgers refill, starting at zero.
        used: Ledgers with state, by account.
    """

    def __init__(self, epoch: int, since: float) -> None:
        self.epoch = epoch
        self.since = since
        self.used: dict[str, ledgers.Ledger] = {}


class ShardHistory:
    """What must be remembered of a shard when its ledgers are dropped.

    Attributes:
        dropped_at: Instant at which ledgers were last dropped.
        exported_epoch: Epoch whose ledgers were exported; no grants under it.
        active_epoch: Epoch under which ledgers were adopted or granted; a
            hand-over for it comes too late.
    """

    __slots__ = ("active_epoch", "dropped_at", "exported_epoch")

    def __init__(self) -> None:
        self.dropped_at = -math.inf
        self.exported_epoch = 0
        self.active_epoch = 0


class LedgerBook:
    """Answers grant requests for the shards that this host holds.

    Args:
        clock: Source of time.
        leases: Shard leases of this host.
        holders: Holders and hosts of all availability zones.
        availability_zone: Zone of this host.
        network: Network to the other hosts.
        register: Returns the register in force.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        leases: interfaces.Leases,
        holders: interfaces.Holders,
        availability_zone: str,
        network: networks.PeerNetwork,
        register: Callable[[], registers.Register],
    ) -> None:
        self.clock = clock
        self.leases = leases
        self.holders = holders
        self.availability_zone = availability_zone
        self.network = network
        self.register = register
        self.edits = edits.Edits(availability_zone)
        self.shards: dict[int, ShardLedgers] = {}
        self.histories: dict[int, ShardHistory] = {}
        self.handovers: dict[int, ReceivedHandover] = {}
        self.grants = 0
        self.pruned_at = clock.monotonic()
        self.log: Any = structlog.get_logger(__name__)

    def start(self) -> None:
        """Registers the message handlers."""
        self.network.register(messages.GrantRequest, self.handle_request)
        self.network.register(messages.GrantReport, self.handle_report)
        self.network.register(messages.LedgerHandover, self.handle_handover)

    def close(self) -> None:
        """Removes all ledgers; export the shards first."""
        for shard in list(self.shards):
            self.drop(shard)

    def tick(self) -> None:
        """Follows register edits and forgets ledgers that are full again."""
        now = self.clock.monotonic()
        self.edits.follow(self.register(), now)
        if now - self.pruned_at < PRUNE_INTERVAL.total_seconds():
            return
        self.pruned_at = now
        for state in self.shards.values():
            self.prune(state, now)
        for shard, handover in list(self.handovers.items()):
            if now - handover.received_at > HANDOVER_WAIT.total_seconds():
                del self.handovers[shard]

    def export(self, shard: int) -> messages.LedgerHandover | None:
        """Stops granting for a shard and returns its ledgers.

        The shard stays closed under this epoch, so that the exported state
        is final; the caller releases the lease next, and repeats a release
        that failed.

        Args:
            shard: The shard.

        Returns:
            The hand-over for the next holder, or None if the shard is not
            held.
        """
        state = self.open_shard(shard)
        if state is None:
            return None
        now = self.clock.monotonic()
        self.history(shard).exported_epoch = state.epoch
        exported = []
        for account, ledger in state.used.items():
            share = self.share(account)
            if share is not None:
                ledger.advance(share, now)
                exported.append(ledger.export(account, now))
        accrued = now - state.since
        return messages.LedgerHandover(shard, state.epoch, exported, accrued)

    def drop(self, shard: int) -> None:
        """Removes the ledgers of a shard that is no longer held."""
        if self.shards.pop(shard, None) is not None:
            self.history(shard).dropped_at = self.clock.monotonic()

    def history(self, shard: int) -> ShardHistory:
        """Returns what is remembered of a shard."""
        return self.histories.setdefault(shard, ShardHistory())

    def open_shard(self, shard: int) -> ShardLedgers | None:
        """Returns the ledgers of a shard, or None if it is not held now."""
        epoch = self.leases.epoch(shard)
        if epoch is None:
            return None
        state = self.shards.get(shard)
        if state is None or state.epoch != epoch:
            state = ShardLedgers(epoch, self.first_refill(shard))
            self.shards[shard] = state
            handover = self.handovers.pop(shard, None)
            if handover is not None:
                self.adopt(state, handover)
        return state

    def is_exported(self, shard: int, epoch: int) -> bool:
        """Returns whether the ledgers of this epoch were exported."""
        return self.history(shard).exported_epoch == epoch

    def first_refill(self, shard: int) -> float:
        """Returns the instant from which unused ledgers refill.

        A takeover happens after all grants of the earlier holder have ended.
        A shard that was released or dropped may still have grants in use.
        """
        acquired_at = self.leases.acquired_at(shard)
        since = self.clock.monotonic() if acquired_at is None else acquired_at
        if not self.leases.inherited(shard):
            since += LONGEST_GRANT.total_seconds()
        dropped_at = self.history(shard).dropped_at
        return max(since, dropped_at + LONGEST_GRANT.total_seconds())

    def adopt(self, state: ShardLedgers, handover: ReceivedHandover) -> bool:
        """Continues the ledgers of the earlier holder.

        Returns:
            False if the hand-over is of another epoch or comes too late.
        """
        message = handover.message
        history = self.history(message.shard)
        if (
            message.epoch != state.epoch - 1
            or history.active_epoch >= state.epoch
        ):
            self.log.warning(
                "ledger_handover_ignored",
                shard=message.shard,
                epoch=message.epoch,
            )
            return False
        history.active_epoch = state.epoch
        state.since = handover.received_at - message.accrued
        state.used.clear()
        for item in message.ledgers:
            share = self.share(item.account)
            if share is not None:
                state.used[item.account] = ledgers.restore(
                    item, share, handover.received_at
                )
        return True

    def share(self, account: str) -> shares.Share | None:
        """Returns this zone's share of an account's limits."""
        register = self.register()
        return shares.share_of(register, account, self.availability_zone)

    def open_ledger(
        self, state: ShardLedgers, account: str, now: float
    ) -> ledgers.Ledger | None:
        """Returns an account's ledger up to date, None if unregistered."""
        self.edits.follow(self.register(), now)
        share = self.share(account)
        if share is None:
            return None
        ledger = state.used.get(account)
        if ledger is None:
            level = self.edits.unused_level(account, share, state.since, now)
            ledger = ledgers.Ledger(share, level, now)
            state.used[account] = ledger
        ledger.advance(share, now)
        return ledger

    def prune(self, state: ShardLedgers, now: float) -> None:
        """Removes ledgers that equal an unused one."""
        for account, ledger in list(state.used.items()):
            share = self.share(account)
            if share is None:
                continue
            ledger.advance(share, now)
            unused = self.edits.unused_level(account, share, state.since, now)
            if ledger.idle() and unused >= share.burst:
                del state.used[account]

    def handle_request(
        self, sender: messages.Sender, request: messages.GrantRequest
    ) -> messages.GrantReply:
        """Grants what the ledger can give."""
        now = self.clock.monotonic()
        state = self.open_shard(request.shard)
        if state is None or self.is_exported(request.shard, state.epoch):
            return messages.GrantReply("", 0, 0.0, 0.0, home=False)
        ledger = self.open_ledger(state, request.account, now)
        if ledger is None:
            retry_after = UNKNOWN_ACCOUNT_RETRY.total_seconds()
            return messages.GrantReply("", 0, 0.0, retry_after)
        for usage in request.usage:
            ledger.report(usage, now)
        return self.grant(state, ledger, request, now)

    def grant(
        self,
        state: ShardLedgers,
        ledger: ledgers.Ledger,
        request: messages.GrantRequest,
        now: float,
    ) -> messages.GrantReply:
        """Subtracts tokens and returns the grant."""
        validity = min(
            ledgers.GRANT_VALIDITY.total_seconds(),
            self.leases.remaining(request.shard),
        )
        if validity < SHORTEST_VALIDITY.total_seconds():
            return messages.GrantReply("", 0, 0.0, validity)
        self.grants += 1
        grant_id = f"{request.shard}.{state.epoch}.{self.grants}"
        granted = ledger.grant(
            grant_id,
            request.minimum,
            request.wanted,
            self.holders.live_hosts(self.availability_zone),
            validity,
            now,
        )
        if granted.tokens == 0:
            return messages.GrantReply("", 0, 0.0, granted.retry_after)
        self.history(request.shard).active_epoch = state.epoch
        return messages.GrantReply(
            grant_id, granted.tokens, validity, granted.retry_after
        )

    def handle_report(
        self, sender: messages.Sender, report: messages.GrantReport
    ) -> None:
        """Applies the usage reports of a host."""
        state = self.open_shard(report.shard)
        if state is None or self.is_exported(report.shard, state.epoch):
            return
        now = self.clock.monotonic()
        for usage in report.usage:
            ledger = state.used.get(usage.account or report.account)
            if ledger is not None:
                share = self.share(usage.account or report.account)
                ledger.advance(share or ledger.share, now)
                ledger.report(usage, now)

    def handle_handover(
        self, sender: messages.Sender, handover: messages.LedgerHandover
    ) -> messages.Ack:
        """Takes over the ledgers of a shard that this host holds next."""
        received = ReceivedHandover(handover, self.clock.monotonic())
        state = self.open_shard(handover.shard)
        if state is None:
            self.handovers[handover.shard] = received
            return messages.Ack()
        return messages.Ack(self.adopt(state, received))
