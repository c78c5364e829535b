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
    """Takes a report now and then; readers see the last one.

    Args:
        profile: Interval between two reports.
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
        self.take()

    def run(self) -> None:
        """Takes reports until the greenlet is killed."""
        while True:
            gevent.sleep(self.profile.load_lag)
            self.take()

    def take(self) -> None:
        """Takes a report of the present load."""
        self.report = {
            "running": len(self.batch.in_state("running")),
            "waiting": len(self.batch.in_state("waiting")),
            "free_pieces": self.memory.free,
            "queued_prefill_tokens": self.prefills.queued_tokens(),
        }
        self.reported_at = time.monotonic()

    def latest(self) -> dict[str, Any]:
        """Returns the answer of `GET /v1/load`."""
        age = time.monotonic() - self.reported_at
        return {**self.report, "age": age}
