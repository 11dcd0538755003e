"""Processes of a site: stand-ins and nodes."""

import os
import signal
import sys
from pathlib import Path
from subprocess import PIPE

import trio

from tools.site.client import Client
from tools.site.files import SiteFiles, write_files

__all__ = ["Site"]

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 20.0
STOP_SECONDS = 30.0
STATUS_SECONDS = 2.0
POLL_SECONDS = 0.05


class Site:
    """Stand-in and node processes of one site, which can be started, stopped, killed and signalled.

    :param example: folder of the example site.
    :param folder: folder for the files and logs of this site.
    :param nodes: number of nodes.
    """

    def __init__(self, example: Path, folder: Path, nodes: int = 3):
        self.files: SiteFiles = write_files(example, folder, nodes)
        self.processes_by_id: dict[str, trio.Process] = {}
        self.client = Client(list(self.files.http_by_id.values()))
        self.standin_client = Client([])

    async def start(self) -> None:
        """Start all processes and wait until every node is ready and every zone has an owner."""
        files = self.files
        await self._start_standin("store", "store", "--address", files.store_address)
        vm_list_arguments = ("--address", files.vm_list_address, "--file", str(files.vms))
        await self._start_standin("vm-list", "vm-list", *vm_list_arguments)
        await self._start_standin("workers", "workers", "--file", str(files.vms))
        for id in files.nodes_by_id:
            await self.start_node(id)
        for id in files.nodes_by_id:
            await self.wait_ready(id)
        await self.wait_owned()

    async def _start_standin(self, id: str, *arguments: str) -> None:
        """Start a stand-in and wait until it prints that it is ready."""
        command = [sys.executable, "-m", "mimosapoint_standins", *arguments]
        with (self.files.folder / f"{id}.log").open("ab") as log:
            process = await trio.lowlevel.open_process(command, stdout=PIPE, stderr=log)
        self.processes_by_id[id] = process
        with trio.fail_after(READY_SECONDS):
            line = b""
            while not line.startswith(b"ready"):
                line = await process.stdout.receive_some()

    async def start_node(self, id: str) -> None:
        """Start a node's process."""
        binary = Path(sys.executable).with_name("mimosapoint-node")
        command = [
            str(binary),
            str(self.files.nodes_by_id[id]),
            "--initial-configuration",
            str(self.files.configuration),
        ]
        with (self.files.folder / f"{id}.log").open("ab") as log:
            process = await trio.lowlevel.open_process(command, stdout=log, stderr=log)
        self.processes_by_id[id] = process

    async def wait_ready(self, id: str) -> None:
        """Wait until a node reports that it may serve callers."""
        address = self.files.http_by_id[id]
        with trio.fail_after(READY_SECONDS):
            while (await self.client.call_at(address, "GET", "/readyz")).status != 200:
                self._require_running(id)
                await trio.sleep(POLL_SECONDS)

    def _require_running(self, id: str) -> None:
        code = self.processes_by_id[id].poll()
        if code is not None:
            raise ChildProcessError(f"{id} ended with {code}; see {self.files.folder / id}.log")

    async def wait_owned(self) -> None:
        """Wait until a node replies and each that does knows of free slots in every zone.

        A node learns of them from the owner of the zone.
        """
        with trio.fail_after(READY_SECONDS):
            while not await self._all_owned():
                await trio.sleep(POLL_SECONDS)

    async def _all_owned(self) -> bool:
        has_reply = False
        for address in self.files.http_by_id.values():
            reply = await self.client.call_at(address, "GET", "/v1/status")
            if reply.status != 200:
                continue
            has_reply = True
            owned = [zone.get("free_slots", 0) > 0 for zone in reply.body["zones"].values()]
            if not (owned and all(owned)):
                return False
        return has_reply

    async def zones_by_owner(self) -> dict[str, set[str]]:
        """Return the owned availability zones of each running node that owns any."""
        status = await self.client.call("GET", "/v1/status", timeout=STATUS_SECONDS)
        zones: dict[str, set[str]] = {}
        for zone, zone_status in status.body["zones"].items():
            owner = self.processes_by_id.get(zone_status["owner"])
            if owner is not None and owner.poll() is None:
                zones.setdefault(zone_status["owner"], set()).add(zone)
        return zones

    async def node_with_most_zones(self) -> tuple[str, set[str]]:
        """Return the running node that owns the most availability zones, and these zones."""
        zones = await self.zones_by_owner()
        return max(sorted(zones.items()), key=lambda item: len(item[1]))

    def signal(self, id: str, number: int) -> None:
        """Send a signal to the process of a node or stand-in."""
        os.kill(self.processes_by_id[id].pid, number)

    async def kill(self, id: str) -> None:
        """Kill the process of a node or stand-in and wait until it has exited."""
        self.signal(id, signal.SIGKILL)
        await self.processes_by_id[id].wait()

    async def stop_node(self, id: str) -> int:
        """Stop a node with SIGTERM and return its exit code."""
        self.signal(id, signal.SIGTERM)
        with trio.fail_after(STOP_SECONDS):
            return await self.processes_by_id[id].wait()

    async def stop(self) -> None:
        """Kill the processes that still run and close the clients."""
        with trio.CancelScope(shield=True):
            for process in self.processes_by_id.values():
                if process.poll() is None:
                    process.kill()
                await process.wait()
            await self.client.close()
            await self.standin_client.close()
