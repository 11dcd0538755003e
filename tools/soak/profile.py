"""Size of the site and kinds of faults of a seed."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import attrs
from mimosapoint.workload import ResourceAmounts

__all__ = [
    "DEPLOYMENT_NODES",
    "FAST_LINK_MBPS",
    "FIRST_CHANGES_SEED",
    "FIRST_CRASH_SEED",
    "FIRST_CUT_SEED",
    "FIRST_DEPLOYMENT_SEED",
    "FIRST_OUTAGE_SEED",
    "FIRST_QUOTA_SEED",
    "FIRST_SILENCE_SEED",
    "LAST_CUT_SEED",
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

FIRST_DEPLOYMENT_SEED = 5000
"""First seed of the size of a deployment: many small nodes, many workers, several workspaces, long
runs, and phases of faults with calm times between them."""

FIRST_SILENCE_SEED = 6000
"""First seed in which all open connections to the store and to workers go silent at one moment."""

FIRST_CUT_SEED = 7000
"""First seed in which connections are refused, reset or cut in one way while workers lose the
store, move or go on without their owner, during long runs."""

LAST_CUT_SEED = 7999
"""Last such seed; seeds above it have sites of the size of a deployment."""

CUT_NODES = (4, 8)
CUT_WORKERS = 10

SMALL_CORES = 0.5
LARGE_CORES = 2.0
LARGE_SITE_INTERVAL = 10
FAST_LINK_MBPS = 1000.0
SLOW_LINK_MBPS = (1.0, 5.0)
DEPLOYMENT_LINK_MBPS = (5.0, 10.0)
DEPLOYMENT_NODES = 33
LARGE_NODE_SHARE = 8 / 33
WORKERS_PER_NODE = 60 / 33
MIN_DEPLOYMENT_WORKERS = 30
"""Workers below which the largest gang, which needs 52 accelerators, would take a large part."""

WORKER_CAPACITY = ResourceAmounts(16_000, 16_000, 8)
DEPLOYMENT_WORKER_CAPACITY = ResourceAmounts(128_000, 256_000, 8)


@attrs.frozen
class Profile:
    """What a seed determines before the run.

    :param seed: the seed.
    :param cores: ``processor_share`` of each node; below 1, other nodes relay an owner's orders.
    :param workers: number of workers.
    :param mbps_by_node: bandwidth between each node and the store, by number of the node.
    :param cores_by_node: ``processor_share`` of the nodes that have more than ``cores``.
    :param worker_capacity: capacity of each worker.
    :param workers_per_rack: workers of a rack, which is a zone of its own.
    :param max_lease: longest lease of a worker.
    """

    seed: int
    cores: float
    workers: int
    mbps_by_node: dict[int, float]
    cores_by_node: dict[int, float] = attrs.field(factory=dict)
    worker_capacity: ResourceAmounts = WORKER_CAPACITY
    workers_per_rack: int = 3
    max_lease: timedelta = timedelta(seconds=10)

    @property
    def has_changes(self) -> bool:
        """Whether links are slow, the configuration changes, and faults come in series."""
        return self.seed >= FIRST_CHANGES_SEED

    @property
    def has_quota(self) -> bool:
        """Whether the workspace has a weight and a cap, which changes."""
        return self.seed >= FIRST_QUOTA_SEED and not self.has_cuts

    @property
    def has_crashes(self) -> bool:
        """Whether tasks and other causes crash workers, and capacities change."""
        return self.seed >= FIRST_CRASH_SEED and not self.has_cuts

    @property
    def has_outages(self) -> bool:
        """Whether owner and workers are lost during outages, while callers read states."""
        return self.seed >= FIRST_OUTAGE_SEED

    @property
    def is_deployment(self) -> bool:
        """Whether the site has the size of a deployment, and faults come in phases."""
        return self.seed >= FIRST_DEPLOYMENT_SEED and not self.has_cuts

    @property
    def has_cuts(self) -> bool:
        """Whether connections are cut in all ways, and workers are out of sight of a new owner."""
        return FIRST_CUT_SEED <= self.seed <= LAST_CUT_SEED

    @property
    def has_long_runs(self) -> bool:
        """Whether runs take as long as their jobs estimate, and callers submit fewer jobs."""
        return self.is_deployment or self.has_cuts

    @property
    def slowest_bytes_per_second(self) -> float:
        """Bandwidth of the slowest link."""
        return min(self.mbps_by_node.values()) * 1e6 / 8


def profile_of(seed: int, deployment_nodes: int = DEPLOYMENT_NODES) -> Profile:
    """Return the profile of a seed.

    :param deployment_nodes: nodes of a site of the size of a deployment; its workers are in
        proportion.
    """
    cores = SMALL_CORES if seed >= FIRST_SMALL_SEED and seed % 2 else 1.0
    if seed < FIRST_CHANGES_SEED:
        return Profile(seed, cores, 6, dict.fromkeys(range(3), FAST_LINK_MBPS))
    if FIRST_CUT_SEED <= seed <= LAST_CUT_SEED:
        nodes = Random(seed).randint(*CUT_NODES)
        return Profile(seed, cores, CUT_WORKERS, dict.fromkeys(range(nodes), FAST_LINK_MBPS))
    nodes, workers = (16, 12) if seed % LARGE_SITE_INTERVAL == 0 else (4, 6)
    random = Random(seed)
    if seed >= FIRST_DEPLOYMENT_SEED:
        return _deployment(seed, random, deployment_nodes)
    slow_nodes = random.sample(range(1, nodes), nodes // 2)
    mbps_by_node = dict.fromkeys(range(nodes), FAST_LINK_MBPS)
    mbps_by_node |= {node: round(random.uniform(*SLOW_LINK_MBPS), 1) for node in slow_nodes}
    return Profile(seed, cores, workers, mbps_by_node)


def _deployment(seed: int, random: Random, nodes: int) -> Profile:
    large_nodes = set(random.sample(range(nodes), round(nodes * LARGE_NODE_SHARE)))
    mbps_by_node = {
        node: (
            FAST_LINK_MBPS
            if node in large_nodes
            else round(random.uniform(*DEPLOYMENT_LINK_MBPS), 1)
        )
        for node in range(nodes)
    }
    return Profile(
        seed,
        SMALL_CORES,
        max(MIN_DEPLOYMENT_WORKERS, round(nodes * WORKERS_PER_NODE)),
        mbps_by_node,
        dict.fromkeys(large_nodes, LARGE_CORES),
        DEPLOYMENT_WORKER_CAPACITY,
        workers_per_rack=20,
        max_lease=timedelta(seconds=6),
    )
