"""The attempts that run in one availability zone."""

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
    """Starts, resumes and stops attempts, one task for each.

    :param on_ended: called with each job whose attempt ended it.
    :param on_change: called when an attempt has given its room back.
    """

    def __init__(
        self,
        parts: ZoneOwnerDependencies,
        *,
        ledger: IndexedJobTable,
        commands: GangCommands,
        board: ReportCache,
        roster: WorkerInventory,
        permit: StartGate,
        pauses: PauseDetector,
        on_ended: Callable[[JobRecord], None],
        on_change: Callable[[], None],
    ):
        self._parts = parts
        self._ledger = ledger
        self._commands = commands
        self._board = board
        self._roster = roster
        self._permit = permit
        self._pauses = pauses
        self._on_ended = on_ended
        self._on_change = on_change
        self._attempts_by_job: dict[str, Attempt] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Go on with the gangs that an earlier owner placed, then run new ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for record in self._ledger.allocated().values():
                self._spawn(record, resumed=True)
            task_status.started()
            await trio.sleep_forever()

    def start(self, record: JobRecord) -> None:
        """Run the gang of a record that has just been placed."""
        self._ledger.put(record)
        self._spawn(record, resumed=False)

    def stop(self, job_id: str, reason: str, grace: timedelta) -> None:
        """Ask the attempt of a job to stop its gang."""
        attempt = self._attempts_by_job.get(job_id)
        if attempt is not None:
            attempt.stop(reason, grace)

    def _spawn(self, record: JobRecord, *, resumed: bool) -> None:
        self._roster.allocate(record)
        attempt = Attempt(
            record.id,
            ledger=self._ledger,
            commands=self._commands,
            board=self._board,
            permit=self._permit,
            clock=self._parts.clock,
            telemetry=self._parts.telemetry,
            settings=self._parts.settings,
            vm_list_current=self._pauses.vm_list_current,
            resumed=resumed,
        )
        self._attempts_by_job[record.id] = attempt
        for worker in set(record.placement.workers):
            if self._roster.address(worker) is None:
                self._nursery.start_soon(self._expire_unlisted_worker, worker)
        self._nursery.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: Attempt) -> None:
        job_id = attempt.record.id
        try:
            await attempt.run()
        finally:
            self._attempts_by_job.pop(job_id, None)
            self._roster.release(job_id)
        record = self._ledger.find(job_id)
        if record is not None and record.live:
            self._nursery.start_soon(attempt.acknowledge_tasks)
        elif record is not None:
            self._on_ended(record)
        self._on_change()

    async def _expire_unlisted_worker(self, worker: str) -> None:
        """Declare a worker lost that the list does not have, once its lease has lapsed."""
        settings = self._parts.settings
        await self._parts.clock.sleep(settings.lease_ttl + settings.call_timeout)
        if self._roster.address(worker) is None:
            self._board.mark_lost(worker)
