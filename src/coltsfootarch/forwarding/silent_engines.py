"""Engines that are silent at present and may be sound nevertheless."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.forwarding import silences

if TYPE_CHECKING:
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import generations

# Time for which this host sends no requests to an engine that was silent.
SILENCE_BACKOFF_S = 0.3


class SilentEngines:
    """Records silences; tells which requests need a silent engine.

    Args:
        context: Components that all pipelines of the host share.

    Attributes:
        connections: Engines that accepted no connection in time.
        reservations: Engines that answered no reservation in time.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.context = context
        self.connections = silences.Silences(context.clock)
        self.reservations = silences.Silences(context.clock)

    def record(
        self,
        generation: generations.Generation,
        engine_id: str,
        known: silences.Silences,
    ) -> None:
        """Records that an engine was silent; it is asked again a little later.

        Args:
            generation: The request that found it silent.
            engine_id: Id of the engine.
            known: `connections` or `reservations`.
        """
        known.record(engine_id)
        generation.met_silence = True
        self.context.outcome_tracker.back_off(engine_id, SILENCE_BACKOFF_S)

    def is_silent(self, engine_id: str) -> bool:
        """Returns whether an engine is silent and may still be sound."""
        return self.reservations.is_silent(engine_id) or (
            self.connections.is_silent(engine_id)
            and self.connections.is_short(engine_id)
        )

    def is_awaited(self, generation: generations.Generation) -> bool:
        """Returns whether a request may need an engine that is silent.

        It has found one, or all engines are silent.
        """
        if generation.met_silence:
            return True
        if not self.connections.entries and not self.reservations.entries:
            return False
        engines = self.context.engine_placer.decode_engines(
            generation.call.service
        )
        return bool(engines) and all(
            self.is_silent(engine.id) for engine in engines
        )
