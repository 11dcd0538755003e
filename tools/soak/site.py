"""Node processes that reach stand-ins of the store and of workers through proxies."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any

import trio
from mimosapoint.cell.election import CellOwnerRecord
from mimosapoint.cell.keys import JOB_PREFIX, OWNER_KEY
from mimosapoint.codec import decode
from mimosapoint.memory import (
    MemoryRunWorker,
    MemoryTransactionStore,
    RunSimulation,
    TrioClock,
)
from mimosapoint.ports import WorkerRegistration
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import AcceptedJob
from mimosapoint_node.http import HttpLimits, serve
from mimosapoint_platform.tests.standin import (
    StandinFaults,
    store_app,
    worker_app,
    worker_entry,
)

from tools.soak.addresses import free_addresses, proxies_host
from tools.soak.configurations import CAPS, POOL, Configurations
from tools.soak.deployment import DEPLOYMENT_CAPS, WORKSPACES
from tools.soak.disturbances import Disturbance, PlannedWork
from tools.soak.link import Link
from tools.soak.log import SoakLog
from tools.soak.node_links import AddressRewritingStore
from tools.soak.outages import StoreOutages
from tools.soak.plain_server import serve_plain
from tools.soak.profile import Profile
from tools.soak.proxy import LOOPBACK, Proxy
from tools.soak.usage import Usage
from tools.soak.worker_reports import WorkerReports
from tools.soak.zones import Zones

__all__ = ["CONFIGURATION_MS", "START_GAP_SECONDS", "SoakSite"]

ROOT = Path(__file__).resolve().parents[2]
RUN_TIME = timedelta(milliseconds=700)
CONFIGURATION_MS = 2000
OWNER_PROBE_SECONDS = 0.1
START_GAP_SECONDS = 0.25
"""Time between the starts of the nodes of a deployment."""

DEPLOYMENT_PAGE_SIZE = 200
"""Entries on a page of the store; other profiles have few, so that nodes read several pages."""


class _JobsFromStore(dict):
    """Accepted jobs by id, read from the store on first access."""

    def __init__(self, store: MemoryTransactionStore):
        super().__init__()
        self._store = store

    def __missing__(self, job: str) -> AcceptedJob:
        self[job] = decode(self._store.peek(JOB_PREFIX + job), AcceptedJob)
        return self[job]


class SoakSite:
    """Nodes, simulated workers and the store.

    :param folder: folder for the settings and logs of the nodes.
    :param nursery: nursery that runs the stand-ins and proxies.
    :param profile: size of the site.
    :param earlier_build: checkout whose build the nodes start with; ``None`` for the present one.
    """

    def __init__(
        self,
        folder: Path,
        nursery: trio.Nursery,
        profile: Profile,
        earlier_build: Path | None = None,
    ):
        self.profile = profile
        self.earlier_build = earlier_build
        self.folder = folder
        self.log = SoakLog(folder / "soak.log")
        self.usage = Usage()
        self.nursery = nursery
        self.store = (
            AddressRewritingStore(TrioClock())
            if profile.has_cuts
            else MemoryTransactionStore(TrioClock())
        )
        self.configurations = Configurations(self.store)
        self.zones = Zones(self.store)
        self.simulation = RunSimulation(
            TrioClock(),
            nursery,
            RUN_TIME,
            max_lease=profile.max_lease,
            follows_estimates=profile.has_long_runs,
        )
        self.jobs = _JobsFromStore(self.store)
        self.workers: list[MemoryRunWorker] = []
        self.worker_proxies: list[Proxy] = []
        self.worker_reports = WorkerReports(self.store, self.workers, self.worker_proxies)
        self.store_proxies: list[Proxy] = []
        self.node_proxies: list[list[Proxy]] = []
        self.store_outages = StoreOutages(self.store_proxies)
        self.owner: int | None = None
        self.crashing_job_periods = 0
        self.disturbances: list[Disturbance] = []
        self.planned_work: list[PlannedWork] = []
        self.ready_at = 0.0
        self.stopped_at = float("inf")
        self.processes: list[trio.Process | None] = []
        self._builds = [earlier_build or ROOT for _ in profile.mbps_by_node]
        self.addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self._started: list[trio.Process] = []
        self._start_locks: list[trio.Lock] = []

    async def start(self) -> None:
        """Start the stand-ins, the proxies and the nodes."""
        if self.profile.is_deployment:
            self.configurations.workspaces = WORKSPACES
            self.configurations.cap = DEPLOYMENT_CAPS[0]
        elif self.profile.has_quota:
            self.configurations.cap = CAPS[0]
        self.configurations.publish()
        store = self.store_outages.refusing_app(self._store_app())
        store_port = await self._serve(store)
        for number in range(self.profile.workers):
            await self._add_worker(number)
        for number, mbps in self.profile.mbps_by_node.items():
            if self.profile.is_deployment:
                # One listener accepts too slowly for so many nodes that start at the same time.
                store_port = await self._serve(store)
                await trio.sleep(START_GAP_SECONDS)
            self.store_proxies.append(await self._proxy(store_port, Link(mbps * 1e6 / 8)))
            address_by_name = self._write_settings(number, mbps)
            if self.profile.has_cuts:
                await self._add_node_proxies(address_by_name)
            self.processes.append(None)
            self._start_locks.append(trio.Lock())
            await self.start_node(number)
        reports = self.worker_reports.run if self.profile.has_cuts else self._write_heartbeats
        self.nursery.start_soon(reports)
        self.nursery.start_soon(self._follow_owner)
        self.nursery.start_soon(self.log.run_lag_probe)
        self.nursery.start_soon(self.log.run_wait_probe, self._process_ids)
        self.nursery.start_soon(self.usage.run_probe, self._process_ids, self.log)

    def _store_app(self) -> Callable[..., Any]:
        if self.profile.is_deployment:
            return store_app(self.store, StandinFaults(), DEPLOYMENT_PAGE_SIZE)
        return store_app(self.store, StandinFaults())

    async def start_node(self, number: int) -> None:
        """Start the process of a node, unless it runs already, as after another fault."""
        async with self._start_locks[number]:
            running = self.processes[number]
            if running is None or running.returncode is not None:
                await self._start_process(number)

    async def _start_process(self, number: int) -> None:
        settings = self._settings_path(number)
        build = self._builds[number]
        sources = [*build.glob("packages/*/src"), build / "platform"]
        environment = {
            **os.environ,
            "MIMOSAPOINT_CONFIG": str(settings),
            "PYTHONPATH": os.pathsep.join(map(str, sources)),
        }
        with (self.folder / f"node-{number}.log").open("ab") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, str(build / "platform" / "run.py")],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.processes[number] = process
        self._started.append(process)

    def _settings_path(self, number: int) -> Path:
        return self.folder / f"node-{number}.yaml"

    def _write_settings(self, number: int, mbps: float) -> dict[str, str]:
        address_by_name = free_addresses(number)
        if not self.profile.has_changes:
            del address_by_name["peers_address"]
        self.addresses.append(address_by_name["callers_address"])
        self.operator_addresses.append(address_by_name["metrics_address"])
        lease_ms = int(self.simulation.max_lease / timedelta(milliseconds=1))
        cores = self.profile.cores_by_node.get(number, self.profile.cores)
        self._settings_path(number).write_text(
            f"id: node-{number}\nzone: z{number}\nregion: r\n"
            + "".join(f"{name}: {address}\n" for name, address in address_by_name.items())
            + f"processor_share: {cores}\nlink_mbps: {mbps}\n"
            f"store_address: {self.store_proxies[number].address}\n"
            f"bounds: {{configuration_ms: {CONFIGURATION_MS}, worker_lease_ms: {lease_ms}}}\n"
        )
        return address_by_name

    async def _add_node_proxies(self, address_by_name: dict[str, str]) -> None:
        """Add the proxies through which other nodes reach a node."""
        proxies = []
        for name in ("nodes_address", "peers_address"):
            host, _, port = address_by_name[name].rpartition(":")
            proxy = await self._proxy(int(port), target_host=host)
            self.store.proxies_by_address[address_by_name[name].encode()] = proxy.address.encode()
            proxies.append(proxy)
        self.node_proxies.append(proxies)

    async def signal_node(self, number: int, name: str) -> None:
        """Send a signal to the process of a node, if it runs.

        :param name: name of the signal.
        """
        process = self.processes[number]
        if process is not None and process.returncode is None:
            self.planned_work.append(PlannedWork(trio.current_time(), number, name))
            process.send_signal(getattr(signal, name))

    @contextmanager
    def disturbed(self, name: str, is_planned: bool = False) -> Iterator[None]:
        """Record that the site is disturbed within the context.

        :param name: name of the disturbance.
        :param is_planned: whether it is work around which no request may be cut.
        """
        disturbance = Disturbance(name, trio.current_time(), is_planned=is_planned)
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_at = trio.current_time()

    async def upgrade_node(self, number: int) -> None:
        """Replace a node of the earlier build by one of the present build."""
        self._builds[number] = ROOT
        self.log.write("upgrade", node=number)
        await self.signal_node(number, "SIGTERM")
        await self.wait_node(number)
        await self.start_node(number)

    async def wait_node(self, number: int) -> None:
        """Wait until the process of a node has ended."""
        process = self.processes[number]
        if process is not None:
            await process.wait()

    def _process_ids(self) -> dict[int, int]:
        return {
            number: process.pid
            for number, process in enumerate(self.processes)
            if process is not None and process.returncode is None
        }

    async def stop(self) -> None:
        """Kill the node processes that still run."""
        self.stopped_at = trio.current_time()
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _add_worker(self, number: int) -> None:
        rack = f"r{number // self.profile.workers_per_rack}"
        registration = WorkerRegistration(
            f"w{number}",
            "",
            POOL,
            rack,
            rack,
            frozenset({"a", rack}),
            self.profile.worker_capacity,
            born=1,
        )
        worker = MemoryRunWorker(registration, self.simulation)
        self.nursery.start_soon(worker.run_lease_expiry)
        self.workers.append(worker)
        port = await self._serve(worker_app(worker, self.jobs, StandinFaults()))
        self.worker_proxies.append(await self._proxy(port))

    async def _serve(self, app: object) -> int:
        if self.profile.has_long_runs:
            address = await self.nursery.start(serve_plain, app)
            return int(address.rpartition(":")[2])
        serving = partial(serve, app, "127.0.0.1:0", HttpLimits(), trio.Event(), MemoryTelemetry())
        address = await self.nursery.start(serving)
        return int(address.rpartition(":")[2])

    async def move_worker(self, number: int) -> Proxy:
        """Restart a worker under its id at another address; return the proxy of the earlier one."""
        worker, earlier = self.workers[number], self.worker_proxies[number]
        self.worker_proxies[number] = await self._proxy(earlier.target)
        worker.restart(worker.born + 1)
        self.worker_reports.report(number)
        return earlier

    async def _proxy(
        self, port: int, link: Link | None = None, target_host: str = LOOPBACK
    ) -> Proxy:
        host = proxies_host() if self.profile.has_cuts else LOOPBACK
        proxy = Proxy(port, link or Link(), host=host, target_host=target_host)
        await self.nursery.start(proxy.run)
        return proxy

    async def _write_heartbeats(self) -> None:
        """Write the entry of every worker to the store each second."""
        while True:
            for worker, proxy in zip(self.workers, self.worker_proxies, strict=True):
                entry = worker_entry(worker, proxy.address)
                self.store.put(f"servers/{worker.registration.id}", entry)
            await trio.sleep(1)

    async def _follow_owner(self) -> None:
        """Note which node last had the ownership, also after its lease has expired."""
        while True:
            if value := self.store.peek(OWNER_KEY):
                self.owner = int(decode(value, CellOwnerRecord).node.rpartition("-")[2])
            await trio.sleep(OWNER_PROBE_SECONDS)
