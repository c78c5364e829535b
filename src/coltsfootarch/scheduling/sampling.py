"""Which upstreams a host compares before it chooses one.

Answers many hosts that choose by the same view: between two reports all of them
would send their requests to the one that looks emptiest. A host of a large
fleet compares two drawn at random; a few hosts have a view that is new enough
to compare all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch.fleet import upstreams

# With more hosts than this, several choose between two reports.
MAX_HOSTS_COMPARING_ALL = 16
SAMPLE_SIZE = 2


class Sampler:
    """Draws upstreams.

    Args:
        hosts: Returns how many hosts choose at the same time.
        generator: Source of the draws.
    """

    def __init__(
        self, hosts: Callable[[], int], generator: random.Random
    ) -> None:
        self.hosts = hosts
        self.generator = generator

    @property
    def many_hosts(self) -> bool:
        """Whether several hosts choose between two reports."""
        return self.hosts() > MAX_HOSTS_COMPARING_ALL

    def sample(
        self, candidates: Sequence[upstreams.Upstream]
    ) -> Sequence[upstreams.Upstream]:
        """Returns the candidates to compare."""
        if len(candidates) <= SAMPLE_SIZE or not self.many_hosts:
            return candidates
        return self.generator.sample(candidates, SAMPLE_SIZE)
