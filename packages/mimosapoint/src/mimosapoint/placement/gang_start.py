"""Start of a gang: reserve all tasks, wait for the durable placement, then start all tasks."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.jobs import Change
from mimosapoint.model import JobClass, JobRecord, JobState, TaskState
from mimosapoint.placement.commands import Gang, GangCommands
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.start_gate import StartGate
from mimosapoint.ports import Clock, Telemetry

__all__ = ["GangStart", "may_start_before_durable"]

RETRY_DELAY = timedelta(milliseconds=100)
VM_LIST_CHECK_INTERVAL = timedelta(milliseconds=50)
DURABILITY_CHECK_SECONDS = 0.1
STARTED_STATES = (TaskState.RUNNING, TaskState.SUCCEEDED)


def may_start_before_durable(record: JobRecord) -> bool:
    """Return whether a job may start while store writes fail; it may then run twice."""
    return record.request.job_class is JobClass.URGENT and record.request.repeatable


class GangStart:
    """Starts the gang of a placed job.

    If not all tasks were started, :meth:`run` returns ``False`` and the caller stops the gang.

    :param job_id: id of a placed job.
    :param gang: tasks of the job's current attempt.
    :param vm_list_current: returns whether the owner has run without a pause for long enough to
        know of leaving workers.
    :param stop_requested: set when the gang must no longer be started.
    :param resumed: whether an earlier owner may have sent starts.
    """

    def __init__(
        self,
        job_id: str,
        gang: Gang,
        *,
        indexed_table: IndexedJobTable,
        commands: GangCommands,
        report_cache: ReportCache,
        start_gate: StartGate,
        clock: Clock,
        telemetry: Telemetry,
        settings: ZoneOwnerSettings,
        vm_list_current: Callable[[], bool],
        stop_requested: trio.Event,
        resumed: bool,
    ):
        self._job_id = job_id
        self._gang = gang
        self._indexed_table = indexed_table
        self._commands = commands
        self._report_cache = report_cache
        self._start_gate = start_gate
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._vm_list_current = vm_list_current
        self._stop_requested = stop_requested
        self._start_sent = resumed

    @property
    def _record(self) -> JobRecord:
        return self._indexed_table.get(self._job_id)

    async def run(self) -> bool:
        """Reserve and start the tasks; return whether all of them started.

        Between the two, this waits for a durable placement, a current VM list and an open gate.
        """
        placement_change = self._indexed_table.latest_change(self._job_id)
        if not self._workers_unrestarted():
            return False
        if self._start_sent and self._all_started():
            self._mark_running()
            return True
        reserved_at = self._clock.now()
        if not self._start_sent and not await self._reserve():
            return False
        await self._wait_placement_durable(placement_change)
        while not self._vm_list_current():
            await self._clock.sleep(VM_LIST_CHECK_INTERVAL)
        if not await self._start_gate.wait_open(self._settings.fresh_configuration_timeout):
            return False
        if self._clock.now() - reserved_at > self._settings.reservation_ttl / 3:
            await self._reserve()
        if not self._may_start():
            return False
        return await self._start()

    async def _wait_placement_durable(self, placement_change: Change) -> None:
        """Wait until the placement is durable.

        Urgent repeatable jobs do not wait while store writes fail.
        """
        while not (
            placement_change.durable
            or (self._indexed_table.writes_failing and may_start_before_durable(self._record))
        ):
            with trio.move_on_after(DURABILITY_CHECK_SECONDS):
                await placement_change.wait_durable()

    def _may_start(self) -> bool:
        """Return whether a start may be sent; evaluated after the task reservation that it uses.

        If the start is delayed after this check, the worker refuses it once the reservation has
        expired.
        """
        past_start_deadline = (
            self._record.missed_start_by(self._clock.now()) and not self._start_sent
        )
        leaving = self._commands.any_leaving(self._gang)
        blocked = self._stop_requested.is_set() or past_start_deadline or leaving
        return self._vm_list_current() and self._start_gate.is_open() and not blocked

    def _workers_unrestarted(self) -> bool:
        """Return whether every worker still is in the incarnation recorded in the placement."""
        boots = self._record.placement.boots
        pairs = zip(self._gang.workers, boots)
        return all(self._report_cache.incarnation(worker) == boot for worker, boot in pairs)

    def _all_started(self) -> bool:
        """Return whether every task runs or succeeded, because an earlier owner started it."""
        pairs = zip(self._gang.tasks, self._gang.workers)
        return all(
            self._report_cache.task_state(worker, task) in STARTED_STATES for task, worker in pairs
        )

    async def _reserve(self) -> bool:
        ttl = self._settings.reservation_ttl
        return await self._commands.reserve(self._record, self._gang, ttl)

    async def _start(self) -> bool:
        """Start every task; retry partial starts until ``start_timeout``."""
        deadline = self._clock.now() + self._settings.start_timeout
        self._start_sent = True
        unconfirmed = await self._commands.start(self._gang)
        while unconfirmed and self._clock.now() < deadline and self._start_gate.is_open():
            await self._clock.sleep(RETRY_DELAY)
            await self._reserve()
            if not self._may_start():
                return False
            unconfirmed = await self._commands.start(self._gang)
        if unconfirmed:
            return False
        self._mark_running()
        return True

    def _mark_running(self) -> None:
        record = self._record
        now = self._clock.now()
        self._indexed_table.put(
            attrs.evolve(record, state=JobState.RUNNING, started_at=now, ever_started=True)
        )
        waited = (now - record.submitted_at).total_seconds()
        self._telemetry.observe("start_seconds", waited, job_class=record.request.job_class.value)
        self._telemetry.event(
            "job-started",
            job=record.id,
            attempt=record.placement.attempt,
            workers=",".join(sorted(set(self._gang.workers))),
            version=self._start_gate.version,
            trace=record.trace or "",
        )

    def may_have_started(self) -> bool:
        """Return whether a task may have started.

        This is so if a start was sent and a worker lists a task, or can no longer report its
        tasks because it is lost or has restarted.
        """
        if not self._start_sent:
            return False
        pairs = list(zip(self._gang.tasks, self._gang.workers))
        if any(self._report_cache.is_lost(worker) for _, worker in pairs):
            return True
        if not self._workers_unrestarted():
            return True
        return any(
            self._report_cache.task_report(worker, task) is not None for task, worker in pairs
        )
