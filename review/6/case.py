"""One runner's endless answer in small chunks stops an entry host.

See `claim.txt`. Exits with 1 if the rule was broken, with 0 if it held, with 2
if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib

from review.lib2 import clients as client_module
from review.lib2 import deployment as deployments

FOLDER = pathlib.Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How many times 8 bytes a chunk of the endless answer has: 256 bytes, like an
# event of a sound stream.
REPEATS = int(os.environ.get("REPEATS", "32"))
ENGINES = ("llm-1", "llm-2", "llm-3")
# Length of the traffic and the start of the trouble, in seconds.
LENGTH_S = 40.0
TROUBLE_AT_S = 8.0
# `timeout_ms` of the route, and half a second beyond it.
TIMEOUT_S = 2.0
LATE_S = 2.5
# Requests a second at each host, as on the sheet of a small deployment.
STOCK_PER_S = 3.0
STREAMS_PER_S = 0.7
DEADLINE_MS = 4000
STREAM_DEADLINE_MS = 14000
# Time for which the platform's check of readiness waits.
PROBE_TIMEOUT_S = 1.0
# Fewest requests that must be unanswered at their timeout to judge.
MIN_OVERDUE = 8


async def send_stock(
    clients: client_module.Clients, host: deployments.Host
) -> None:
    """Asks for the stock again and again; requests don't wait for others."""
    tasks = []
    while clients.now() < LENGTH_S:
        tasks.append(
            asyncio.create_task(
                clients.send(host.listen, "GET", "/stock/1", DEADLINE_MS)
            )
        )
        await asyncio.sleep(1 / STOCK_PER_S)
    await asyncio.gather(*tasks)


async def send_streams(
    clients: client_module.Clients, host: deployments.Host
) -> None:
    """Asks for summaries again and again; requests don't wait for others."""
    tasks = []
    number = 0
    while clients.now() < LENGTH_S - STREAM_DEADLINE_MS / 1000:
        number += 1
        fields = (
            ("X-Model", "m"),
            ("X-Token-Count", "5200,70"),
            ("X-Prefix-Hash", f"5c1e07a2:200,{number:08x}:5000"),
        )
        tasks.append(
            asyncio.create_task(
                clients.send(
                    host.listen,
                    "POST",
                    "/referral/1",
                    STREAM_DEADLINE_MS,
                    b"note" * 1250,
                    fields,
                )
            )
        )
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)


def start_trouble(deployment: deployments.Deployment) -> str:
    """Lets the engine that has run most answer without end.

    Returns:
        Its name.
    """
    name = max(ENGINES, key=lambda engine: len(deployment.runs(engine)))
    if TROUBLE:
        deployment.set_runner(name, fault="endless chunks", repeats=REPEATS)
    return name


async def run_trouble(
    clients: client_module.Clients, deployment: deployments.Deployment
) -> None:
    """Starts the trouble when it is time."""
    await asyncio.sleep(TROUBLE_AT_S)
    name = await asyncio.to_thread(start_trouble, deployment)
    print(f"{clients.now():.3f} s: trouble at {name}: {TROUBLE}")


async def probe(
    clients: client_module.Clients,
    host: deployments.Host,
    misses: list[str],
) -> None:
    """Asks once a second whether a host is ready, as the platform does."""
    while clients.now() < LENGTH_S:
        asked_at = clients.now()
        reader_writer = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                ip, _, port = host.ready.rpartition(":")
                reader_writer = await asyncio.open_connection(ip, int(port))
                reader, writer = reader_writer
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                answer = await reader.readline()
            if b" 200 " not in answer:
                misses.append(f"{asked_at:.3f} s: {host.name} isn't ready")
        except (OSError, TimeoutError):
            misses.append(f"{asked_at:.3f} s: {host.name} doesn't answer")
        finally:
            if reader_writer is not None:
                reader_writer[1].close()
        await asyncio.sleep(max(asked_at + 1.0 - clients.now(), 0.0))


async def play(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    misses: list[str],
) -> None:
    """Plays traffic and trouble."""
    hosts = deployment.hosts
    await asyncio.gather(
        run_trouble(clients, deployment),
        *(send_stock(clients, host) for host in hosts),
        *(send_streams(clients, host) for host in hosts),
        *(probe(clients, host, misses) for host in hosts),
    )


def judge(clients: client_module.Clients) -> tuple[bool, list[str]]:
    """Returns whether the rule was broken, and lines for the record."""
    stock = [each for each in clients.answers if each.path == "/stock/1"]
    overdue = [each for each in stock if each.took_s > TIMEOUT_S]
    late = [each for each in stock if each.took_s > LATE_S]
    broken = len(overdue) >= MIN_OVERDUE and len(late) > len(overdue) / 2
    served = sum(each.status == 200 and each.complete for each in stock)
    return broken, [
        f"trouble: {TROUBLE}",
        f"stock requests: {len(stock)}, served {served}",
        f"without an answer at timeout_ms ({TIMEOUT_S} s): {len(overdue)}",
        f"of these without an answer half a second later: {len(late)}",
        f"longest time to an answer: {max(e.took_s for e in stock):.3f} s",
        f"CONFIG broken: {broken}",
    ]


def main() -> int:
    """Runs the case; returns the exit status."""
    deployment = deployments.Deployment(hosts=2)
    record = pathlib.Path(os.environ.get("RECORD", FOLDER / "record.txt"))
    try:
        for name in ("app-1", "app-2"):
            deployment.add_runner(
                name, "loans-app", "standins.runner", "--work", "0.06"
            )
        for name in ENGINES:
            deployment.add_runner(
                name,
                "summary-llm",
                "review.lib2.babbling_runner",
                *("--stage", "decode", "--work", "0.02"),
            )
        deployment.start(deployments.configuration())
        for name in ENGINES:
            deployment.set_runner(name, events=70)
        clients = client_module.Clients()
        misses: list[str] = []
        asyncio.run(play(clients, deployment, misses))
        broken, lines = judge(clients)
        lines.append(
            f"checks of readiness without an answer in {PROBE_TIMEOUT_S:.0f} "
            f"s: {len(misses)} of {2 * LENGTH_S:.0f}"
        )
        print("\n".join(lines))
        lines += misses
        lines += [each.line() for each in clients.answers]
        lines += deployment.run_lines()
        record.write_text("\n".join(lines) + "\n")
        if os.environ.get("KEEP_LOGS"):
            for host in deployment.hosts:
                pathlib.Path(os.environ["KEEP_LOGS"], host.name).write_bytes(
                    host.log.read_bytes()
                )
        return int(broken)
    except (OSError, RuntimeError) as error:
        record.write_text(f"the case could not run: {error}\n")
        return 2
    finally:
        deployment.close()


if __name__ == "__main__":
    deployments.exit_with(main)
