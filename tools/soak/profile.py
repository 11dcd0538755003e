"""Size of the site and kinds of faults of a seed."""

from __future__ import annotations

from random import Random

import attrs

__all__ = [
    "FAST_LINK_MBPS",
    "FIRST_CHANGES_SEED",
    "FIRST_CRASH_SEED",
    "FIRST_OUTAGE_SEED",
    "FIRST_QUOTA_SEED",
    "Profile",
    "profile_of",
]

FIRST_SMALL_SEED = 500
"""First seed with small nodes. Lower seeds were recorded before and reproduce the same cases."""

FIRST_CHANGES_SEED = 1000
"""First seed with slow links, changes of the configuration and overlapping series of faults."""

FIRST_QUOTA_SEED = 2000
"""First seed whose workspace has a weight and a cap, which changes."""

FIRST_CRASH_SEED = 3000
"""First seed with jobs whose tasks crash their workers, and with workers that change capacity."""

FIRST_OUTAGE_SEED = 4000
"""First seed in which the owner and workers are lost during outages of the store, and callers ask
for the state of their jobs throughout."""

SMALL_CORES = 0.5
LARGE_SITE_INTERVAL = 10
FAST_LINK_MBPS = 1000.0
SLOW_LINK_MBPS = (1.0, 5.0)


@attrs.frozen
class Profile:
    """What a seed determines before the run.

    :param seed: the seed.
    :param cores: ``processor_share`` of each node; below 1, other nodes relay an owner's orders.
    :param workers: number of workers.
    :param mbps_by_node: bandwidth between each node and the store, by number of the node.
    """

    seed: int
    cores: float
    workers: int
    mbps_by_node: dict[int, float]

    @property
    def has_changes(self) -> bool:
        """Whether links are slow, the configuration changes, and faults come in series."""
        return self.seed >= FIRST_CHANGES_SEED

    @property
    def has_quota(self) -> bool:
        """Whether the workspace has a weight and a cap, which changes."""
        return self.seed >= FIRST_QUOTA_SEED

    @property
    def has_crashes(self) -> bool:
        """Whether tasks and other causes crash workers, and capacities change."""
        return self.seed >= FIRST_CRASH_SEED

    @property
    def has_outages(self) -> bool:
        """Whether owner and workers are lost during outages, while callers read states."""
        return self.seed >= FIRST_OUTAGE_SEED

    @property
    def slowest_bytes_per_second(self) -> float:
        """Bandwidth of the slowest link."""
        return min(self.mbps_by_node.values()) * 1e6 / 8


def profile_of(seed: int) -> Profile:
    """Return the profile of a seed."""
    cores = SMALL_CORES if seed >= FIRST_SMALL_SEED and seed % 2 else 1.0
    if seed < FIRST_CHANGES_SEED:
        return Profile(seed, cores, 6, dict.fromkeys(range(3), FAST_LINK_MBPS))
    nodes, workers = (16, 12) if seed % LARGE_SITE_INTERVAL == 0 else (4, 6)
    random = Random(seed)
    slow_nodes = random.sample(range(1, nodes), nodes // 2)
    mbps_by_node = dict.fromkeys(range(nodes), FAST_LINK_MBPS)
    mbps_by_node |= {node: round(random.uniform(*SLOW_LINK_MBPS), 1) for node in slow_nodes}
    return Profile(seed, cores, workers, mbps_by_node)
