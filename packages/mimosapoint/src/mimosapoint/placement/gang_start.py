"""Start of a gang: reserve on every worker, commit, then start every task."""

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
    """Whether a job may start while the store takes no changes; it may then run twice."""
    return record.request.job_class is JobClass.URGENT and record.request.repeatable


class GangStart:
    """Starts the gang of a placed job, as a whole or not at all.

    :param job_id: id of a placed job.
    :param gang: its tasks.
    :param vm_list_current: tells whether the owner has run without a pause for long enough to know of
        leaving workers.
    :param stop_requested: set when the gang shall not start any more.
    :param resumed: whether an earlier owner may have sent starts.
    """

    def __init__(
        self,
        job_id: str,
        gang: Gang,
        *,
        ledger: IndexedJobTable,
        commands: GangCommands,
        board: ReportCache,
        permit: StartGate,
        clock: Clock,
        telemetry: Telemetry,
        settings: ZoneOwnerSettings,
        vm_list_current: Callable[[], bool],
        stop_requested: trio.Event,
        resumed: bool,
    ):
        self._job_id = job_id
        self._gang = gang
        self._ledger = ledger
        self._commands = commands
        self._board = board
        self._permit = permit
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._steady = vm_list_current
        self._stop_wanted = stop_requested
        self._start_sent = resumed

    @property
    def _record(self) -> JobRecord:
        return self._ledger.get(self._job_id)

    async def run(self) -> bool:
        """Reserve, commit and start; tell whether the whole gang was started."""
        placed = self._ledger.latest_change(self._job_id)
        if not self._workers_unrestarted():
            return False
        if self._start_sent and self._all_started():
            self._mark_running()
            return True
        reserved_at = self._clock.now()
        if not self._start_sent and not await self._reserve():
            return False
        await self._wait_placement_durable(placed)
        while not self._steady():
            await self._clock.sleep(VM_LIST_CHECK_INTERVAL)
        if not await self._permit.wait_open(self._settings.fresh_configuration_timeout):
            return False
        if self._clock.now() - reserved_at > self._settings.reservation_ttl / 3:
            await self._reserve()
        if not self._may_start():
            return False
        return await self._start()

    async def _wait_placement_durable(self, placed: Change) -> None:
        """Wait until the store has the placement, or need not have it.

        Urgent repeatable work goes on without it while the store takes no changes.
        """
        while not (
            placed.durable
            or (self._ledger.writes_failing and may_start_before_durable(self._record))
        ):
            with trio.move_on_after(DURABILITY_CHECK_SECONDS):
                await placed.wait_durable()

    def _may_start(self) -> bool:
        """Whether a start may be sent, asked after the reservation that it uses.

        A start that is held up after this is refused when the reservation has lapsed.
        """
        late = self._record.missed_start_by(self._clock.now()) and not self._start_sent
        leaving = self._commands.any_leaving(self._gang)
        barred = self._stop_wanted.is_set() or late or leaving
        return self._steady() and self._permit.is_open() and not barred

    def _workers_unrestarted(self) -> bool:
        """Whether every worker still has the boot that it was chosen in."""
        boots = self._record.placement.boots
        pairs = zip(self._gang.workers, boots)
        return all(self._board.incarnation(worker) == boot for worker, boot in pairs)

    def _all_started(self) -> bool:
        """Whether an earlier owner got every task started."""
        pairs = zip(self._gang.tasks, self._gang.workers)
        return all(self._board.task_state(worker, task) in STARTED_STATES for task, worker in pairs)

    async def _reserve(self) -> bool:
        ttl = self._settings.reservation_ttl
        return await self._commands.reserve(self._record, self._gang, ttl)

    async def _start(self) -> bool:
        """Start every task, completing a gang that started in part."""
        deadline = self._clock.now() + self._settings.start_timeout
        self._start_sent = True
        missing = await self._commands.start(self._gang)
        while missing and self._clock.now() < deadline and self._permit.is_open():
            await self._clock.sleep(RETRY_DELAY)
            await self._reserve()
            if not self._may_start():
                return False
            missing = await self._commands.start(self._gang)
        if missing:
            return False
        self._mark_running()
        return True

    def _mark_running(self) -> None:
        record = self._record
        now = self._clock.now()
        self._ledger.put(
            attrs.evolve(record, state=JobState.RUNNING, started_at=now, ever_started=True)
        )
        waited = (now - record.submitted_at).total_seconds()
        self._telemetry.observe("start_seconds", waited, job_class=record.request.job_class.value)
        self._telemetry.event(
            "job-started",
            job=record.id,
            attempt=record.placement.attempt,
            workers=",".join(sorted(set(self._gang.workers))),
            version=self._permit.version,
            trace=record.trace or "",
        )

    def may_have_started(self) -> bool:
        """Whether a task ran, or its worker can no longer tell."""
        if not self._start_sent:
            return False
        pairs = list(zip(self._gang.tasks, self._gang.workers))
        if any(self._board.is_lost(worker) for _, worker in pairs):
            return True
        if not self._workers_unrestarted():
            return True
        return any(self._board.task_report(worker, task) is not None for task, worker in pairs)
