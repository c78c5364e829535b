"""Decode engine that leaves its first order unanswered and carries it out late.

It is the project's stand-in with one more attribute, `late_s`, set by
`POST /standin/set`: the next order gets no answer and is carried out so many
seconds later. The engine keeps a list of what it carried out, and refuses an
order whose `expected` differs from its sequence at that point.
"""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from typing import Any

import click
import gevent
import msgspec

from standins import runner

if TYPE_CHECKING:
    from coltsfootarch.http1 import messages
    from standins import http


class LateEngine(runner.Runner):
    """The stand-in with late orders; see the module."""

    def __init__(
        self, runner_id: str, service: str, stage: str, address: str
    ) -> None:
        super().__init__(runner_id, service, stage, address)
        self.late_s = 0.0

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Handles orders itself and leaves the rest to the stand-in."""
        if request.target != "/api/order":
            super().handle(request, connection)
            return
        order = msgspec.json.decode(request.body)
        self.note("arrived", order)
        late_s, self.late_s = self.late_s, 0.0
        if late_s:
            gevent.sleep(late_s)
            self.carry_out(order)
        else:
            connection.respond(self.carry_out(order))

    def carry_out(self, order: dict[str, Any]) -> int:
        """Carries out an order; returns the status of its answer."""
        if order.get("expected", len(self.orders)) != len(self.orders):
            self.note("refused, 409", order)
            return 409
        already = self.stage == order["stage"]
        self.orders.append(order)
        self.stage = order["stage"]
        self.note("carried out", order)
        return 200 if already else 202

    def note(self, event: str, order: dict[str, Any]) -> None:
        """Adds a line to the list of orders."""
        line = {"at": time.monotonic(), "event": event, **order}
        with open(f"{self.journal}.orders", "a") as file:
            file.write(json.dumps(line) + "\n")


@click.command()
@click.option("--listen", required=True)
@click.option("--store", required=True)
@click.option("--id", "runner_id", required=True)
@click.option("--service", required=True)
@click.option("--stage", required=True)
@click.option("--journal", required=True)
@click.option("--work", default=0.06)
def main(
    listen: str,
    store: str,
    runner_id: str,
    service: str,
    stage: str,
    journal: str,
    work: float,
) -> None:
    """Run an engine until it is killed."""
    engine = LateEngine(runner_id, service, stage, listen)
    engine.journal = journal
    engine.work_s = work
    engine.event_gap_s = work
    engine.start()
    gevent.spawn(runner.register_forever, engine, store)
    gevent.wait()


if __name__ == "__main__":
    main()
