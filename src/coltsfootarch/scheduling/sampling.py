"""Selection of the upstreams that a host compares before it chooses one.

If many hosts choose by the same load view, all of them send their requests to
the upstream that looks least loaded until the next report (herding). In a large
fleet a host therefore compares only two upstreams drawn at random. With few
hosts the view is recent enough to compare all upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from coltsfootarch.fleet import upstreams

# With more hosts than this, several hosts choose between two reports.
MAX_HOSTS_COMPARING_ALL = 16
SAMPLE_SIZE = 2


class Sampler:
    """Selects the upstreams to compare.

    Args:
        hosts: Returns how many hosts choose upstreams at the same time.
        generator: Source of randomness.
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
