"""Orders to workers in memory, with faults on the way."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import MimosapointError, WorkerRefused, WorkerUnreachable
from mimosapoint.memory.run_worker import MemoryRunWorker
from mimosapoint.ports import (
    HoldOrder,
    Registration,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerLists,
    WorkerReplaced,
)

__all__ = ["Link", "MemoryRunWorkers"]

DELAY_SECONDS = 0.002
"""Time that a call takes."""

TIMEOUT_SECONDS = 0.8
"""Time after which a call without an answer fails."""


@attrs.define
class Link:
    """Faults on the way to one worker.

    :param cut: calls reach nothing and get no answer.
    :param refused: connections are refused.
    :param late_by: starts get no answer and are carried out after this time.
    :param unhealthy: starts are refused by the worker.
    :param replaced: another life of the worker answers.
    :param lost_starts: number of the next starts that get no answer and have no effect.
    :param lost_lists: number of the next renewals that get no answer.
    :param lost_start_answers: number of the next starts that get no answer but are carried out.
    """

    cut: bool = False
    refused: bool = False
    late_by: timedelta | None = None
    unhealthy: bool = False
    replaced: bool = False
    lost_starts: int = 0
    lost_lists: int = 0
    lost_start_answers: int = 0


class MemoryRunWorkers:
    """The workers of a cell by their addresses.

    :param workers: the workers.
    """

    def __init__(self, *workers: MemoryRunWorker):
        self.workers_by_address = {worker.registration.address: worker for worker in workers}
        self.links_by_address = {address: Link() for address in self.workers_by_address}

    def add(self, worker: MemoryRunWorker) -> None:
        """Add a worker."""
        self.workers_by_address[worker.registration.address] = worker
        self.links_by_address[worker.registration.address] = Link()

    async def hold(self, worker: Registration, order: HoldOrder) -> WorkerLists:
        """Renew the lease and return what runs and what ended."""
        found = await self._reach(worker)
        lists = await found.hold(order)
        link = self.links_by_address[worker.address]
        if link.lost_lists:
            link.lost_lists -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        await self._reach(worker)
        return lists

    async def start(self, worker: Registration, order: StartOrder) -> int:
        """Start a run and return the worker's clock in milliseconds."""
        link = self.links_by_address[worker.address]
        if link.late_by is not None:
            trio.lowlevel.spawn_system_task(self._start_late, worker, order, link.late_by)
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        if link.lost_starts:
            link.lost_starts -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        found = await self._reach(worker)
        if link.unhealthy:
            raise StartRefused("unhealthy")
        clock_ms = found.start(order)
        if link.lost_start_answers:
            link.lost_start_answers -= 1
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        return clock_ms

    async def stop(self, worker: Registration, order: StopOrder) -> None:
        """Stop a run."""
        (await self._reach(worker)).stop(order)

    async def _start_late(
        self, worker: Registration, order: StartOrder, late_by: timedelta
    ) -> None:
        await trio.sleep(late_by.total_seconds())
        try:
            self.workers_by_address[worker.address].start(order)
        except MimosapointError:
            return

    async def _reach(self, worker: Registration) -> MemoryRunWorker:
        await trio.sleep(DELAY_SECONDS)
        link = self.links_by_address[worker.address]
        if link.refused:
            raise WorkerRefused("connection refused")
        if link.cut:
            await trio.sleep(TIMEOUT_SECONDS)
            raise WorkerUnreachable("no answer")
        if link.replaced:
            raise WorkerReplaced("another life answers")
        return self.workers_by_address[worker.address]
