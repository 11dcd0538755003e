"""Cost of a gossip exchange between two nodes by number of known nodes."""

import re
import sys
from pathlib import Path
from subprocess import DEVNULL, PIPE

import trio

from benchmarks.slopes.fit import Point, Slope, fit
from benchmarks.slopes.ports import reserved_addresses

__all__ = ["measure_exchange"]

NODES = (8, 16, 48, 96)
"""Numbers of nodes in the node table of each end."""

CALLS = 600
RELAYED_CALLS = 200
READY_SECONDS = 2.5
MODULE = "mimosapoint_node.grpc_peers.tests.measure"


async def measure_exchange(folder: Path) -> list[Slope]:
    """Return the slopes of processor time at both ends and of bytes of a gossip exchange."""
    callers, callees, sizes = [], [], []

    async def measure_size(nodes: int) -> None:
        caller, callee, size = await _exchange(nodes)
        callers.append(Point(nodes, caller))
        callees.append(Point(nodes, callee))
        sizes.append(Point(nodes, size))

    async with trio.open_nursery() as nursery:
        for nodes in NODES:
            nursery.start_soon(measure_size, nodes)
    return [
        fit("peer.call_cpu", "node known", "ms", callers),
        fit("peer.serve_cpu", "node known", "ms", callees),
        fit("peer.exchange_bytes", "node known", "B", sizes),
    ]


async def _exchange(nodes: int) -> tuple[float, float, float]:
    """Run both ends as processes.

    Return ms of processor time of the caller and of the callee, and bytes, for one exchange.
    """
    served, relayed = reserved_addresses(2)
    async with trio.open_nursery() as nursery:
        callee = await nursery.start(_start, "serve", served, str(nodes))
        relay = await nursery.start(_start, "relay", relayed, served)
        await trio.sleep(READY_SECONDS)
        caller = await _run("call", served, str(nodes), str(CALLS))
        await trio.sleep(READY_SECONDS)
        callee.kill()
        text = (await _read(callee)).split("idle")
        costs = re.findall(r"served=(\d+) cpu_ms_per_call=([\d.]+)", "".join(text))
        calls = sum(int(count) for count, _ in costs)
        serve = sum(int(count) * float(cost) for count, cost in costs) / calls
        relayed_callee = await nursery.start(_start, "serve", served, str(nodes))
        await trio.sleep(READY_SECONDS)
        await _run("call", relayed, str(nodes), str(RELAYED_CALLS))
        await trio.sleep(0.5)
        relay.kill()
        relayed_callee.kill()
        byte_counts = [int(value) for value in re.findall(r": (\d+)", await _read(relay))]
        nursery.cancel_scope.cancel()
    cost = float(re.search(r"cpu_ms=([\d.]+)", caller).group(1))
    return cost, serve, sum(byte_counts) / (RELAYED_CALLS + 1)


async def _start(*arguments: str, task_status: trio.TaskStatus) -> None:
    """Run a command of ``MODULE`` until cancelled."""
    command = [sys.executable, "-m", MODULE, *arguments]
    process = await trio.lowlevel.open_process(command, stdout=PIPE, stderr=DEVNULL)
    task_status.started(process)
    try:
        await trio.sleep_forever()
    finally:
        process.kill()
        with trio.CancelScope(shield=True):
            await process.wait()


async def _run(*arguments: str) -> str:
    command = [sys.executable, "-m", MODULE, *arguments]
    done = await trio.run_process(command, capture_stdout=True)
    return done.stdout.decode()


async def _read(process: trio.Process) -> str:
    parts = [part async for part in process.stdout]
    return b"".join(parts).decode()
