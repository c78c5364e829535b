"""After a release, streams of a killed host can't be taken up.

See `claim.txt`. Exits with 1 if the rule was broken, with 0 if it held, with 2
if the case couldn't run.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal

from review.lib2 import clients as client_module
from review.lib2 import deployment as deployments
from review.lib2 import streams

FOLDER = pathlib.Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Engines of the old and the new version of the software.
OLD = ("llm-1", "llm-2")
NEW = ("llm-3", "llm-4", "llm-5")
# Instants since the start of the traffic, in seconds: the new engines start,
# the old ones drain, and are gone.
NEW_AT_S = 1.0
DRAIN_AT_S = 9.0
GONE_AT_S = 16.1
# One of three hosts is killed so long after the old engines are gone.
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "35.1"))
KILL_AT_S = GONE_AT_S + KILL_AFTER_S
# Traffic begins anew this long before the kill, and ends after it.
SECOND_TRAFFIC_S = 8.0
LENGTH_S = KILL_AT_S + 3.0
# Streams a second at each host, as in a burst; clients are spread unevenly.
STREAMS_PER_S = (6.0, 3.0, 3.0)
DEADLINE_MS = 14000
EVENTS = 70
SLOTS = 64
EVENT_GAP_S = 0.05
# Fewest streams taken up for which the rule holds.
MIN_TAKEN_UP = 12


async def send(
    clients: client_module.Clients,
    addresses: list[str],
    per_s: float,
    ended: list[list[streams.Attempt]],
) -> None:
    """Asks for streams again and again; they don't wait for others."""
    tasks = []
    number = 0
    while clients.now() < LENGTH_S:
        if DRAIN_AT_S < clients.now() < KILL_AT_S - SECOND_TRAFFIC_S:
            # One stream a second keeps the case small.
            await asyncio.sleep(1.0)
        number += 1
        fields = (
            ("X-Model", "m"),
            ("X-Token-Count", "1200,70"),
            ("X-Prefix-Hash", f"5c1e07a2:200,{id(addresses) + number:x}:1000"),
        )
        tasks.append(
            asyncio.create_task(
                streams.run_stream(
                    clients, addresses, "/referral/1", DEADLINE_MS, fields
                )
            )
        )
        await asyncio.sleep(1 / per_s)
    ended += await asyncio.gather(*tasks)


def add_engine(
    deployment: deployments.Deployment, name: str, version: str
) -> None:
    """Adds an engine."""
    deployment.add_runner(
        name,
        "summary-llm",
        "standins.runner",
        *("--stage", "decode", "--work", str(EVENT_GAP_S)),
        *("--version", version),
    )


def start_engine(deployment: deployments.Deployment, name: str) -> None:
    """Starts an engine that was added after the start."""
    deployment.start_runner(name)
    deployment.set_runner(name, events=EVENTS, slots=SLOTS)


async def release(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    events: list[str],
) -> None:
    """Replaces the engines of the old version, as a release does."""
    await asyncio.sleep(NEW_AT_S - clients.now())
    for name in NEW:
        add_engine(deployment, name, "v2")
    for name in NEW:
        await asyncio.to_thread(start_engine, deployment, name)
    events.append(f"{clients.now():.3f} s: engines of v2 have started")
    await asyncio.sleep(DRAIN_AT_S - clients.now())
    for name in OLD:
        await asyncio.to_thread(deployment.set_runner, name, state="draining")
    events.append(f"{clients.now():.3f} s: engines of v1 drain")
    await asyncio.sleep(GONE_AT_S - clients.now())
    for name in OLD:
        await asyncio.to_thread(deployment.remove_runner, name)
    events.append(f"{clients.now():.3f} s: engines of v1 are gone")


async def disturb(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    events: list[str],
) -> None:
    """Kills a host."""
    await asyncio.sleep(KILL_AT_S - clients.now())
    if TROUBLE:
        deployment.hosts[0].signal(signal.SIGKILL)
        events.append(f"{clients.now():.3f} s: host edge-0 killed")


async def play(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    events: list[str],
) -> list[list[streams.Attempt]]:
    """Plays traffic and trouble; returns the attempts of each stream."""
    listen = [host.listen for host in deployment.hosts]
    ended: list[list[streams.Attempt]] = []
    await asyncio.gather(
        release(clients, deployment, events),
        disturb(clients, deployment, events),
        send(clients, [listen[0], listen[1]], STREAMS_PER_S[0], ended),
        send(clients, [listen[1], listen[2]], STREAMS_PER_S[1], ended),
        send(clients, [listen[2], listen[1]], STREAMS_PER_S[2], ended),
    )
    return ended


def main() -> int:
    """Runs the case; returns the exit status."""
    deployment = deployments.Deployment(hosts=3)
    record = pathlib.Path(os.environ.get("RECORD", FOLDER / "record.txt"))
    try:
        for name in OLD:
            add_engine(deployment, name, "v1")
        deployment.start(deployments.configuration())
        for name in OLD:
            deployment.set_runner(name, events=EVENTS, slots=SLOTS)
        clients = client_module.Clients()
        events = [f"trouble: {TROUBLE}"]
        ended = asyncio.run(play(clients, deployment, events))
        # Taken up again after the kill: the stream had begun.
        taken_up = [
            each
            for each in ended
            if len(each) > 1 and each[0].events and each[1].sent_at >= KILL_AT_S
        ]
        went_on = sum(bool(each[1].events) for each in taken_up)
        new = [each for each in ended if each[0].sent_at >= KILL_AT_S]
        begun = sum(bool(each[-1].events) for each in new)
        share = went_on / max(len(taken_up), 1)
        new_share = begun / max(len(new), 1)
        broken = len(taken_up) >= MIN_TAKEN_UP and share < new_share / 2
        events += [
            f"streams taken up after the kill: {len(taken_up)}",
            f"of these went on: {went_on} ({share:.2f})",
            f"new streams since the kill: {len(new)}",
            f"of these begun: {begun} ({new_share:.2f})",
            f"LOST broken: {broken}",
        ]
        print("\n".join(events))
        for each in ended:
            kind = "earlier"
            if each in taken_up:
                kind = "taken up"
            elif each in new:
                kind = "new"
            events += [f"{kind}: {attempt.line()}" for attempt in each]
        events += deployment.run_lines()
        record.write_text("\n".join(events) + "\n")
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
