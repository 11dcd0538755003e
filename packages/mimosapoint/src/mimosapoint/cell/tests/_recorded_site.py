"""A cell in memory whose callers, operators, workers and store are recorded."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta
from random import Random
from typing import Any

import attrs
import trio

from mimosapoint.cell import CellSettings, Submission
from mimosapoint.cell.keys import BACKLOG_KEY, EPOCH_KEY
from mimosapoint.cell.tests._site import API_KEY, QUEUES, CellSite, SiteNode
from mimosapoint.codec import decode
from mimosapoint.errors import (
    JobNotFound,
    MimosapointError,
    OutcomeUnknown,
    Overloaded,
    StoreUnavailable,
    Unauthenticated,
)
from mimosapoint.memory import MemoryRunWorker
from mimosapoint.testing._freeze import FreezablePort, FreezeControl
from mimosapoint.testing.cell_history import (
    AuthenticationObservation,
    CancellationObservation,
    CellHistory,
    ClaimObservation,
    ConfigurationObservation,
    ConfigurationWrite,
    CountObservation,
    DisturbanceObservation,
    EpochObservation,
    PlannedStopObservation,
    SubmissionObservation,
    SubmissionOutcome,
    WorkerCrashObservation,
    WorkerDrain,
    ZoneWithdrawal,
)
from mimosapoint.workload import CellConfiguration, CellWorkspace, Phase, ResourceAmounts, Step

ATTEMPTS = (1, 3, 8)
"""Numbers of attempts from which each caller chooses."""

REPORT_SECONDS = 1.5
"""Interval of the status reports of workers."""

SILENCE_SECONDS = 3 * REPORT_SECONDS
"""Time from the last report of a worker to the removal of its entry."""

CALL_TIMEOUT = timedelta(seconds=1)
RETRY_SECONDS = 0.4
OBSERVATION_SECONDS = 0.15

ASK_SECONDS = 1.0
"""Interval at which a caller asks for its job, in seconds."""

ASK_ENDED_SECONDS = 2.0
"""The same after the job was shown as ended."""

NO_EFFECT_ERRORS = (Overloaded, StoreUnavailable, Unauthenticated)


class SlowPort:
    """Port whose calls and replies take half of a site's ``store_delay_seconds`` longer."""

    def __init__(self, port: Any, site: RecordedSite):
        self._port = port
        self._site = site

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._port, name)

        async def call(*args: Any) -> Any:
            await trio.sleep(self._site.store_delay_seconds / 2)
            reply = await method(*args)
            await trio.sleep(self._site.store_delay_seconds / 2)
            return reply

        return call


class RecordedSite(CellSite):
    """Cell that records its history.

    :ivar history: the observations.
    :ivar random: source of the choices of callers and faults.
    :ivar store_delay_seconds: additional time of each call to the store.
    :ivar freeze_controls_by_node: suspend and resume the calls of a node.
    """

    def __init__(self, nursery: trio.Nursery, settings: CellSettings, random: Random):
        self.history = CellHistory()
        self.random = random
        # Reads leave the choices of the faults as they are, however many there are.
        self._reader_random = Random("readers")
        self.store_delay_seconds = 0.0
        self.freeze_controls_by_node: dict[str, FreezeControl] = {}
        self._reported_at_by_worker: dict[str, float] = {}
        self._store_losses_by_worker: Counter[str] = Counter()
        super().__init__(nursery, settings)
        self.history.phases = self.phases
        self.history.runs = self.simulation.history
        self.history.over_capacity_workers = self.simulation.over_capacity_workers
        nursery.start_soon(self._observe)

    def put_configuration(self, configuration: CellConfiguration) -> None:
        super().put_configuration(configuration)
        self.history.cap = configuration.tenants[0].cap
        keys = frozenset(key for tenant in configuration.tenants for key in tenant.keys)
        write = ConfigurationWrite(configuration.version, trio.current_time(), keys)
        self.history.configuration_writes.append(write)

    def put_keys(self, *keys: str) -> None:
        """Store the next version of the configuration, with these API keys."""
        version = self.history.configuration_writes[-1].version + 1
        self.put_workspace(version, attrs.evolve(self._workspace, keys=frozenset(keys)))

    def put_cap(self, cap: ResourceAmounts) -> None:
        """Store the next version of the configuration, with this cap of the callers' workspace."""
        version = self.history.configuration_writes[-1].version + 1
        self.put_workspace(version, attrs.evolve(self._workspace, cap=cap))

    def put_workspace(self, version: int, workspace: CellWorkspace) -> None:
        self.put_configuration(CellConfiguration(version, QUEUES, (workspace,)))

    @property
    def _workspace(self) -> CellWorkspace:
        return self.operators.configurations_by_version[
            self.history.configuration_writes[-1].version
        ].tenants[0]

    @contextmanager
    def disturbed(self, name: str) -> Iterator[None]:
        """Record a disturbance that lasts as long as the context."""
        began_at = trio.current_time()
        yield
        disturbance = DisturbanceObservation(name, began_at, trio.current_time())
        self.history.disturbances.append(disturbance)

    async def read_final_phases(self) -> None:
        """Read each job at each live node, and record the replies as the final ones."""
        jobs = [submission.job for submission in self.history.submissions]
        self.history.final_reads += await self.read_everywhere(jobs)

    def add_worker(self, number, **changes):
        worker = super().add_worker(number, **changes)
        self.history.zones_by_worker[worker.registration.id] = worker.registration.zone
        return worker

    def add_node(self) -> SiteNode:
        """Add a node whose calls can be delayed and frozen."""
        node = super().add_node()
        control = self.freeze_controls_by_node[node.name] = node.freeze_control
        node.store._store = FreezablePort(SlowPort(self.store, self), control)
        node.workers._workers = FreezablePort(self.workers, control)
        return node

    @property
    def any_owner(self) -> SiteNode:
        """The newest owner, or any live node while there is none."""
        owners = [node for node in self.live_nodes if node.is_owner]
        return max(owners, key=lambda node: node.cell.owner.epoch, default=self.live_nodes[0])

    @property
    def any_worker(self):
        return self.random.choice(list(self.workers.workers_by_address.values()))

    def choose_workers(self) -> list[MemoryRunWorker]:
        """Return all workers, or some of them."""
        workers = list(self.workers.workers_by_address.values())
        some = self.random.randint(1, len(workers) - 1)
        return self.random.sample(workers, self.random.choice((some, len(workers))))

    async def crash_worker(self, worker: MemoryRunWorker) -> None:
        """Let a worker crash, and register its next incarnation."""
        crash = WorkerCrashObservation(worker.registration.id, trio.current_time())
        self.history.worker_crashes.append(crash)
        await worker.crash()
        self.register(worker, born=worker.born)

    def withdraw(self, zone: str) -> ZoneWithdrawal:
        """Withdraw a zone."""
        self.store.put(f"op/out/{zone}", b"{}")
        withdrawal = ZoneWithdrawal(zone, trio.current_time())
        self.history.withdrawals.append(withdrawal)
        return withdrawal

    def return_zone(self, withdrawal: ZoneWithdrawal) -> None:
        """Bring a zone back, unless it was withdrawn once more."""
        withdrawal.returned_at = trio.current_time()
        if all(w.returned_at or w.zone != withdrawal.zone for w in self.history.withdrawals):
            self.store.apply({}, (), [f"op/out/{withdrawal.zone}"])

    def register(self, worker: MemoryRunWorker, **changes: Any) -> None:
        """Let a worker report as its present incarnation, once it has the store."""
        changes.setdefault("born", worker.born)
        if self._store_losses_by_worker[worker.registration.id]:
            worker.registration = attrs.evolve(worker.registration, **changes)
            return
        super().register(worker, **changes)
        self._reported_at_by_worker[worker.registration.id] = trio.current_time()

    async def lose_store(self, worker: MemoryRunWorker) -> None:
        """Cut a worker off from the store, and remove its entry for its silence.

        The entry of a worker that does not drain is removed at once, to save time.
        """
        id = worker.registration.id
        self._store_losses_by_worker[id] += 1
        if worker.registration.draining:
            await trio.sleep_until(self._reported_at_by_worker[id] + SILENCE_SECONDS)
        if self._store_losses_by_worker[id]:
            self.unregister(worker)

    def return_store(self, worker: MemoryRunWorker) -> None:
        """End a loss of the store; without another one the worker registers itself."""
        self._store_losses_by_worker[worker.registration.id] -= 1
        self.register(worker, born=worker.born)

    def drain(self, worker: MemoryRunWorker) -> WorkerDrain:
        """Let a worker report that it drains, and go on reporting."""
        self.register(worker, draining=True)
        drain = WorkerDrain(worker.registration.id, trio.current_time())
        self.history.drains.append(drain)
        self.nursery.start_soon(self._report_while_draining, worker, drain)
        return drain

    async def _report_while_draining(self, worker: MemoryRunWorker, drain: WorkerDrain) -> None:
        while drain.returned_at is None:
            await trio.sleep(REPORT_SECONDS)
            is_store_up = not (self.store.faults.refuse or self.store.faults.frozen)
            is_registered = self.store.peek(f"workers/{drain.worker}") is not None
            if is_store_up and is_registered and worker.registration.draining:
                self.register(worker)

    def end_drain(self, worker, drain: WorkerDrain) -> None:
        drain.returned_at = trio.current_time()
        if all(d.returned_at or d.worker != drain.worker for d in self.history.drains):
            self.register(worker, draining=False)

    async def stop_planned(self, node: SiteNode, grace_seconds: float) -> None:
        began_at = trio.current_time()
        node.cell.leave()
        await trio.sleep(grace_seconds)
        node.kill()
        stop = PlannedStopObservation(node.name, began_at, trio.current_time())
        self.history.planned_stops.append(stop)

    async def call_submit(
        self, job: str, *steps: Step, queue: int = 1, first_node: SiteNode | None = None
    ) -> SubmissionObservation:
        """Submit a job as a caller that retries with any node, and record the final result."""
        node = first_node or self.random.choice(self.live_nodes)
        submission = SubmissionObservation(
            job, steps, node.name, trio.current_time(), max_attempts=QUEUES[queue].max_attempts
        )
        self.history.submissions.append(submission)
        outcome = SubmissionOutcome.REFUSED
        for _ in range(self.random.choice(ATTEMPTS)):
            submission.node = node.name
            try:
                await self._submit_once(node, submission, queue, outcome)
                outcome = SubmissionOutcome.ACCEPTED
                break
            except NO_EFFECT_ERRORS:
                await trio.sleep(RETRY_SECONDS)
            except OutcomeUnknown:
                outcome = SubmissionOutcome.UNKNOWN
            node = self.random.choice(self.live_nodes)
        submission.outcome = outcome
        submission.ended_at = trio.current_time()
        return submission

    async def _submit_once(
        self,
        node: SiteNode,
        submission: SubmissionObservation,
        queue: int,
        outcome: SubmissionOutcome,
    ) -> None:
        gateway = node.cell.gateway
        workspace = gateway.workspace_of(API_KEY)
        accepted = AuthenticationObservation(node.name, trio.current_time(), API_KEY)
        self.history.authentications.append(accepted)
        maybe_stored = outcome is SubmissionOutcome.UNKNOWN
        content = Submission(submission.job, "spec", submission.steps)
        await gateway.submit(QUEUES[queue], workspace, content, CALL_TIMEOUT, maybe_stored)

    async def call_claim(self, job: str, step: Step, start_bound_seconds: float) -> None:
        """Submit an urgent job that the guarantee covers; the bound counts from its acceptance."""
        submission = await self.call_submit(job, step, queue=0)
        if submission.outcome is SubmissionOutcome.ACCEPTED:
            claim = ClaimObservation(job, submission.ended_at, start_bound_seconds)
            self.history.claims.append(claim)

    async def call_cancel(self, job: str, stop_bound_seconds: float) -> None:
        """Cancel a job with a random node and record whether that was accepted."""
        node = self.random.choice(self.live_nodes)
        began_at, accepted_at, is_refused = trio.current_time(), None, False
        try:
            await node.cell.gateway.cancel("t", job)
            accepted_at = trio.current_time()
        except JobNotFound:
            # It answers the cancellation, too: none with this id may run afterwards.
            accepted_at = trio.current_time()
        except NO_EFFECT_ERRORS:
            is_refused = True
        except MimosapointError:
            pass
        cancellation = CancellationObservation(
            job, began_at, accepted_at, stop_bound_seconds, is_refused
        )
        self.history.cancellations.append(cancellation)

    async def call_phase(self, job: str) -> Phase | None:
        """Query the phase of a job with a random node and record the reply, if any."""
        return await self.read_phase(self._reader_random.choice(self.live_nodes), job)

    async def ask_throughout(self) -> None:
        """Query the phase of each job again and again, also after it was shown as ended."""
        asked: set[str] = set()
        async with trio.open_nursery() as nursery:
            while True:
                for submission in self.history.submissions:
                    if submission.job not in asked:
                        asked.add(submission.job)
                        nursery.start_soon(self._keep_asking, submission.job)
                await trio.sleep(ASK_SECONDS)

    async def _keep_asking(self, job: str) -> None:
        while True:
            phase = await self.call_phase(job)
            is_ended = phase is not None and phase.ended
            await trio.sleep(ASK_ENDED_SECONDS if is_ended else ASK_SECONDS)

    async def _observe(self) -> None:
        """Record the epoch in the store and the configurations by which nodes serve."""
        while True:
            at = trio.current_time()
            epoch = int(self.store.peek(EPOCH_KEY) or 0)
            if epoch and (not self.history.epochs or epoch > self.history.epochs[-1].epoch):
                self.history.epochs.append(EpochObservation(epoch, at))
            backlog = self.store.peek(BACKLOG_KEY)
            if backlog is not None:
                count = CountObservation(at, sum(decode(backlog, dict[str, int]).values()))
                self.history.counts.append(count)
            for node in self.live_nodes:
                if node.cell.view.is_fresh():
                    version = node.cell.gateway.configuration().version
                    observation = ConfigurationObservation(node.name, at, version)
                    self.history.configurations.append(observation)
            await trio.sleep(OBSERVATION_SECONDS)


@asynccontextmanager
async def open_recorded_site(
    random: Random, nodes: int = 3, workers: int = 6, settings: CellSettings | None = None
) -> AsyncIterator[RecordedSite]:
    """Open a recorded cell, with time to elect an owner and to open its worker sessions."""
    settings = settings or CellSettings()
    async with trio.open_nursery() as nursery:
        site = RecordedSite(nursery, settings, random)
        for number in range(workers):
            site.add_worker(number)
        for _ in range(nodes):
            site.add_node()
        startup_time = timedelta(seconds=1)
        if not settings.is_preferred_owner:
            startup_time += settings.fallback_claim_delay
        await trio.sleep(startup_time.total_seconds())
        yield site
        site.history.ended_at = trio.current_time()
        site.history.workers_by_id = {
            worker.registration.id: worker.registration
            for worker in site.workers.workers_by_address.values()
        }
        nursery.cancel_scope.cancel()
