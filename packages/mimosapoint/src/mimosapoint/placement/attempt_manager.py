"""Running attempts of one availability zone."""

from collections.abc import Callable
from datetime import timedelta

import trio

from mimosapoint.model import JobRecord
from mimosapoint.placement.attempt import Attempt
from mimosapoint.placement.commands import GangCommands
from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.pause_detector import PauseDetector
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.start_gate import StartGate
from mimosapoint.placement.worker_inventory import WorkerInventory

__all__ = ["AttemptManager"]


class AttemptManager:
    """Starts, resumes and stops attempts, one trio task for each.

    :param on_ended: called with each job whose attempt ended it.
    :param on_change: called when an attempt has released its resources.
    """

    def __init__(
        self,
        dependencies: ZoneOwnerDependencies,
        *,
        indexed_table: IndexedJobTable,
        commands: GangCommands,
        report_cache: ReportCache,
        inventory: WorkerInventory,
        start_gate: StartGate,
        pause_detector: PauseDetector,
        on_ended: Callable[[JobRecord], None],
        on_change: Callable[[], None],
    ):
        self._dependencies = dependencies
        self._indexed_table = indexed_table
        self._commands = commands
        self._report_cache = report_cache
        self._inventory = inventory
        self._start_gate = start_gate
        self._pause_detector = pause_detector
        self._on_ended = on_ended
        self._on_change = on_change
        self._attempts_by_job: dict[str, Attempt] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Resume the attempts of the previous owner, then run new ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for record in self._indexed_table.allocated().values():
                self._spawn(record, resumed=True)
            task_status.started()
            await trio.sleep_forever()

    def start(self, record: JobRecord) -> None:
        """Store the record of a placed job and start its attempt."""
        self._indexed_table.put(record)
        self._spawn(record, resumed=False)

    def stop(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Request the stop of a job's attempt; nothing happens if it has none."""
        attempt = self._attempts_by_job.get(job_id)
        if attempt is not None:
            attempt.stop(reason, grace)

    def _spawn(self, record: JobRecord, *, resumed: bool) -> None:
        self._inventory.allocate(record)
        attempt = Attempt(
            record.id,
            indexed_table=self._indexed_table,
            commands=self._commands,
            report_cache=self._report_cache,
            start_gate=self._start_gate,
            clock=self._dependencies.clock,
            telemetry=self._dependencies.telemetry,
            settings=self._dependencies.settings,
            vm_list_current=self._pause_detector.vm_list_current,
            resumed=resumed,
        )
        self._attempts_by_job[record.id] = attempt
        for worker in set(record.placement.workers):
            if self._inventory.address(worker) is None:
                self._nursery.start_soon(self._expire_unlisted_worker, worker)
        self._nursery.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        job_id = attempt.record.id
        try:
            await attempt.run()
        finally:
            self._attempts_by_job.pop(job_id, None)
            self._inventory.release(job_id)
        record = self._indexed_table.find(job_id)
        if record is not None and record.live:
            self._nursery.start_soon(attempt.acknowledge_tasks)
        elif record is not None:
            self._on_ended(record)
        self._on_change()

    async def _expire_unlisted_worker(self, worker: str) -> None:
        """Declare a worker lost once its lease has expired, unless the VM list has it by then."""
        settings = self._dependencies.settings
        await self._dependencies.clock.sleep(settings.lease_ttl + settings.call_timeout)
        if self._inventory.address(worker) is None:
            self._report_cache.mark_lost(worker)
