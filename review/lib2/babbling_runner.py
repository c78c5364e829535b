"""Runner in trouble: a body of small chunks without end.

It is the project's stand-in but for the fault "endless chunks", with which it
answers each request by a sound head and then chunks of a few bytes, which are
no event and no answer, until the caller closes.
"""

from __future__ import annotations

import click
import gevent

from coltsfootarch.http1 import messages
from standins import http
from standins import runner as runners

# A runner that is caught in a loop writes what it takes for a part of an event,
# a chunk each time.
CHUNK = b"data: x\n"
BYTES_PER_WRITE = 32768


class BabblingRunner(runners.Runner):
    """Runner that may answer without end.

    Attributes:
        repeats: How often a chunk holds `CHUNK`.
    """

    repeats = 1

    def send_endlessly(
        self, request_id: str, connection: http.Connection
    ) -> None:
        """Sends small chunks until the caller closes."""
        fields = [
            *self.response_fields(request_id),
            ("Transfer-Encoding", "chunked"),
        ]
        connection.send(messages.render_head(messages.status_line(200), fields))
        data = CHUNK * self.repeats
        chunk = b"%x\r\n%b\r\n" % (len(data), data)
        piece = chunk * (BYTES_PER_WRITE // len(chunk))
        while connection.open:
            connection.send(piece)
            gevent.sleep(0)


@click.command()
@click.option("--listen", required=True)
@click.option("--store", required=True)
@click.option("--id", "runner_id", required=True)
@click.option("--service", required=True)
@click.option("--stage", type=click.Choice(["prefill", "decode"]))
@click.option("--work", default=0.01, help="Seconds for a call or an event.")
def main(
    listen: str,
    store: str,
    runner_id: str,
    service: str,
    stage: str | None,
    work: float,
) -> None:
    """Run the runner until it is killed."""
    runner = BabblingRunner(runner_id, service, stage, listen, "regina")
    runner.work_s = work
    runner.event_gap_s = work
    runner.start()
    gevent.spawn(runners.register_forever, runner, store)
    gevent.wait()


if __name__ == "__main__":
    main()
