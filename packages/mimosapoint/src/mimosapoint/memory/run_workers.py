"""Orders to workers in memory, with faults on the way."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import MimosapointError, WorkerRefused, WorkerUnreachable
from mimosapoint.memory.run_worker import MemoryRunWorker
from mimosapoint.ports import (
    RenewLeaseOrder,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerRegistration,
    WorkerReplaced,
    WorkerRunReport,
)

__all__ = ["LinkFaults", "MemoryRunWorkers"]

DELAY_SECONDS = 0.002
"""Time that a call takes."""

TIMEOUT_SECONDS = 0.8
"""Time after which a call without an answer fails."""


@attrs.define
class LinkFaults:
    """Faults on the way to one worker.

    :param partitioned: calls reach nothing and get no answer.
    :param refused: connections are refused.
    :param start_delay: starts get no answer and are carried out after this time.
    :param refuse_starts: starts are refused by the worker.
    :param wrong_incarnation: another life of the worker answers.
    :param lost_starts: number of the next starts that get no answer and have no effect.
    :param lost_renewal_replies: number of the next renewals that get no answer.
    :param lost_start_replies: number of the next starts that get no answer but are carried out.
    """

    partitioned: bool = False
    refused: bool = False
    start_delay: timedelta | None = None
    refuse_starts: bool = False
    wrong_incarnation: bool = False
    lost_starts: int = 0
    lost_renewal_replies: int = 0
    lost_start_replies: int = 0


class MemoryRunWorkers:
    """The workers of a cell by their addresses.

    :param workers: the workers.
    """

    def __init__(self, *workers: MemoryRunWorker):
        self.workers_by_address = {worker.registration.address: worker for worker in workers}
        self.link_faults_by_address = {address: LinkFaults() for address in self.workers_by_address}

    def add(self, worker: MemoryRunWorker) -> None:
        """Add a worker."""
        self.workers_by_address[worker.registration.address] = worker
        self.link_faults_by_address[worker.registration.address] = LinkFaults()

    async def hold(self, worker: WorkerRegistration, order: RenewLeaseOrder) -> WorkerRunReport:
        """Renew the lease and return what runs and what ended."""
        found = await self._reach(worker)
        lists = await found.hold(order)
        link = self.link_faults_by_address[worker.address]
        if link.lost_renewal_replies:
            link.lost_renewal_replies -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        await self._reach(worker)
        return lists

    async def start(self, worker: WorkerRegistration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        link = self.link_faults_by_address[worker.address]
        if link.start_delay is not None:
            trio.lowlevel.spawn_system_task(self._start_late, worker, order, link.start_delay)
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        if link.lost_starts:
            link.lost_starts -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        found = await self._reach(worker)
        if link.refuse_starts:
            raise StartRefused("unhealthy")
        clock_ms = found.start(order)
        if link.lost_start_replies:
            link.lost_start_replies -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        return clock_ms

    async def stop(self, worker: WorkerRegistration, order: StopOrder) -> None:
        """Stop a run."""
        (await self._reach(worker)).stop(order)

    async def _start_late(
        self, worker: WorkerRegistration, order: StartOrder, late_by: timedelta
    ) -> None:
        await trio.sleep(late_by.total_seconds())
        try:
            self.workers_by_address[worker.address].start(order)
        except MimosapointError:
            return

    async def _reach(self, worker: WorkerRegistration) -> MemoryRunWorker:
        await trio.sleep(DELAY_SECONDS)
        link = self.link_faults_by_address[worker.address]
        if link.refused:
            raise WorkerRefused("connection refused")
        if link.partitioned:
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        if link.wrong_incarnation:
            raise WorkerReplaced("another life answers")
        return self.workers_by_address[worker.address]
