"""Runner that can leave without reporting that it drains.

It is the project's stand-in with one more attribute, `registered`, set by
`POST /standin/set`: without it the runner no longer writes its registration.
With `leaving` it says so in all its answers.
"""

from __future__ import annotations

import click
import gevent
import msgspec

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from standins import runner


class LeavingRunner(runner.Runner):
    """The stand-in with a registration that can end; see the module."""

    def __init__(self, runner_id: str, service: str, address: str) -> None:
        super().__init__(runner_id, service, None, address)
        self.registered = True


def register_while_wanted(leaving: LeavingRunner, store: str) -> None:
    """Writes the registration at each heartbeat while it is wanted."""
    clock = clocks.SystemClock()
    while True:
        if leaving.registered:
            value = msgspec.json.encode(leaving.registration()).decode()
            row = {"table": "servers", "key": leaving.id, "value": value}
            body = msgspec.json.encode(row)
            head = messages.render_head(
                "POST /standin/put HTTP/1.1",
                [("Host", store), ("Content-Length", str(len(body)))],
            )
            connection = client.Connection(store, clock)
            try:
                connection.start(1.0)
                connection.send(head, body, 1.0)
                connection.read_part(1.0)
            except (
                client.ConnectError,
                client.BrokenConnectionError,
                client.ResponseTimeoutError,
            ):
                pass
            finally:
                connection.close()
        gevent.sleep(runner.HEARTBEAT_INTERVAL_S)


@click.command()
@click.option("--listen", required=True)
@click.option("--store", required=True)
@click.option("--id", "runner_id", required=True)
@click.option("--service", required=True)
@click.option("--journal", required=True)
@click.option("--work", default=0.06)
def main(
    listen: str,
    store: str,
    runner_id: str,
    service: str,
    journal: str,
    work: float,
) -> None:
    """Run a runner until it is killed."""
    leaving = LeavingRunner(runner_id, service, listen)
    leaving.journal = journal
    leaving.work_s = work
    leaving.start()
    gevent.spawn(register_while_wanted, leaving, store)
    gevent.wait()


if __name__ == "__main__":
    main()
