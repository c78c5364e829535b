"""Orders to runners, and the claims that authorize a host to send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from coltsfootarch.fleet import stage_orders
from coltsfootarch.fleet import store_epochs
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.platform import decoding
from coltsfootarch.platform import wire

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.platform import store

CLAIM_TABLE = "coltsfootarch-claims"
ORDER_TIMEOUT_S = 0.8
# Fences that can be given out in one epoch of the store.
FENCES_PER_EPOCH = 2**32

logger = structlog.get_logger(__name__)


class StoredClaim(msgspec.Struct):
    """Row of the last claim for a service.

    Attributes:
        holder: Name of the host that made the claim.
        fence: Number of the claim; later claims have higher numbers.
        at_ms: Time at which the claim was requested, by the store's clock, in
            milliseconds.
        epoch: Epoch of the store in which it was made; 0 if unknown.
    """

    holder: str
    fence: int
    at_ms: int
    epoch: int = 0


class ClaimTable:
    """Claims as rows of the store; implements `stage_orders.ClaimTable`.

    Args:
        store_client: Client of the store.
        clock: Source of time.
    """

    def __init__(
        self, store_client: store.StoreClient, clock: clocks.Clock
    ) -> None:
        self.client = store_client
        self.clock = clock

    def claim(
        self, service: str, holder: str, gap_s: float
    ) -> stage_orders.Claim | None:
        """Makes a claim unless the last one is too recent.

        A store that was restored may have lost the last claims. The first one
        in its new epoch only records the time from which the gap counts, and
        the fences of an epoch are higher than those of all earlier ones.

        Args:
            service: Service to claim.
            holder: Name of this host.
            gap_s: Minimum time after the last claim, in seconds.

        Returns:
            The claim; None if the last one is, or may be, too recent or if
            another host made one at the same time.

        Raises:
            errors.TableUnavailableError: The claim may have been written, but
                must not be used.
        """
        row, now_ms, epoch = self.client.read_row(CLAIM_TABLE, service)
        lowest = max(epoch - store_epochs.FIRST_EPOCH, 0) * FENCES_PER_EPOCH
        fence = 0
        revision = 0
        is_known = epoch <= store_epochs.FIRST_EPOCH
        if row is not None:
            revision = row.revision
            try:
                last = msgspec.json.decode(row.value or b"", type=StoredClaim)
            except msgspec.DecodeError:
                # The age and the number of the last claim are unknown. The
                # row's revision serves as its number: it is at least as high
                # as any number given out so far.
                fence = lowest + row.revision
            else:
                is_known = is_known or last.epoch == epoch
                age_ms = now_ms - last.at_ms
                if is_known and age_ms < gap_s * decoding.MS_PER_S:
                    return None
                fence = last.fence
        asked_at = self.clock.monotonic()
        stored = StoredClaim(holder, max(fence, lowest) + 1, now_ms, epoch)
        if not self.client.replace_row(
            CLAIM_TABLE,
            service,
            msgspec.json.encode(stored),
            store_epochs.Position(epoch, revision),
        ):
            return None
        if not is_known:
            logger.info(
                "claims may have been lost in a restoration",
                service=service,
                epoch=epoch,
                wait_s=gap_s,
            )
            return None
        return stage_orders.Claim(holder, stored.fence, asked_at)


class RunnerOrders:
    """Sends orders to runners; implements `stage_orders.StageOrders`.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock

    def change_stage(
        self,
        engine: upstreams.Upstream,
        stage: upstreams.Stage,
        claim: stage_orders.Claim,
    ) -> str:
        """Orders a runner to change its stage.

        Args:
            engine: The runner.
            stage: Its new stage.
            claim: Claim of this host for the runner's service.

        Returns:
            The status code of the answer, or a description of the failure.
        """
        document = {
            "op": "stage",
            "stage": stage.value,
            "holder": claim.holder,
            "fence": claim.fence,
        }
        order = wire.encode_call(engine, "/api/order", document)
        connection = client.Connection(engine.address, self.clock)
        try:
            connection.start(ORDER_TIMEOUT_S)
            connection.send(order, b"", ORDER_TIMEOUT_S)
            part = connection.read_part(ORDER_TIMEOUT_S)
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            return str(error) or type(error).__name__
        finally:
            connection.close()
        if isinstance(part, messages.ResponseHead):
            return str(part.status)
        return "no answer"
