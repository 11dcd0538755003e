"""Commands that go to all workers of a gang concurrently."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import MimosapointError, StaleEpoch, WorkerRefused
from mimosapoint.model import (
    CollectRequest,
    JobRecord,
    ReserveRequest,
    StartRequest,
    StopMode,
    StopRequest,
    TaskOutput,
    TaskSpec,
    TaskState,
    WorkerReport,
    task_id,
)
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.worker_inventory import WorkerInventory
from mimosapoint.ports import Clock, Workers

__all__ = ["Gang", "GangCommands"]

TERMINAL_STATES = (TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED)
RETRY_DELAY = timedelta(milliseconds=200)


@attrs.frozen
class Gang:
    """Tasks of one attempt and their workers.

    :param tasks: id of each task, ordered by index.
    :param workers: worker of each task, ordered by index.
    """

    tasks: tuple[str, ...]
    workers: tuple[str, ...]

    @classmethod
    def of(cls, record: JobRecord) -> "Gang":
        """Return the gang of the record's placement."""
        placement = record.placement
        indexes = range(len(placement.workers))
        tasks = tuple(task_id(record.id, placement.attempt, index) for index in indexes)
        return cls(tasks, placement.workers)

    def tasks_by_worker(self) -> dict[str, tuple[str, ...]]:
        """Return the ids of the tasks on each worker."""
        by_worker: dict[str, list[str]] = {}
        for task, worker in zip(self.tasks, self.workers):
            by_worker.setdefault(worker, []).append(task)
        return {worker: tuple(tasks) for worker, tasks in by_worker.items()}


def task_specs(record: JobRecord, gang: Gang) -> dict[str, list[TaskSpec]]:
    """Return the specifications of the tasks to reserve, by worker."""
    request = record.request
    checkpoints = record.checkpoints or (None,) * request.gang
    by_worker: dict[str, list[TaskSpec]] = {}
    placed = zip(gang.tasks, gang.workers, checkpoints)
    for index, (task, worker, checkpoint) in enumerate(placed):
        spec = TaskSpec(
            id=task,
            workspace=request.workspace,
            service=request.service,
            shape=request.shape,
            index=index,
            gang=request.gang,
            payload=request.payload,
            checkpoint=(checkpoint.name or None) if checkpoint else None,
            progress=checkpoint.progress if checkpoint else 0.0,
            trace=record.trace,
        )
        by_worker.setdefault(worker, []).append(spec)
    return by_worker


class GangCommands:
    """Sends commands to all workers of a gang concurrently.

    :param epoch: epoch of the owner, sent as the fencing token; workers refuse an older one.
    """

    def __init__(
        self,
        workers: Workers,
        report_cache: ReportCache,
        inventory: WorkerInventory,
        clock: Clock,
        epoch: int,
    ):
        self._workers = workers
        self._report_cache = report_cache
        self._inventory = inventory
        self._clock = clock
        self._epoch = epoch

    def any_leaving(self, gang: Gang) -> bool:
        """Return whether a worker of the gang is leaving or no longer listed."""
        return any(self._inventory.is_leaving(worker) for worker in gang.workers)

    async def reserve(self, record: JobRecord, gang: Gang, ttl: timedelta) -> bool:
        """Reserve every task of the gang; return whether all workers confirmed.

        :param ttl: time after which an unused task reservation expires.
        """
        specs = task_specs(record, gang)

        async def call(worker: str, address: str) -> WorkerReport:
            request = ReserveRequest(self._epoch, tuple(specs[worker]), ttl.total_seconds())
            return await self._workers.reserve(address, request)

        return not await self._call_all(set(specs), call)

    async def start(self, gang: Gang) -> set[str]:
        """Start every task of the gang; return the workers that did not confirm."""
        tasks = gang.tasks_by_worker()

        async def call(worker: str, address: str) -> WorkerReport:
            return await self._workers.start(address, StartRequest(self._epoch, tasks[worker]))

        return await self._call_all(set(tasks), call)

    async def stop(self, gang: Gang, mode: StopMode) -> set[str]:
        """Send one stop to every worker that is not lost; return those that did not confirm."""
        tasks = gang.tasks_by_worker()

        async def call(worker: str, address: str) -> WorkerReport:
            request = StopRequest(self._epoch, tasks[worker], mode)
            return await self._workers.stop(address, request)

        reachable = {worker for worker in tasks if not self._report_cache.is_lost(worker)}
        return await self._call_all(reachable, call)

    async def stop_until_confirmed(self, gang: Gang, mode: StopMode, grace: timedelta) -> None:
        """Repeat the stop until no task of the gang runs or can still start.

        A worker that has confirmed the stop of a task it does not know refuses to start it later.

        :param grace: time for writing checkpoints; after it, tasks are stopped without one.
        """
        deadline = self._clock.now() + grace
        while True:
            grace_over = self._clock.now() >= deadline
            unconfirmed = await self.stop(gang, StopMode.DISCARD if grace_over else mode)
            if not unconfirmed and self.all_stopped(gang):
                return
            await self._clock.sleep(RETRY_DELAY)

    def all_stopped(self, gang: Gang) -> bool:
        """Return whether no task runs.

        Each has ended, is not listed by its worker, or was on a lost worker.
        """
        for task, worker in zip(gang.tasks, gang.workers):
            if self._report_cache.is_lost(worker):
                continue
            state = self._report_cache.task_state(worker, task)
            if state is not None and state not in TERMINAL_STATES:
                return False
        return True

    async def collect(self, gang: Gang) -> dict[str, TaskOutput]:
        """Return the outputs available on the workers, by task id."""
        tasks = gang.tasks_by_worker()
        outputs_by_task: dict[str, TaskOutput] = {}

        async def call(worker: str, address: str) -> None:
            request = CollectRequest(self._epoch, tasks[worker])
            for output in await self._workers.collect(address, request):
                outputs_by_task[output.id] = output

        await self._call_all(set(tasks), call)
        return outputs_by_task

    async def acknowledge(self, gang: Gang) -> None:
        """Let the workers drop the outputs.

        This is not retried: an unreachable worker keeps its outputs for a while.
        """
        tasks = gang.tasks_by_worker()

        async def call(worker: str, address: str) -> WorkerReport:
            request = CollectRequest(self._epoch, tasks[worker])
            return await self._workers.acknowledge(address, request)

        await self._call_all(
            {worker for worker in tasks if not self._report_cache.is_lost(worker)}, call
        )

    async def _call_all(
        self, workers: set[str], call: Callable[[str, str], Awaitable[WorkerReport | None]]
    ) -> set[str]:
        """Call every worker concurrently; return those that did not confirm.

        A worker that fails other than by a refusal is marked as unreachable.

        :raises StaleEpoch: a worker has seen a newer epoch.
        """
        failed: set[str] = set()

        async def call_one(worker: str) -> None:
            address = self._inventory.address(worker)
            if address is None:
                failed.add(worker)
                return
            try:
                report = await call(worker, address)
            except StaleEpoch:
                raise
            except MimosapointError as error:
                failed.add(worker)
                if not isinstance(error, WorkerRefused):
                    self._inventory.mark_unreachable(worker)
                return
            if report is not None:
                self._report_cache.update(worker, report)

        async with trio.open_nursery() as nursery:
            for worker in workers:
                nursery.start_soon(call_one, worker)
        return failed
