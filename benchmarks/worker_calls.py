"""Measures processor time for each lease call, at the node's and at the workers' end.

Start the workers first, then name their process:

    python -m mimosapoint_standins workers --file VMS.yaml
    python benchmarks/worker_calls.py VMS.yaml PID
"""

import os
import time
from pathlib import Path

import fire
import trio
from mimosapoint.model import LeaseRequest, VmKind
from mimosapoint_node.platform import HttpWorkers
from mimosapoint_standins import load_inventory

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class NoTelemetry:
    """Telemetry that keeps nothing."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Keep nothing."""


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def measure(addresses: list[str], pid: int, rounds: int, interval: float) -> None:
    """Renew every worker's lease once in each interval, and print the cost of a call."""
    workers = HttpWorkers(NoTelemetry())
    request = LeaseRequest("node-1", "klang-a", 1, 60.0)
    for address in addresses:
        await workers.lease(address, request)
    here, there = time.process_time(), processor_seconds(pid)
    for _ in range(rounds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep, interval)
            for address in addresses:
                nursery.start_soon(workers.lease, address, request)
    calls = rounds * len(addresses)
    here = (time.process_time() - here) / calls
    there = (processor_seconds(pid) - there) / calls
    print(f"workers={len(addresses)} calls={calls}", end=" ")
    print(f"node_us={here * 1e6:.0f} worker_us={there * 1e6:.0f}")
    await workers.close()


def main(file: str, pid: int, count: int = 0, rounds: int = 10, interval: float = 1.0) -> None:
    """Measure over the endpoint VMs of an inventory.

    :param count: number of workers to call; all of them by default.
    """
    endpoints = [vm.address for vm in load_inventory(file).vms if vm.kind is VmKind.ENDPOINT]
    trio.run(measure, endpoints[: count or None], pid, rounds, interval)


if __name__ == "__main__":
    fire.Fire(main)
