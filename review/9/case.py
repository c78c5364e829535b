"""A stream goes on at another software version after a drill of the store.

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
VERSIONS = {"llm-1": "v1", "llm-2": "v1", "llm-3": "v2", "llm-4": "v2"}
# The store is away so long, and comes back from a copy of that age.
AWAY_AT_S = float(os.environ.get("AWAY_AT_S", "6"))
AWAY_S = float(os.environ.get("AWAY_S", "0.5"))
COPY_AGE_S = 5.0
# One of three hosts is killed so long after the return of the store.
KILL_AFTER_S = float(os.environ.get("KILL_AFTER_S", "0.15"))
LENGTH_S = 9.0
# Streams a second at each host, as in a burst; clients are spread unevenly.
STREAMS_PER_S = (2.0, 2.0, 8.0)
DEADLINE_MS = 14000
EVENTS = 70
SLOTS = 64
EVENT_GAP_S = 0.06


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


async def disturb(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    events: list[str],
) -> None:
    """Plays the drill and kills a host."""
    await asyncio.sleep(AWAY_AT_S - clients.now())
    if TROUBLE:
        await asyncio.to_thread(deployment.set_store, mode="reset")
        events.append(f"{clients.now():.3f} s: store away")
        await asyncio.sleep(AWAY_S)
        await asyncio.to_thread(deployment.restore_store, COPY_AGE_S)
        events.append(f"{clients.now():.3f} s: store back from its copy")
        await asyncio.sleep(KILL_AFTER_S)
    else:
        await asyncio.sleep(AWAY_S + KILL_AFTER_S)
    deployment.hosts[2].signal(signal.SIGKILL)
    events.append(f"{clients.now():.3f} s: host edge-2 killed")


async def play(
    clients: client_module.Clients,
    deployment: deployments.Deployment,
    events: list[str],
) -> list[list[streams.Attempt]]:
    """Plays traffic and trouble; returns the attempts of each stream."""
    listen = [host.listen for host in deployment.hosts]
    ended: list[list[streams.Attempt]] = []
    await asyncio.gather(
        disturb(clients, deployment, events),
        send(clients, [listen[0], listen[1]], STREAMS_PER_S[0], ended),
        send(clients, [listen[1], listen[0]], STREAMS_PER_S[1], ended),
        send(clients, [listen[2], listen[1]], STREAMS_PER_S[2], ended),
    )
    return ended


def is_mixed(attempts: list[streams.Attempt]) -> bool:
    """Returns whether a stream holds events of two software versions."""
    return len({VERSIONS[each.runner] for each in attempts if each.events}) > 1


def main() -> int:
    """Runs the case; returns the exit status."""
    deployment = deployments.Deployment(hosts=3)
    record = pathlib.Path(os.environ.get("RECORD", FOLDER / "record.txt"))
    try:
        for name, version in VERSIONS.items():
            deployment.add_runner(
                name,
                "summary-llm",
                "standins.runner",
                *("--stage", "decode", "--version", version),
                *("--work", str(EVENT_GAP_S)),
            )
        deployment.start(deployments.configuration())
        for name in VERSIONS:
            deployment.set_runner(name, events=EVENTS, slots=SLOTS)
        clients = client_module.Clients()
        events = [f"trouble: {TROUBLE}"]
        ended = asyncio.run(play(clients, deployment, events))
        taken_up = [each for each in ended if len(each) > 1]
        mixed = [each for each in ended if is_mixed(each)]
        broken = len(mixed) > 2
        whole = sum(each[-1].complete for each in ended)
        events += [
            f"streams: {len(ended)}, complete at last: {whole}",
            f"taken up: {len(taken_up)}",
            f"with events of two software versions: {len(mixed)}",
            f"ORDER broken: {broken}",
        ]
        print("\n".join(events))
        for each in ended:
            kind = "mixed" if each in mixed else "sound"
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
