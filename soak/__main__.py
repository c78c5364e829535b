"""Runs the soak test: `python -m soak --seeds 5 --seconds 8`."""

from __future__ import annotations

import pathlib
import random
import sys
import tempfile

import click

from soak import run


@click.command()
@click.option(
    "--seed", "chosen", type=int, multiple=True, help="Seed to run; repeatable."
)
@click.option("--seeds", default=5, help="Number of random seeds otherwise.")
@click.option("--seconds", default=8.0, help="Seconds of faults per seed.")
@click.option("--hosts", default=3, help="Number of entry hosts.")
@click.option("--silence", is_flag=True, help="Planned changes and silences.")
def main(
    chosen: tuple[int, ...],
    seeds: int,
    seconds: float,
    hosts: int,
    silence: bool,
) -> None:
    """Run the soak test and print each violation of a guarantee."""
    fresh_seeds = [random.SystemRandom().randrange(10**6) for _ in range(seeds)]
    failed = 0
    for seed in chosen or fresh_seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = run.run(seed, seconds, hosts, folder, silence)
        failed += bool(result.violations)
        click.echo(f"seed {seed}: {result.summary()}")
        for line in result.violations[:20]:
            click.echo(f"  {line}")
        if result.violations:
            click.echo(f"  logs: {folder}")
    click.echo(f"{len(chosen or fresh_seeds) - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
