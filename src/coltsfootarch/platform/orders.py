"""Orders to runners, and the claims that authorize a host to send them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from coltsfootarch.fleet import stage_orders
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


class StoredClaim(msgspec.Struct):
    """Row of the last claim for a service.

    Attributes:
        holder: Name of the host that made the claim.
        fence: Number of the claim; later claims have higher numbers.
        at_ms: Time at which the claim was requested, by the store's clock, in
            milliseconds.
    """

    holder: str
    fence: int
    at_ms: int


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

        Args:
            service: Service to claim.
            holder: Name of this host.
            gap_s: Minimum time after the last claim, in seconds.

        Returns:
            The claim; None if the last one is too recent or another host made
            one at the same time.

        Raises:
            errors.TableUnavailableError: The claim may have been written, but
                must not be used.
        """
        row, now_ms = self.client.read_row(CLAIM_TABLE, service)
        fence = 0
        revision = 0
        if row is not None:
            revision = row.revision
            try:
                last = msgspec.json.decode(row.value or b"", type=StoredClaim)
            except msgspec.DecodeError:
                # The age and the number of the last claim are unknown. The
                # row's revision serves as its number: it is at least as high
                # as any number given out so far.
                fence = row.revision
            else:
                if now_ms - last.at_ms < gap_s * decoding.MS_PER_S:
                    return None
                fence = last.fence
        asked_at = self.clock.monotonic()
        stored = StoredClaim(holder, fence + 1, now_ms)
        if not self.client.replace_row(
            CLAIM_TABLE, service, msgspec.json.encode(stored), revision
        ):
            return None
        return stage_orders.Claim(holder, fence + 1, asked_at)


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
