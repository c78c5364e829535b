"""Deployments and generated requests of the policy benchmark."""

from __future__ import annotations

import functools
import random
from typing import NamedTuple

from coltsfootarch.config import register
from coltsfootarch.scheduling import cache_view

SERVICE = register.Service("summaries", register.ServiceKind.MODEL, "summary")
HOSTS = 7
RESULT_LIFETIME_SECONDS = 0.8

# Time between tokens of a decode engine in seconds: a fixed part, and a part
# for each request in the batch. With 20 requests this is 44 ms, below the
# target of 65 ms.
TOKEN_BASE_SECONDS = 0.020
TOKEN_REQUEST_SECONDS = 0.0012

# Shares of the offered load: two large accounts and three small ones.
ACCOUNT_SHARES = {"a": 0.32, "b": 0.28, "c": 0.16, "d": 0.14, "e": 0.10}
FLOODING_ACCOUNT = "a"
FLOOD_FACTOR = 5.0

SHORTEST_PROMPT = 500
LONGEST_PROMPT = 9000
PROMPT_SPREAD = 0.5
SHORTEST_OUTPUT = 20
LONGEST_OUTPUT = 160
OUTPUT_SHAPE = 6.0
SAMPLES = 20_000


class Deployment(NamedTuple):
    """Site, as in section 1.1 of the design page.

    Attributes:
        name: Name in the tables.
        zones: Number of availability zones.
        prefills: Number of prefill engines.
        decodes: Number of decode engines.
        prompt_tokens: Median of the prompts without the preamble.
        preamble_chunks: Chunks that are the same at the start of all prompts
            of an account.
        output_tokens: Mean length of the answers before they are limited to
            `LONGEST_OUTPUT`.
    """

    name: str
    zones: int
    prefills: int
    decodes: int
    prompt_tokens: int
    preamble_chunks: int
    output_tokens: int


PRAIRIE = Deployment("prairie", 4, 2, 3, 2650, 0, 100)
TIERRA = Deployment("tierra", 3, 2, 4, 2000, 4, 100)


class Request(NamedTuple):
    """Request of a caller.

    Attributes:
        request_id: Unique id.
        account: Client account.
        arrival: Monotonic instant.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens of the complete answer.
        prefix_digests: Digests of the prompt's leading chunks.
    """

    request_id: str
    account: str
    arrival: float
    prompt_tokens: int
    output_tokens: int
    prefix_digests: tuple[int, ...]


def upstreams(
    prefills: int, decodes: int, zones: int
) -> list[register.Upstream]:
    """Returns the register entries of a pool's engines."""
    roles = [register.UpstreamRole.PREFILL] * prefills
    roles += [register.UpstreamRole.DECODE] * decodes
    return [
        register.Upstream(
            name=f"{role.value}-{number}",
            service=SERVICE.name,
            availability_zone=f"zone-{number % zones}",
            address=f"127.0.0.1:{7000 + number}",
            role=role,
            slots=20,
            memory_pieces=48,
            prefill_rate=22_000.0,
        )
        for number, role in enumerate(roles)
    ]


def token_seconds(batch: int) -> float:
    """Returns the time between tokens with `batch` requests in the engine."""
    return TOKEN_BASE_SECONDS + TOKEN_REQUEST_SECONDS * batch


def draw_sizes(
    deployment: Deployment, generator: random.Random
) -> tuple[int, int]:
    """Returns random lengths of a prompt without preamble and its answer."""
    median = deployment.prompt_tokens
    prompt = int(median * generator.lognormvariate(0.0, PROMPT_SPREAD))
    prompt = min(max(prompt, SHORTEST_PROMPT), LONGEST_PROMPT)
    scale = deployment.output_tokens / OUTPUT_SHAPE
    output = int(generator.gammavariate(OUTPUT_SHAPE, scale))
    return prompt, min(max(output, SHORTEST_OUTPUT), LONGEST_OUTPUT)


@functools.cache
def capacity(deployment: Deployment) -> float:
    """Returns the requests per second that a deployment can serve.

    The result is the minimum of three rates, each computed from the engines'
    parameters and the mean request, without any waiting:

    - prefill: engines x prefill rate / uncached prompt tokens;
    - slots: decode engines x slots / (transfer time + output tokens x time
      between tokens of a full batch);
    - memory: the same with the requests that the memory pieces hold.
    """
    generator = random.Random("capacity")
    sizes = [draw_sizes(deployment, generator) for _ in range(SAMPLES)]
    prompt = sum(size[0] for size in sizes) / SAMPLES
    output = sum(size[1] for size in sizes) / SAMPLES
    preamble = deployment.preamble_chunks * cache_view.CHUNK_TOKENS
    engine = upstreams(1, 0, 1)[0]
    pieces = sum(
        -(-(size[0] + preamble + LONGEST_OUTPUT) // engine.piece_tokens)
        for size in sizes
    )
    transfer = (prompt + preamble) * engine.kv_bytes_per_token
    transfer /= engine.link_rate
    residence = transfer + output * token_seconds(engine.slots)
    held = min(engine.slots, engine.memory_pieces * SAMPLES / pieces)
    return min(
        deployment.prefills * engine.prefill_rate / prompt,
        deployment.decodes * held / residence,
    )


def requests(
    deployment: Deployment,
    rate: float,
    seconds: float,
    start: float,
    seed: int,
    flood: bool,
) -> list[Request]:
    """Returns open-loop Poisson arrivals, ordered by time.

    Each account has a random generator of its own, so that a flood by one
    account leaves the requests of the others unchanged.

    Args:
        deployment: Site.
        rate: Requests per second of all accounts together, without the flood.
        seconds: Length of the run.
        start: Monotonic instant of the start of the run.
        seed: Seed of the random generators.
        flood: Whether one account sends `FLOOD_FACTOR` times its rate.
    """
    arrivals: list[Request] = []
    for account, share in ACCOUNT_SHARES.items():
        generator = random.Random(f"{deployment.name}/{seed}/{account}")
        factor = FLOOD_FACTOR if flood and account == FLOODING_ACCOUNT else 1.0
        number = 0
        instant = generator.expovariate(rate * share * factor)
        preamble = tuple(
            1000 * ord(account) + chunk
            for chunk in range(deployment.preamble_chunks)
        )
        tokens = deployment.preamble_chunks * cache_view.CHUNK_TOKENS
        while instant < seconds:
            prompt, output = draw_sizes(deployment, generator)
            arrivals.append(
                Request(
                    f"{account}-{number}",
                    account,
                    start + instant,
                    prompt + tokens,
                    output,
                    preamble,
                )
            )
            number += 1
            instant += generator.expovariate(rate * share * factor)
    return sorted(arrivals, key=lambda request: request.arrival)
