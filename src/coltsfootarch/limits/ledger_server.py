"""Serves grant requests from the ledgers of the shards that this host holds."""

from __future__ import annotations

import datetime
import math
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import structlog

from coltsfootarch.limits import ledger as ledgers
from coltsfootarch.limits import share_history
from coltsfootarch.limits import shares
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.zone import interfaces

# Shorter grants are not made, since they would often expire unspent.
MIN_GRANT_VALIDITY = datetime.timedelta(milliseconds=200)

PRUNE_INTERVAL = datetime.timedelta(seconds=5)
UNKNOWN_ACCOUNT_RETRY = datetime.timedelta(seconds=5)

# A received hand-over is kept this long for this host to claim the shard.
HANDOVER_RETENTION = datetime.timedelta(seconds=60)

MAX_GRANT_LIFETIME = ledgers.GRANT_VALIDITY + ledgers.EXPIRY_MARGIN


class ReceivedHandover(NamedTuple):
    """A hand-over and the instant at which it was received."""

    message: messages.LedgerHandover
    received_at: float


class ShardLedgers:
    """Ledgers of one shard under one epoch.

    Attributes:
        epoch: Epoch of the lease.
        refill_start: Instant from which unused ledgers refill, from zero.
        by_account: Ledgers with state, by account. An account without an
            entry has an unused ledger, whose level is computed.
    """

    def __init__(self, epoch: int, refill_start: float) -> None:
        self.epoch = epoch
        self.refill_start = refill_start
        self.by_account: dict[str, ledgers.Ledger] = {}


class ShardHistory:
    """State of a shard that outlives its ledgers on this host.

    Attributes:
        dropped_at: Instant at which ledgers were last dropped.
        exported_epoch: Epoch whose ledgers were exported; no grant is made
            under it any more.
        active_epoch: Epoch under which ledgers were imported or made a grant;
            a hand-over for this epoch is ignored.
    """

    __slots__ = ("active_epoch", "dropped_at", "exported_epoch")

    def __init__(self) -> None:
        self.dropped_at = -math.inf
        self.exported_epoch = 0
        self.active_epoch = 0


class LedgerServer:
    """Handles grant requests, reports and hand-overs for held shards.

    Args:
        clock: Source of time.
        leases: Shard leases of this host.
        holders: Looks up holders and hosts of all availability zones.
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
        self.share_history = share_history.ShareHistory(availability_zone)
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
        """Removes all ledgers; the shards must be exported before."""
        for shard in list(self.shards):
            self.drop(shard)

    def tick(self) -> None:
        """Records register edits; removes full ledgers and old hand-overs."""
        now = self.clock.monotonic()
        self.share_history.update(self.register(), now)
        if now - self.pruned_at < PRUNE_INTERVAL.total_seconds():
            return
        self.pruned_at = now
        for state in self.shards.values():
            self.prune(state, now)
        for shard, handover in list(self.handovers.items()):
            if now - handover.received_at > HANDOVER_RETENTION.total_seconds():
                del self.handovers[shard]

    def export(self, shard: int) -> messages.LedgerHandover | None:
        """Stops grants for a shard and returns the state of its ledgers.

        The shard makes no more grants under this epoch, so that the exported
        state is final. The caller releases the lease next and retries a
        release that failed.

        Args:
            shard: The shard.

        Returns:
            The hand-over for the next holder, or None if the shard is not
            held.
        """
        state = self.shard_ledgers(shard)
        if state is None:
            return None
        now = self.clock.monotonic()
        self.history(shard).exported_epoch = state.epoch
        exported = []
        for account, ledger in state.by_account.items():
            share = self.share(account)
            if share is not None:
                ledger.advance(share, now)
                exported.append(ledger.export(account, now))
        accrued = now - state.refill_start
        return messages.LedgerHandover(shard, state.epoch, exported, accrued)

    def drop(self, shard: int) -> None:
        """Removes the ledgers of a shard that is no longer held."""
        if self.shards.pop(shard, None) is not None:
            self.history(shard).dropped_at = self.clock.monotonic()

    def history(self, shard: int) -> ShardHistory:
        """Returns the history of a shard; an empty one if there is none."""
        return self.histories.setdefault(shard, ShardHistory())

    def shard_ledgers(self, shard: int) -> ShardLedgers | None:
        """Returns the ledgers under the current epoch, None if not held.

        For a new epoch they start empty, or from a hand-over that was
        received before.
        """
        epoch = self.leases.epoch(shard)
        if epoch is None:
            return None
        state = self.shards.get(shard)
        if state is None or state.epoch != epoch:
            state = ShardLedgers(epoch, self.refill_start(shard))
            self.shards[shard] = state
            handover = self.handovers.pop(shard, None)
            if handover is not None:
                self.import_handover(state, handover)
        return state

    def is_exported(self, shard: int, epoch: int) -> bool:
        """Returns whether the ledgers of this epoch were exported."""
        return self.history(shard).exported_epoch == epoch

    def refill_start(self, shard: int) -> float:
        """Returns the instant from which unused ledgers refill.

        A takeover only happens after all grants of the earlier holder have
        expired. Grants of a shard that was released or dropped may still be
        in use, so the refill starts after their longest lifetime.
        """
        acquired_at = self.leases.acquired_at(shard)
        since = self.clock.monotonic() if acquired_at is None else acquired_at
        if not self.leases.acquired_by_takeover(shard):
            since += MAX_GRANT_LIFETIME.total_seconds()
        dropped_at = self.history(shard).dropped_at
        return max(since, dropped_at + MAX_GRANT_LIFETIME.total_seconds())

    def import_handover(
        self, state: ShardLedgers, handover: ReceivedHandover
    ) -> bool:
        """Restores the ledgers of the earlier holder.

        Returns:
            False if the hand-over is not from the preceding epoch, or if this
            epoch already has imported ledgers or grants.
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
        state.refill_start = handover.received_at - message.accrued
        state.by_account.clear()
        for item in message.ledgers:
            share = self.share(item.account)
            if share is not None:
                state.by_account[item.account] = ledgers.restore(
                    item, share, handover.received_at
                )
        return True

    def share(self, account: str) -> shares.Share | None:
        """Returns this zone's share of an account's limits."""
        register = self.register()
        return shares.share_of(register, account, self.availability_zone)

    def account_ledger(
        self, state: ShardLedgers, account: str, now: float
    ) -> ledgers.Ledger | None:
        """Returns an account's ledger advanced to `now`.

        Returns:
            The ledger, or None if the account is not registered.
        """
        self.share_history.update(self.register(), now)
        share = self.share(account)
        if share is None:
            return None
        ledger = state.by_account.get(account)
        if ledger is None:
            level = self.share_history.unused_level(
                account, share, state.refill_start, now
            )
            ledger = ledgers.Ledger(share, level, now)
            state.by_account[account] = ledger
        ledger.advance(share, now)
        return ledger

    def prune(self, state: ShardLedgers, now: float) -> None:
        """Removes ledgers whose state equals that of an unused ledger."""
        for account, ledger in list(state.by_account.items()):
            share = self.share(account)
            if share is None:
                continue
            ledger.advance(share, now)
            unused = self.share_history.unused_level(
                account, share, state.refill_start, now
            )
            if ledger.is_idle() and unused >= share.burst:
                del state.by_account[account]

    def handle_request(
        self, sender: messages.Sender, request: messages.GrantRequest
    ) -> messages.GrantReply:
        """Answers a grant request with what the ledger can grant."""
        now = self.clock.monotonic()
        state = self.shard_ledgers(request.shard)
        if state is None or self.is_exported(request.shard, state.epoch):
            return messages.GrantReply("", 0, 0.0, 0.0, home=False)
        ledger = self.account_ledger(state, request.account, now)
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
        """Makes a grant and returns it as the reply.

        On its host, a grant never outlives the lease on the shard.
        """
        validity = min(
            ledgers.GRANT_VALIDITY.total_seconds(),
            self.leases.remaining(request.shard),
        )
        if validity < MIN_GRANT_VALIDITY.total_seconds():
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
        """Applies a host's usage reports; ignored if the shard is not held."""
        state = self.shard_ledgers(report.shard)
        if state is None or self.is_exported(report.shard, state.epoch):
            return
        now = self.clock.monotonic()
        for usage in report.usage:
            ledger = state.by_account.get(usage.account or report.account)
            if ledger is not None:
                share = self.share(usage.account or report.account)
                ledger.advance(share or ledger.share, now)
                ledger.report(usage, now)

    def handle_handover(
        self, sender: messages.Sender, handover: messages.LedgerHandover
    ) -> messages.Ack:
        """Imports the ledgers of a shard from its earlier holder.

        If this host has not claimed the shard yet, the hand-over is kept
        until it has.
        """
        received = ReceivedHandover(handover, self.clock.monotonic())
        state = self.shard_ledgers(handover.shard)
        if state is None:
            self.handovers[handover.shard] = received
            return messages.Ack()
        return messages.Ack(self.import_handover(state, received))
