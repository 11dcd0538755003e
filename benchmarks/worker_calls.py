"""Measure the processor time of lease calls, at the node and at the workers.

Start the workers first, then pass the id of their process:

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
    """Telemetry that discards everything."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Discard the count."""


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(addresses: list[str], pid: int, rounds: int, pause: float, wait: float) -> None:
    """Renew the lease of every worker once a round, and print the processor time of a call."""
    workers = HttpWorkers(NoTelemetry())
    acquisition = LeaseRequest("node-1", "klang-a", 1, 60.0)
    renewals = {}
    for address in addresses:
        report = await workers.lease(address, acquisition)
        renewals[address] = attrs.evolve(acquisition, wait=wait, seen=report.revision)
    node_s, worker_s = time.process_time(), processor_seconds(pid)
    for _ in range(rounds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, pause)
            for address, renewal in renewals.items():
                nursery.start_soon(workers.lease, address, renewal)
    calls = rounds * len(addresses)
    node_s = (time.process_time() - node_s) / calls
    worker_s = (processor_seconds(pid) - worker_s) / calls
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB_PER_MIB
    print(f"workers={len(addresses)} calls={calls} wait_s={wait}", end=" ")
    print(f"node_us={node_s * 1e6:.0f} worker_us={worker_s * 1e6:.0f} node_memory_mib={memory:.1f}")
    await workers.close()


def main(
    file: str, pid: int, count: int = 0, rounds: int = 10, pause: float = 1.0, wait: float = 0.0
) -> None:
    """Measure lease calls to the endpoint VMs of an inventory.

    :param file: path of the inventory.
    :param pid: id of the process that runs the workers.

    :param count: number of workers to call; all of them by default.
    :param pause: shortest duration of a round, in seconds.
    :param wait: longest time for which a worker delays its reply while nothing changes, in seconds.
    """
    endpoints = [vm.address for vm in load_inventory(file).vms if vm.kind is VmKind.ENDPOINT]
    trio.run(measure, endpoints[: count or None], pid, rounds, pause, wait)


if __name__ == "__main__":
    fire.Fire(main)
