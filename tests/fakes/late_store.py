"""Metadata store that can carry out writes after it has lost their answers."""

from __future__ import annotations

import msgspec

from standins import metadata_store


class LateStore(metadata_store.MetadataStore):
    """Store that keeps back writes and resets their connections.

    Attributes:
        keeps_back: Whether it keeps back the writes that arrive.
        kept_back: Transactions that it hasn't carried out yet.
        answers_to_lose: Number of writes that are done without an answer.
    """

    def __init__(self):
        super().__init__()
        self.keeps_back = False
        self.kept_back = []
        self.answers_to_lose = 0

    def handle(self, request, connection):
        if self.keeps_back and request.target.endswith("/rows-tx"):
            self.kept_back.append(msgspec.json.decode(request.body))
            connection.reset()
            return
        if self.answers_to_lose and request.target.endswith("/rows-tx"):
            self.answers_to_lose -= 1
            self.transact(msgspec.json.decode(request.body))
            connection.reset()
            return
        super().handle(request, connection)

    def carry_out(self):
        """Carries out what was kept back, as far as its conditions hold."""
        self.keeps_back = False
        for document in self.kept_back:
            self.transact(document)
        self.kept_back.clear()
