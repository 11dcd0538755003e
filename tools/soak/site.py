"""Node processes that reach stand-ins of the store and of workers through proxies."""

from __future__ import annotations

import os
import signal
import sys
from datetime import timedelta
from functools import partial
from pathlib import Path

import trio
from mimosapoint.cell.keys import JOB_PREFIX
from mimosapoint.codec import decode
from mimosapoint.memory import (
    MemoryRunWorker,
    MemoryTransactionStore,
    RunSimulation,
    TrioClock,
)
from mimosapoint.ports import WorkerRegistration
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.workload import (
    AcceptedJob,
    CellConfiguration,
    CellWorkspace,
    Queue,
    ResourceAmounts,
)
from mimosapoint_node.http import HttpLimits, serve
from mimosapoint_platform.tests.standin import (
    StandinFaults,
    configuration_entry,
    store_app,
    worker_app,
    worker_entry,
)

from tools.site.ports import free_addresses
from tools.soak.proxy import Proxy

__all__ = ["CONFIGURATION", "SoakSite"]

ROOT = Path(__file__).resolve().parents[2]
CAPACITY = ResourceAmounts(16_000, 16_000, 8)
WORKERS_PER_RACK = 3
RUN_TIME = timedelta(milliseconds=700)
POOL = "pool"
CONFIGURATION = CellConfiguration(
    1,
    (
        Queue("urgent", "h", "/urgent/", POOL, 0, 3, 1.5, timedelta(seconds=1)),
        Queue("low", "h", "/low/", POOL, 2, 3, 3.0, timedelta(seconds=1)),
    ),
    (CellWorkspace("t", frozenset({"key"})),),
)


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
    :param cores: ``processor_share`` of each node; below 1, other nodes relay an owner's orders.
    """

    def __init__(self, folder: Path, nursery: trio.Nursery, cores: float = 1.0):
        self.cores = cores
        self.folder = folder
        self.nursery = nursery
        self.store = MemoryTransactionStore(TrioClock())
        self.simulation = RunSimulation(TrioClock(), nursery, RUN_TIME)
        self.workers: list[MemoryRunWorker] = []
        self.worker_proxies: list[Proxy] = []
        self.store_proxies: list[Proxy] = []
        self.processes: list[trio.Process | None] = []
        self._started: list[trio.Process] = []
        self.addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self.node_addresses: list[str] = []

    async def start(self, nodes: int, workers: int) -> None:
        """Start the stand-ins, the proxies and the nodes."""
        self.store.put("op/config", configuration_entry(1, CONFIGURATION))
        store_port = await self._serve(store_app(self.store, StandinFaults()))
        jobs = _JobsFromStore(self.store)
        for number in range(workers):
            await self._add_worker(number, jobs)
        for number in range(nodes):
            self.store_proxies.append(await self._proxy(store_port))
            for addresses in (self.addresses, self.operator_addresses, self.node_addresses):
                addresses += free_addresses(1)
            self.processes.append(None)
            await self.start_node(number)
        self.nursery.start_soon(self._write_heartbeats)

    async def start_node(self, number: int) -> None:
        """Start the process of a node, unless it runs already, as after another fault."""
        running = self.processes[number]
        if running is not None and running.returncode is None:
            return
        (probe,) = free_addresses(1)
        settings = self.folder / f"node-{number}.yaml"
        settings.write_text(
            f"id: node-{number}\nzone: z{number}\nregion: r\n"
            f"callers_address: {self.addresses[number]}\n"
            f"probe_address: {probe}\nmetrics_address: {self.operator_addresses[number]}\n"
            f"nodes_address: {self.node_addresses[number]}\n"
            f"processor_share: {self.cores}\n"
            f"store_address: {self.store_proxies[number].address}\n"
        )
        environment = {**os.environ, "MIMOSAPOINT_CONFIG": str(settings)}
        with (self.folder / f"node-{number}.log").open("ab") as log:
            process = await trio.lowlevel.open_process(
                [sys.executable, str(ROOT / "platform" / "run.py")],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.processes[number] = process
        self._started.append(process)

    async def signal_node(self, number: int, name: str) -> None:
        """Send a signal to the process of a node, if it runs.

        :param name: name of the signal.
        """
        process = self.processes[number]
        if process is not None and process.returncode is None:
            process.send_signal(getattr(signal, name))

    async def wait_node(self, number: int) -> None:
        """Wait until the process of a node has ended."""
        process = self.processes[number]
        if process is not None:
            await process.wait()

    async def stop(self) -> None:
        """Kill the node processes that still run."""
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _add_worker(self, number: int, jobs: _JobsFromStore) -> None:
        rack = f"r{number // WORKERS_PER_RACK}"
        registration = WorkerRegistration(
            f"w{number}", "", POOL, rack, rack, frozenset({"a", rack}), CAPACITY, born=1
        )
        worker = MemoryRunWorker(registration, self.simulation)
        self.nursery.start_soon(worker.run_lease_expiry)
        self.workers.append(worker)
        port = await self._serve(worker_app(worker, jobs, StandinFaults()))
        self.worker_proxies.append(await self._proxy(port))

    async def _serve(self, app: object) -> int:
        serving = partial(serve, app, "127.0.0.1:0", HttpLimits(), trio.Event(), MemoryTelemetry())
        address = await self.nursery.start(serving)
        return int(address.rpartition(":")[2])

    async def _proxy(self, port: int) -> Proxy:
        proxy = Proxy(port)
        await self.nursery.start(proxy.run)
        return proxy

    async def _write_heartbeats(self) -> None:
        """Write the entry of every worker to the store each second."""
        while True:
            for worker, proxy in zip(self.workers, self.worker_proxies, strict=True):
                entry = worker_entry(worker, proxy.address)
                self.store.put(f"servers/{worker.registration.id}", entry)
            await trio.sleep(1)
