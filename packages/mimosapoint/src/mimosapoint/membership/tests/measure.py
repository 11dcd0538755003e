"""Measure failure detection, spread of versions and bytes of the gossip in simulated time.

Run ``python -m mimosapoint.membership.tests.measure 8`` with the number of nodes.
"""

import sys
from datetime import timedelta

import trio
import trio.testing

from mimosapoint.membership.tests._cluster import Cluster

SEEDS = range(10)
STEADY_SECONDS = 20.0
FAILED_NODE = "node-03"
ONE_WAY_DELAY = timedelta(milliseconds=2)
SUMMARY = {"epoch": 12, "queued": 123, "running": 456, "free_slots": 78, "free_accelerators": 90}
"""Sample value of the size that an owner attaches for each of its zones."""

OWNERS = 16
"""Number of nodes that attach a summary which changes at every read."""


async def start_cluster(nursery, size, seed):
    cluster = Cluster(nursery, size, seed=seed, delay=ONE_WAY_DELAY)
    await cluster.start_all()
    return cluster, await cluster.until_converged(cluster.vms_by_id)


async def measure(size, seed, results):
    async with trio.open_nursery() as nursery:
        cluster, join_seconds = await start_cluster(nursery, size, seed)
        add_result(results, "join_s", join_seconds)
        add_result(results, "bytes_per_s_and_node", await steady_bytes_per_second(cluster))
        attach_summaries(cluster)
        add_result(
            results, "bytes_per_s_and_node_with_summaries", await steady_bytes_per_second(cluster)
        )
        await measure_spread(cluster, results, "gossip", 2)
        cluster.broadcasts_versions = True
        await measure_spread(cluster, results, "announce", 3)
        cluster.members_by_id["node-02"].set_leaving()
        ids = set(cluster.vms_by_id) - {"node-02"}
        add_result(results, "leaving_s", await cluster.until_converged(ids))
        cluster.kill(FAILED_NODE)
        others = list(cluster.members_by_id.values())
        detected = await cluster.until(lambda: not any(m.is_alive(FAILED_NODE) for m in others))
        add_result(results, "dead_s", detected)
        nursery.cancel_scope.cancel()


async def steady_bytes_per_second(cluster):
    """Return the mean number of bytes that a node sends and receives per second."""
    await trio.sleep(STEADY_SECONDS)
    before = cluster.network.bytes_by_name.total()
    await trio.sleep(STEADY_SECONDS)
    transferred = cluster.network.bytes_by_name.total() - before
    return 2 * transferred / STEADY_SECONDS / len(cluster.vms_by_id)


def attach_summaries(cluster):
    for number, member in enumerate(cluster.members_by_id.values()):
        if number < OWNERS:
            zone = f"zone-{number}"
            member.attach("zones", lambda zone=zone: {zone: {**SUMMARY, "at": trio.current_time()}})


async def measure_spread(cluster, results, name, version):
    calls = cluster.network.calls_by_name["gossip"]
    cluster.configurations_by_id["node-01"].install(version)
    seconds = await cluster.until(lambda: cluster.all_installed(version))
    add_result(results, f"version_by_{name}_s", seconds)
    add_result(results, f"version_by_{name}_calls", cluster.network.calls_by_name["gossip"] - calls)


def add_result(results, name, value):
    results.setdefault(name, []).append(value)


def main():
    size = int(sys.argv[1])
    results = {}
    for seed in SEEDS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(measure, size, seed, results, clock=clock)
    for name, values in results.items():
        ordered = sorted(values)
        median = ordered[len(ordered) // 2]
        print(f"nodes={size} {name} median={median:.2f} most={ordered[-1]:.2f}")


if __name__ == "__main__":
    main()
