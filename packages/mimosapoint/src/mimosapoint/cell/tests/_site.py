"""A cell of several nodes on the in-memory platform."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random
from typing import Any

import attrs
import trio

from mimosapoint.cell import CellNode, CellSettings, Submission
from mimosapoint.cell.keys import progress_key
from mimosapoint.cell.tests._phase_reads import read_phase_as_caller
from mimosapoint.codec import decode, encode
from mimosapoint.errors import (
    CodecError,
    JobNotFound,
    MimosapointError,
    StoreTimeout,
    StoreUnavailable,
    WorkerUnreachable,
)
from mimosapoint.memory import (
    MemoryNetwork,
    MemoryRunWorker,
    MemoryRunWorkers,
    MemoryTransactionStore,
    RunRecord,
    RunSimulation,
    TrioClock,
)
from mimosapoint.ports import Entry, WithdrawnZone, WorkerRegistration
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing._freeze import FreezeControl
from mimosapoint.testing.cell_history import FinalReadObservation, PhaseObservation
from mimosapoint.testing.run_checks import (
    changed_ends,
    run_violations,
    starts_after_shown_ends,
)
from mimosapoint.workload import (
    CellConfiguration,
    CellWorkspace,
    JobProgress,
    Phase,
    Queue,
    ResourceAmounts,
    Step,
)

CAPACITY = ResourceAmounts(128_000, 262_144, 8)
SMALL = ResourceAmounts(11_000, 16_000, 1)
WIDE = ResourceAmounts(15_000, 22_000, 8)
POOL = "composer"
RACK_SIZE = 3
STARTUP_TIME = timedelta(seconds=1)

QUEUES = (
    Queue("urgent", "h", "/urgent/", POOL, 0, 3, 1.5, timedelta(milliseconds=250)),
    Queue("normal", "h", "/normal/", POOL, 1, 3, 3.0, timedelta(seconds=1)),
    Queue("low", "h", "/low/", POOL, 2, 3, 3.0, timedelta(seconds=3)),
)
API_KEY = "key"
CONFIGURATION = CellConfiguration(1, QUEUES, (CellWorkspace("t", frozenset({API_KEY}), 16),))

CALLER_PATIENCE = timedelta(seconds=3)
"""Time after which a caller without a reply leaves."""


class OperatorEntries:
    """Decoder of the operators' entries; an entry holds the version of a stored configuration."""

    prefix = "op/"

    def __init__(self):
        self.configurations_by_version = {CONFIGURATION.version: CONFIGURATION}

    def decode(self, entry: Entry) -> CellConfiguration | WithdrawnZone | None:
        zone = self.withdrawn_zone(entry.key)
        if zone:
            return WithdrawnZone(zone)
        try:
            return self.configurations_by_version[int(entry.value)]
        except (ValueError, KeyError) as error:
            raise CodecError(f"no configuration: {entry.value!r}") from error

    def withdrawn_zone(self, key: str) -> str | None:
        return key.removeprefix("op/out/") if key.startswith("op/out/") else None


class WorkerEntries:
    """Decoder of the workers' entries."""

    prefix = "workers/"

    def decode(self, entry: Entry) -> WorkerRegistration:
        return decode(entry.value, WorkerRegistration)


class FaultyStore:
    """Store of one node, with faults on the way to it.

    ``fault`` is ``refused``, ``silent`` or empty. Scans of ``unread_prefix`` are refused. Every
    other one of the next ``lossy_renewals`` lease renewals takes effect, but its reply is lost.
    """

    def __init__(self, store: MemoryTransactionStore):
        self._store = store
        self.fault = ""
        self.unread_prefix = ""
        self.lossy_renewals = 0

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._store, name)

        async def call_with_faults(*args: Any) -> Any:
            await self._apply_fault()
            if name == "scan" and args[0] == self.unread_prefix:
                raise StoreUnavailable("refused")
            reply = await call(*args)
            if self.fault == "refused":
                # The fault began during the call, which has taken effect.
                raise StoreTimeout("the connection was lost")
            await self._apply_fault()
            if name == "renew_lease" and self.lossy_renewals:
                self.lossy_renewals -= 1
                if self.lossy_renewals % 2:
                    await trio.sleep(1)
                    raise StoreTimeout("the answer was lost")
            return reply

        return call_with_faults

    async def _apply_fault(self) -> None:
        if self.fault == "refused":
            raise StoreUnavailable("refused")
        if self.fault == "silent":
            await trio.sleep(1)
            raise StoreTimeout("no answer")


class FaultyWorkers:
    """Port of one node to the workers; calls to ``unreachable`` workers time out."""

    def __init__(self, workers: MemoryRunWorkers):
        self._workers = workers
        self.unreachable: set[str] = set()

    def __getattr__(self, name: str) -> Any:
        call = getattr(self._workers, name)

        async def call_with_faults(worker: WorkerRegistration, order: Any) -> Any:
            if worker.id in self.unreachable:
                await trio.sleep(0.8)
                raise WorkerUnreachable("cut")
            return await call(worker, order)

        return call_with_faults


@attrs.define(eq=False)
class SiteNode:
    name: str
    cell: CellNode
    store: FaultyStore
    workers: FaultyWorkers
    scope: trio.CancelScope
    telemetry: MemoryTelemetry
    freeze_control: FreezeControl = attrs.field(factory=FreezeControl)

    @property
    def is_owner(self) -> bool:
        return self.cell.owner is not None

    def kill(self) -> None:
        self.scope.cancel()
        self.cell.owner = None


class CellSite:
    """Nodes, workers and store of one cell.

    :ivar phases: phases that tests have read.
    """

    def __init__(self, nursery: trio.Nursery, settings: CellSettings):
        self.clock = TrioClock()
        self.store = MemoryTransactionStore(self.clock)
        self.operators = OperatorEntries()
        self.simulation = RunSimulation(self.clock, nursery)
        self.workers = MemoryRunWorkers()
        self.network = MemoryNetwork()
        self.nodes: list[SiteNode] = []
        self.phases: list[PhaseObservation] = []
        self.settings = settings
        self.nursery = nursery
        self.put_configuration(CONFIGURATION)

    def put_configuration(self, configuration: CellConfiguration) -> None:
        self.operators.configurations_by_version[configuration.version] = configuration
        self.store.put("op/config", str(configuration.version).encode())

    def add_worker(self, number: int, **changes: Any) -> MemoryRunWorker:
        rack = f"r{number // RACK_SIZE}"
        registration = WorkerRegistration(
            id=f"w{number}",
            address=f"10.0.0.{number}:1",
            pool=POOL,
            zone=f"z{number // RACK_SIZE}",
            rack=rack,
            labels=frozenset({"a", rack}),
            capacity=CAPACITY,
            born=1,
        )
        worker = MemoryRunWorker(attrs.evolve(registration, **changes), self.simulation)
        self.workers.add(worker)
        self.nursery.start_soon(worker.run_lease_expiry)
        self.register(worker)
        return worker

    def register(self, worker: MemoryRunWorker, **changes: Any) -> None:
        worker.registration = attrs.evolve(worker.registration, **changes)
        self.store.put(f"workers/{worker.registration.id}", encode(worker.registration))

    def unregister(self, worker: MemoryRunWorker) -> None:
        self.store.apply({}, (), [f"workers/{worker.registration.id}"])

    def add_node(self) -> SiteNode:
        name = f"n{len(self.nodes)}"
        store, workers = FaultyStore(self.store), FaultyWorkers(self.workers)
        telemetry = MemoryTelemetry()
        cell = CellNode(
            name,
            store,
            workers,
            self.operators,
            WorkerEntries(),
            self.clock,
            telemetry,
            self.settings,
            Random(name),
            self.network.add(name),
        )
        node = SiteNode(name, cell, store, workers, trio.CancelScope(), telemetry)
        self.nodes.append(node)
        self.nursery.start_soon(self._run_node, node)
        return node

    async def _run_node(self, node: SiteNode) -> None:
        with node.scope:
            await node.cell.run()

    @property
    def owner(self) -> SiteNode:
        return next(node for node in self.nodes if node.is_owner)

    @property
    def live_nodes(self) -> list[SiteNode]:
        return [node for node in self.nodes if not node.scope.cancel_called]

    @property
    def other(self) -> SiteNode:
        return next(
            node for node in self.nodes if not node.is_owner and not node.scope.cancel_called
        )

    async def submit(
        self,
        job: str,
        *steps: Step,
        queue: int = 1,
        node: SiteNode | None = None,
        workspace: str = "t",
        **more: Any,
    ) -> str:
        gateway = (node or self.other).cell.gateway
        submission = Submission(job, "spec", steps, **more)
        await gateway.submit(QUEUES[queue], workspace, submission, timedelta(seconds=1))
        return job

    async def wait_phase(self, job: str, phase: Phase, within: float = 20) -> None:
        with trio.fail_after(within):
            while self.phase(job) is not phase:
                await trio.sleep(0.05)

    async def wait_running(self, job: str, count: int = 1, within: float = 10) -> None:
        with trio.fail_after(within):
            while len(self.running(job)) < count:
                await trio.sleep(0.02)

    def phase(self, job: str) -> Phase:
        """Return the phase that the store holds, which any node may show."""
        value = self.store.peek(progress_key(job))
        if not value:
            return Phase.QUEUED
        phase, now = decode(value, JobProgress).phase, trio.current_time()
        self.phases.append(PhaseObservation(job, now, now, phase))
        return phase

    async def read_phase(self, node: SiteNode, job: str) -> Phase | None:
        """Read the phase of a job at a node as a caller does, and record the reply.

        :return: the phase; ``None`` if the job is not found, the request is refused or there is no
            reply.
        """
        observation = await self.observe_phase(node, job)
        return observation.phase if observation is not None else None

    async def observe_phase(self, node: SiteNode, job: str) -> PhaseObservation | None:
        """Read the phase of a job at a node as a caller does, and record the reply.

        :return: the reply, also if the job is not found; ``None`` if the request is refused or
            there is no reply.
        """
        others = [other for other in self.live_nodes if other is not node]
        path = f"{QUEUES[1].prefix}{job}"
        sent_at = trio.current_time()
        with trio.move_on_after(CALLER_PATIENCE.total_seconds()) as scope:
            try:
                phase = await read_phase_as_caller(node, others, path, API_KEY)
            except JobNotFound:
                phase = None
            except MimosapointError:
                return None
        if scope.cancelled_caught:
            return None
        observation = PhaseObservation(job, sent_at, trio.current_time(), phase)
        self.phases.append(observation)
        return observation

    async def read_everywhere(self, jobs: Iterable[str]) -> list[FinalReadObservation]:
        """Read each job at each live node, and return the replies."""
        reads = []

        async def read(node: SiteNode, job: str) -> None:
            reply = await self.observe_phase(node, job)
            reads.append(FinalReadObservation(job, node.name, reply))

        async with trio.open_nursery() as nursery:
            for job in jobs:
                for node in self.live_nodes:
                    nursery.start_soon(read, node, job)
        return reads

    def runs(self, job: str) -> list[RunRecord]:
        return [record for record in self.simulation.history if record.task.job == job]

    def running(self, job: str) -> list[RunRecord]:
        return [record for record in self.runs(job) if record.ended_at is None]

    def violations(self) -> list[str]:
        """Return the violations of promises that the workers and callers have observed."""
        history = self.simulation.history
        return [
            *run_violations(history, self.simulation.over_capacity_workers),
            *starts_after_shown_ends(history, self.phases),
            *changed_ends(self.phases),
        ]


@asynccontextmanager
async def open_site(
    nodes: int = 3, workers: int = 6, settings: CellSettings | None = None
) -> AsyncIterator[CellSite]:
    """Open a cell, with time to elect an owner and to open its worker sessions."""
    async with trio.open_nursery() as nursery:
        site = CellSite(nursery, settings or CellSettings())
        for number in range(workers):
            site.add_worker(number)
        for _ in range(nodes):
            site.add_node()
        await trio.sleep(STARTUP_TIME.total_seconds())
        yield site
        nursery.cancel_scope.cancel()
