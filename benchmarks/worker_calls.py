"""Measures processor time for each lease call, at the node's and at the workers' end.

Start the workers first, then name their process:

    python -m mimosapoint_standins workers --file VMS.yaml
    python benchmarks/worker_calls.py VMS.yaml PID
"""

import os
import resource
import time
from pathlib import Path

import attrs
import fire
import trio
from mimosapoint.model import LeaseRequest, VmKind
from mimosapoint_node.platform import HttpWorkers
from mimosapoint_standins import load_inventory

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


class NoTelemetry:
    """Telemetry that keeps nothing."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Keep nothing."""


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(addresses: list[str], pid: int, rounds: int, pause: float, wait: float) -> None:
    """Renew every worker's lease once in each round, and print the cost of a call."""
    workers = HttpWorkers(NoTelemetry())
    taking = LeaseRequest("node-1", "klang-a", 1, 60.0)
    renewals = {}
    for address in addresses:
        report = await workers.lease(address, taking)
        renewals[address] = attrs.evolve(taking, wait=wait, seen=report.revision)
    here, there = time.process_time(), processor_seconds(pid)
    for _ in range(rounds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, pause)
            for address, renewal in renewals.items():
                nursery.start_soon(workers.lease, address, renewal)
    calls = rounds * len(addresses)
    here = (time.process_time() - here) / calls
    there = (processor_seconds(pid) - there) / calls
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    print(f"workers={len(addresses)} calls={calls} wait_s={wait}", end=" ")
    print(f"node_us={here * 1e6:.0f} worker_us={there * 1e6:.0f} node_memory_mib={memory:.1f}")
    await workers.close()


def main(
    file: str, pid: int, count: int = 0, rounds: int = 10, pause: float = 1.0, wait: float = 0.0
) -> None:
    """Measure over the endpoint VMs of an inventory.

    :param count: number of workers to call; all of them by default.
    :param pause: least time of a round, in seconds.
    :param wait: seconds for which a worker holds its reply while nothing changes.
    """
    endpoints = [vm.address for vm in load_inventory(file).vms if vm.kind is VmKind.ENDPOINT]
    trio.run(measure, endpoints[: count or None], pid, rounds, pause, wait)


if __name__ == "__main__":
    fire.Fire(main)
