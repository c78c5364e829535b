"""Prefill queues and decode reservations of the engines of one pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.config import register
from coltsfootarch.scheduling import decode
from coltsfootarch.scheduling import prefill

if TYPE_CHECKING:
    from collections.abc import Iterable


class PoolEngines:
    """Scheduling state of a pool's engines by engine name.

    Attributes:
        prefills: Queue of each prefill engine.
        decodes: Slots and memory of each decode engine.
    """

    def __init__(self) -> None:
        self.prefills: dict[str, prefill.PrefillQueue] = {}
        self.decodes: dict[str, decode.DecodeCapacity] = {}

    def replace(self, upstreams: Iterable[register.Upstream]) -> None:
        """Replaces the engines; engines that remain keep their state."""
        named = {upstream.name: upstream for upstream in upstreams}
        for name in [*self.prefills, *self.decodes]:
            if name not in named:
                self.prefills.pop(name, None)
                self.decodes.pop(name, None)
        for upstream in named.values():
            if upstream.role is register.UpstreamRole.PREFILL:
                self.set_prefill(upstream)
            elif upstream.role is register.UpstreamRole.DECODE:
                self.set_decode(upstream)

    def set_prefill(self, upstream: register.Upstream) -> None:
        """Adds or updates a prefill engine."""
        name = upstream.name
        self.decodes.pop(name, None)
        queue = self.prefills.get(name)
        if queue is None:
            queue = self.prefills[name] = prefill.PrefillQueue(upstream)
        if queue.upstream.state is not upstream.state:
            queue.reset_cache()
        queue.upstream = upstream

    def set_decode(self, upstream: register.Upstream) -> None:
        """Adds or updates a decode engine."""
        name = upstream.name
        self.prefills.pop(name, None)
        capacity = self.decodes.get(name)
        if capacity is None:
            capacity = self.decodes[name] = decode.DecodeCapacity(upstream)
        capacity.upstream = upstream

    def upstreams(self) -> list[register.Upstream]:
        """Returns the pool's engines."""
        sources = [queue.upstream for queue in self.prefills.values()]
        targets = [entry.upstream for entry in self.decodes.values()]
        return sources + targets

    def record_failure(self, upstream: str, now: float) -> None:
        """Records a failure of an engine.

        The cache view of a prefill engine is cleared, since the engine may
        have restarted.
        """
        if upstream in self.prefills:
            self.prefills[upstream].health.record_failure(now)
            self.prefills[upstream].reset_cache()
        if upstream in self.decodes:
            self.decodes[upstream].health.record_failure(now)
