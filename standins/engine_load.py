"""Load reports of the engine stand-in."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

import gevent

if TYPE_CHECKING:
    from standins import engine_decode
    from standins import engine_memory
    from standins import engine_prefill


class LoadReporter:
    """Samples the engine's load periodically; readers get the last sample.

    Args:
        profile: Gives the interval between two samples, `load_lag`.
        memory: Memory of the engine.
        prefills: Prefills of the engine.
        batch: Decodes of the engine.
    """

    def __init__(
        self,
        profile: engine_memory.EngineProfile,
        memory: engine_memory.Memory,
        prefills: engine_prefill.PrefillQueue,
        batch: engine_decode.DecodeBatch,
    ) -> None:
        self.profile = profile
        self.memory = memory
        self.prefills = prefills
        self.batch = batch
        self.report: dict[str, Any] = {}
        self.reported_at = 0.0
        self.update()

    def run(self) -> None:
        """Samples the load until the greenlet is killed."""
        while True:
            gevent.sleep(self.profile.load_lag)
            self.update()

    def update(self) -> None:
        """Stores a report of the current load."""
        self.report = {
            "running": len(self.batch.in_state("running")),
            "waiting": len(self.batch.in_state("waiting")),
            "free_pieces": self.memory.free,
            "queued_prefill_tokens": self.prefills.queued_tokens(),
        }
        self.reported_at = time.monotonic()

    def latest(self) -> dict[str, Any]:
        """Returns the response of `GET /v1/load`; "age" is in seconds."""
        age = time.monotonic() - self.reported_at
        return {**self.report, "age": age}
