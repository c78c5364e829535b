"""Runner of a plain service that sends bytes which belong to no request.

It is the project's stand-in with two more faults, set by `POST /standin/set`:

- `late_refusals`: an earlier refusal is written once more on its connection,
  where the answer to the next request is expected.
- `torn_answers`: an answer is followed at once by the first bytes of a second
  copy of it, which end within a header field.

At most `LATE_SHARE` or `TORN_SHARE` of the answers get such bytes.
"""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import click
import gevent

from coltsfootarch.http1 import messages
from standins import runner

if TYPE_CHECKING:
    from standins import http

# Largest shares of spoiled answers in the site's list of troubles: `garble`
# with "extra late", and without a variant.
LATE_SHARE = 0.03
TORN_SHARE = 0.02


class FaultyRunner(runner.Runner):
    """The stand-in with more faults.

    Attributes:
        late_refusals: Whether refusals are written twice.
        torn_answers: Whether answers are followed by a torn copy.
        error_share: Share of the calls that the runner answers with 500.
        answers: Number of answers since the fault was set.
        extras: Number of answers that got additional bytes.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        stage: str | None,
        address: str,
    ) -> None:
        super().__init__(runner_id, service, stage, address)
        self.late_refusals = False
        self.torn_answers = False
        self.error_share = 0.0
        self.answers = 0
        self.extras = 0
        self.generator = random.Random(runner_id)
        self.pending: dict[int, bytes] = {}

    def may_spoil(self, share: float) -> bool:
        """Returns whether one more answer may get additional bytes."""
        return self.extras + 1 <= self.answers * share

    def note(self, request_id: str, text: str) -> None:
        """Adds a line to the list of what this runner answered."""
        with open(f"{self.journal}.answers", "a") as file:
            file.write(json.dumps([request_id, text]) + "\n")

    def serve(
        self,
        request: messages.Request,
        fields: dict[str, str],
        connection: http.Connection,
    ) -> None:
        """Executes or refuses a request; see the module."""
        key = id(connection)
        copy = self.pending.pop(key, b"")
        if copy:
            self.note(
                fields.get("x-request-id", ""),
                "before its answer, the earlier refusal was written again",
            )
            connection.send(copy)
        refused = self.refused
        super().serve(request, fields, connection)
        if self.refused == refused:
            return
        self.answers += 1
        self.note(fields.get("x-request-id", ""), "503 not executed")
        if self.late_refusals and self.may_spoil(LATE_SHARE):
            self.extras += 1
            self.pending[key] = self.refusal()

    def refusal(self) -> bytes:
        """Returns the bytes of a refusal."""
        return messages.render_head(
            messages.status_line(503),
            [*self.refusal_fields(), ("Content-Length", "0")],
        )

    def call(self, request_id: str, connection: http.Connection) -> None:
        """Executes a call and answers it with 200, or with 500 if it fails."""
        gevent.sleep(self.work_s)
        failed = self.generator.random() < self.error_share
        status = 500 if failed else 200
        text = f"{'failure' if failed else 'answer'} of {self.id} to "
        body = f"{text}{request_id}".encode()
        head = messages.render_head(
            messages.status_line(status),
            [
                ("Content-Type", "text/plain"),
                *self.response_fields(request_id),
                ("Content-Length", str(len(body))),
            ],
        )
        self.answers += 1
        torn = b""
        may_spoil = self.may_spoil(TORN_SHARE)
        if self.torn_answers and not failed and may_spoil:
            self.extras += 1
            torn = head[: head.index(b"text/plain") + len(b"text/pl")]
        self.note(request_id, f"{status}{' and a torn copy' if torn else ''}")
        connection.send(head + body + torn)
        self.record_end(request_id, "answered")


@click.command()
@click.option("--listen", required=True)
@click.option("--store", required=True)
@click.option("--id", "runner_id", required=True)
@click.option("--service", required=True)
@click.option("--stage", default=None)
@click.option("--journal", required=True)
@click.option("--work", default=0.06)
def main(
    listen: str,
    store: str,
    runner_id: str,
    service: str,
    stage: str | None,
    journal: str,
    work: float,
) -> None:
    """Run a runner until it is killed."""
    faulty = FaultyRunner(runner_id, service, stage, listen)
    faulty.journal = journal
    faulty.work_s = work
    faulty.start()
    gevent.spawn(runner.register_forever, faulty, store)
    gevent.wait()


if __name__ == "__main__":
    main()
