"""Sites of a given size, with generated files, stand-ins and real nodes."""

import re
from pathlib import Path
from typing import Any

import attrs
import trio
import yaml

from benchmarks.slopes.ports import reserved_addresses
from tools.site import Site
from tools.site.files import SiteFiles

__all__ = ["REGION", "SizedSite", "write_example"]

ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
REGION = "r1"
ZONE = "r1-a"
WORKSPACES = 83
WORKERS_PER_RACK = 10
MIN_RACKS = 22
START_SECONDS = 90.0
POLL_SECONDS = 0.1
QUEUE_LIMIT = 100_000
WORKER = {"slots": 8, "cores": 128, "memory_gib": 256, "accelerators": 8}
TASK = {"slots": 1, "cores": 16, "memory_gib": 32, "accelerators": 1}


def write_example(
    folder: Path, nodes: int, workers: int, settings: dict[str, Any] | None = None
) -> Path:
    """Write the files of a site with one availability zone and 83 workspaces.

    :param nodes: number of entry VMs.
    :param workers: number of endpoint VMs.
    :param settings: additional settings of every node.
    """
    folder.mkdir(parents=True)
    entries = [_vm(f"node-{number:03}", "entry") for number in range(nodes)]
    endpoints = [
        _vm(f"worker-{number:04}", "endpoint", f"rack-{number // WORKERS_PER_RACK:02}")
        for number in range(workers)
    ]
    for vm in entries:
        _write(folder / f"{vm['id']}.yaml", _settings(vm["id"], settings or {}))
    _write(folder / "vms.yaml", {"vms": [*entries, *endpoints]})
    _write(folder / "configuration.yaml", _configuration(workers))
    return folder


def _write(path: Path, content: Any) -> None:
    path.write_text(yaml.safe_dump(content, sort_keys=False))


def _vm(id: str, kind: str, rack: str = "") -> dict[str, Any]:
    return {"id": id, "kind": kind, "zone": ZONE, "rack": rack, "address": "", "state": "live"}


def _settings(id: str, extra: dict[str, Any]) -> dict[str, Any]:
    telemetry = {"log_level": "warning", "trace_exporter": "none"}
    return {"id": id, "zone": ZONE, "region": REGION, "telemetry": telemetry, **extra}


def _configuration(workers: int) -> dict[str, Any]:
    racks = max(MIN_RACKS, workers // WORKERS_PER_RACK)
    capacity = {"racks": racks, "workers_per_rack": WORKERS_PER_RACK, "worker": WORKER}
    zone = {
        "region": REGION,
        "mode": "in-service",
        "leaving": "checkpoint-and-move",
        "capacity": capacity,
    }
    return {
        "version": 1,
        "policies": {"scheduling": "packed"},
        "zones": {ZONE: zone},
        "workspaces": {f"workspace-{n:02}": _workspace() for n in range(WORKSPACES)},
    }


def _workspace() -> dict[str, Any]:
    guarantees = [
        {"id": "rack", "gang": 8, "shape": TASK, "adjacency": "rack", "count": 1},
        {"id": "worker", "gang": 2, "shape": TASK, "adjacency": "worker", "count": 2},
    ]
    services = {"rebuilds": {"classes": ["urgent", "normal", "deferrable"]}}
    return {
        "region": REGION,
        "queue_limit": QUEUE_LIMIT,
        "guarantees": guarantees,
        "services": services,
    }


def _on_reserved_ports(files: SiteFiles) -> SiteFiles:
    """Replace the ports of a site by reserved ones.

    Outgoing connections could take other ports before the processes of the site bind them.
    """
    written = [files.vms, *files.nodes_by_id.values()]
    found = {address for path in written for address in ADDRESS.findall(path.read_text())}
    moved = dict(zip(sorted(found), reserved_addresses(len(found)), strict=True))
    for path in written:
        path.write_text(ADDRESS.sub(lambda match: moved[match.group()], path.read_text()))
    return attrs.evolve(
        files,
        http_by_id={id: moved[address] for id, address in files.http_by_id.items()},
        store_address=moved[files.store_address],
        vm_list_address=moved[files.vm_list_address],
        workers_by_id={id: moved[address] for id, address in files.workers_by_id.items()},
    )


class SizedSite(Site):
    """Site of a given size.

    :param folder: folder for its files and logs.
    :param nodes: number of nodes.
    :param workers: number of workers.
    :param settings: additional settings of every node.
    """

    def __init__(
        self,
        folder: Path,
        nodes: int,
        workers: int = 0,
        settings: dict[str, Any] | None = None,
    ):
        example = write_example(folder / "example", nodes, workers, settings)
        super().__init__(example, folder / "site", nodes)
        self._workers = workers
        self.files = _on_reserved_ports(self.files)
        self.worker_addresses = list(self.files.workers_by_id.values())

    async def wait_ready(self, id: str) -> None:
        """Wait until a node serves callers.

        The timeout is longer than that of ``Site``, as many nodes that start at once are slow.
        """
        address = self.files.http_by_id[id]
        with trio.fail_after(START_SECONDS):
            while (await self.client.call_at(address, "GET", "/readyz")).status != 200:
                self._require_running(id)
                await trio.sleep(POLL_SECONDS)

    async def wait_owned(self) -> None:
        """Wait until every node sees all slots of the workers as free slots of the zone."""
        with trio.fail_after(START_SECONDS):
            while not await self._all_owned():
                await trio.sleep(POLL_SECONDS)

    async def start_list(self) -> None:
        """Start only the stand-in for the VM list."""
        files = self.files
        listed = ("--address", files.vm_list_address, "--file", str(files.vms))
        await self._start_standin("vm-list", "vm-list", *listed)

    @property
    def pids_by_node(self) -> dict[str, int]:
        """Process ids of the nodes."""
        return {id: self.processes_by_id[id].pid for id in self.files.nodes_by_id}

    async def _all_owned(self) -> bool:
        """Return whether every node reports all slots of the workers as free."""
        for address in self.files.http_by_id.values():
            reply = await self.client.call_at(address, "GET", "/v1/status")
            zones = reply.body["zones"] if reply.status == 200 else {}
            slots = [zone.get("free_slots") for zone in zones.values()]
            if slots != [WORKER["slots"] * self._workers]:
                return False
        return True

    async def owner(self) -> str:
        """Return the id of the node that owns the zone."""
        address = next(iter(self.files.http_by_id.values()))
        reply = await self.client.call_at(address, "GET", "/v1/status")
        return next(iter(reply.body["zones"].values()))["owner"]

    async def counters(self, id: str) -> dict[str, float]:
        """Return the metrics of a node by name with labels."""
        text = await self._text(self.files.http_by_id[id], "/metrics")
        lines = (line.rpartition(" ") for line in text.splitlines() if not line.startswith("#"))
        return {name: float(value) for name, _, value in lines if name}

    async def _text(self, address: str, path: str) -> str:
        response = await self.client._pool.request(
            "GET", f"http://{address}{path}", headers={"Host": address}
        )
        return response.content.decode()
