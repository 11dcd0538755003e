"""Cost of a node by number of nodes, of a patch and of an open connection."""

import statistics
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import attrs
import trio

from benchmarks.slopes.fit import Point, Slope, fit
from benchmarks.slopes.site import SizedSite
from benchmarks.slopes.usage import KIB, MIB, usage
from tools.site.client import Reply

__all__ = ["measure_connections", "measure_fleets"]

SMALL_SIZES = (2, 4, 8, 16)
"""Numbers of nodes of the fleets that run in parallel."""

LARGE_SIZE = 48
BACKED_OFF_SIZES = (2, 4, 8, 24)
"""Numbers of nodes of the fleets with backed-off reads, which run in parallel."""

SUFFIX = "_backed_off"
SLOPE_FIELDS = (
    ("node.idle_cpu", "ms/s", "processor"),
    ("node.empty_owner_cpu", "ms/s", "owner"),
    ("node.memory", "MiB", "memory"),
    ("node.peer_calls", "calls/s", "calls"),
    ("fleet.store_calls", "calls/s", "reads"),
)
"""Name, unit and ``FleetCost`` field of each slope."""

PATCH_SLOPE_FIELDS = (
    ("patch.node_cpu", "ms", "patch"),
    ("patch.in_force", "ms", "in_force"),
)

SETTLE_SECONDS = 3.0
IDLE_SECONDS = 8.0
PATCHES = 12
PATCH_PAUSE = 0.2
"""Seconds between two patches."""

PATCH_SECONDS = 30.0
"""Timeout for the acceptance of a patch."""

POLL_SECONDS = 0.02
CONNECTIONS = (0, 100, 200, 400)
BACKED_OFF_SETTINGS = {
    "configuration": {"poll_after_seconds": 1.5, "freshness_bound_seconds": 2.5},
    "peers": {"list_interval_seconds": 2},
}
"""Settings of nodes that read the store and the VM list less often than by default."""


@attrs.frozen
class FleetCost:
    """Measured cost of a fleet.

    :param nodes: number of nodes of the fleet.
    :param processor: processor time of an idle node that owns no zone, ms per second.
    :param owner: processor time of the node that owns the empty zone, ms per second.
    :param memory: memory of a node that owns no zone, MiB.
    :param calls: calls of a node to other nodes per second.
    :param reads: calls of the whole fleet to the store per second.
    :param patch: processor time of a patch on a node that does not commit it, ms.
    :param in_force: longest time from the request of a patch until every node has it in force, ms.
    """

    nodes: int
    processor: float
    owner: float
    memory: float
    calls: float
    reads: float
    patch: float
    in_force: float


async def measure_fleets(folder: Path) -> list[Slope]:
    """Return the slopes over the number of nodes, with default and with backed-off reads."""
    costs = await _fleets(folder / "small", SMALL_SIZES, None)
    costs += await _fleets(folder / "large", (LARGE_SIZE,), None)
    backed_off = await _fleets(folder / "rarer", BACKED_OFF_SIZES, BACKED_OFF_SETTINGS)
    return [
        *_slopes(costs, "", SLOPE_FIELDS + PATCH_SLOPE_FIELDS),
        *_slopes(backed_off, SUFFIX, SLOPE_FIELDS),
    ]


async def _fleets(
    folder: Path, sizes: tuple[int, ...], settings: dict[str, Any] | None
) -> list[FleetCost]:
    """Measure fleets of several sizes in parallel; patches with the default settings only."""
    costs: list[FleetCost] = []

    async def measure_fleet(nodes: int) -> None:
        async with AsyncExitStack() as stack:
            site = SizedSite(folder / f"nodes-{nodes}", nodes, settings=settings)
            stack.push_async_callback(site.stop)
            await site.start()
            await trio.sleep(SETTLE_SECONDS)
            costs.append(await _cost(site, nodes, patches=0 if settings else PATCHES))

    async with trio.open_nursery() as nursery:
        for nodes in sizes:
            nursery.start_soon(measure_fleet, nodes)
    return costs


def _slopes(
    costs: list[FleetCost], suffix: str, wanted: tuple[tuple[str, str, str], ...]
) -> list[Slope]:
    return [
        fit(
            name + suffix, "node", unit, [Point(cost.nodes, getattr(cost, field)) for cost in costs]
        )
        for name, unit, field in wanted
    ]


async def _cost(site: SizedSite, nodes: int, patches: int) -> FleetCost:
    owner = await site.owner()
    before, reads, calls = _processor_by_node(site), *await _traffic(site)
    await trio.sleep(IDLE_SECONDS)
    after, reads_after, calls_after = _processor_by_node(site), *await _traffic(site)
    idle = {id: (after[id] - before[id]) / IDLE_SECONDS for id in after}
    others = [id for id in idle if id != owner]
    patch, in_force = await _patches(site, owner, others, idle, patches) if patches else (0, 0)
    return FleetCost(
        nodes=nodes,
        processor=1e3 * statistics.mean(idle[id] for id in others),
        owner=1e3 * idle[owner],
        memory=statistics.mean(usage(site.pids_by_node[id]).memory for id in others) / MIB,
        calls=(calls_after - calls) / IDLE_SECONDS / nodes,
        reads=(reads_after - reads) / IDLE_SECONDS,
        patch=patch,
        in_force=in_force,
    )


def _processor_by_node(site: SizedSite) -> dict[str, float]:
    return {id: usage(pid).processor for id, pid in site.pids_by_node.items()}


async def _traffic(site: SizedSite) -> tuple[float, float]:
    """Return the calls of the whole fleet to the store and those between its nodes."""
    reads = calls = 0.0
    for id in site.files.nodes_by_id:
        for name, value in (await site.counters(id)).items():
            reads += value * name.startswith("mimosapoint_store_calls_total")
            calls += value * name.startswith("mimosapoint_peer_calls")
    return reads, calls


async def _patches(
    site: SizedSite, owner: str, others: list[str], idle: dict[str, float], count: int
) -> tuple[float, float]:
    """Apply patches at the owner.

    Return ms of processor time for one patch on the other nodes, and the longest delay in ms.
    """
    delays = []
    before, began = _processor_by_node(site), trio.current_time()
    for number in range(count):
        delays.append(await _patch(site, owner, number))
        await trio.sleep(PATCH_PAUSE)
    after, elapsed = _processor_by_node(site), trio.current_time() - began
    processor_seconds = [after[id] - before[id] - idle[id] * elapsed for id in others]
    return 1e3 * statistics.mean(processor_seconds) / count, 1e3 * max(delays)


async def _patch(site: SizedSite, node: str, number: int) -> float:
    """Apply one patch and return the seconds until it is in force on every node."""
    address = site.files.http_by_id[node]
    path = "/workspaces/workspace-00/grace"
    operation = {"op": "replace", "path": path, "value": 1 + number}
    body = {"id": f"patch-{number}", "base": 1 + number, "operations": [operation]}
    began = trio.current_time()
    reply = await _send_patch(site, address, body)
    while reply.body["nodes_pending"]:
        await trio.sleep(POLL_SECONDS)
        reply = await site.client.call_at(
            address, "GET", f"/v1/configuration/patches/patch-{number}"
        )
    return trio.current_time() - began


async def _send_patch(site: SizedSite, address: str, body: dict[str, Any]) -> Reply:
    """Send a patch until it is accepted; retry on status 503, as when the store is slow."""
    with trio.fail_after(PATCH_SECONDS):
        while True:
            reply = await site.client.call_at(address, "POST", "/v1/configuration/patches", body)
            if reply.status == 200:
                return reply
            if reply.status != 503:
                raise RuntimeError(f"unexpected reply {reply}")
            await trio.sleep(POLL_SECONDS)


async def measure_connections(folder: Path) -> list[Slope]:
    """Return the slope of memory over the number of open connections of callers."""
    points = []
    async with AsyncExitStack() as stack:
        site = SizedSite(folder / "connections", 1)
        stack.push_async_callback(site.stop)
        await site.start()
        await trio.sleep(SETTLE_SECONDS)
        address, pid = next(iter(site.files.http_by_id.values())), site.pids_by_node["node-000"]
        streams: list[trio.SocketStream] = []
        for wanted in CONNECTIONS:
            while len(streams) < wanted:
                streams.append(await _connect(address))
            points.append(Point(wanted, usage(pid).memory / KIB))
        for stream in streams:
            await stream.aclose()
    return [fit("connection.memory", "connection", "KiB", points)]


async def _connect(address: str) -> trio.SocketStream:
    """Open a connection, send one request on it and leave it open."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(f"GET /healthz HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
    await stream.receive_some()
    return stream
