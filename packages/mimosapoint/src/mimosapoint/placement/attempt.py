"""One attempt to run a gang, from its placement to its end."""

from collections.abc import Callable
from datetime import timedelta

import attrs
import trio

from mimosapoint.model import (
    Cancelled,
    Checkpoint,
    Failed,
    JobRecord,
    JobState,
    MayHaveRun,
    Outcome,
    StopMode,
    Succeeded,
    TaskOutput,
    TaskReport,
    TaskState,
)
from mimosapoint.placement.commands import Gang, GangCommands
from mimosapoint.placement.gang_start import GangStart
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.start_gate import StartGate
from mimosapoint.ports import Clock, Telemetry

__all__ = ["Attempt"]

RETRY_DELAY = timedelta(milliseconds=100)
CANCEL_GRACE = timedelta(0)


class Attempt:
    """Runs the gang of one placed job and records the result.

    The placement is durable before the first start is sent, except for urgent repeatable jobs
    while store writes fail. A repeated start names the same tasks on the same workers, even when
    it is sent by the next owner.

    :param job_id: id of a job that is placed, running or stopping.
    :param vm_list_current: returns whether the owner has run without a pause for long enough to
        know of leaving workers.
    :param resumed: whether an earlier owner may have sent starts.
    """

    def __init__(
        self,
        job_id: str,
        *,
        indexed_table: IndexedJobTable,
        commands: GangCommands,
        report_cache: ReportCache,
        start_gate: StartGate,
        clock: Clock,
        telemetry: Telemetry,
        settings: ZoneOwnerSettings,
        vm_list_current: Callable[[], bool],
        resumed: bool = False,
    ):
        self._job_id = job_id
        self._indexed_table = indexed_table
        self._commands = commands
        self._report_cache = report_cache
        self._clock = clock
        self._telemetry = telemetry
        self._settings = settings
        self._gang = Gang.of(self.record)
        self._stop_requested = trio.Event()
        self._grace = timedelta(0)
        self._gang_start = GangStart(
            job_id,
            self._gang,
            indexed_table=indexed_table,
            commands=commands,
            report_cache=report_cache,
            start_gate=start_gate,
            clock=clock,
            telemetry=telemetry,
            settings=settings,
            vm_list_current=vm_list_current,
            stop_requested=self._stop_requested,
            resumed=resumed,
        )

    @property
    def record(self) -> JobRecord:
        """The current record of the job."""
        return self._indexed_table.get(self._job_id)

    def stop(self, reason: str, grace: timedelta) -> None:
        """Request a stop; the reason ``cancel`` replaces any other.

        :param reason: ``cancel``, ``reclaim`` or ``zone-out``.
        :param grace: time for writing checkpoints.
        """
        record = self.record
        if not record.live:
            return
        if record.stop_reason is None or reason == "cancel":
            self._indexed_table.put(attrs.evolve(record, stop_reason=reason))
            self._grace = grace
        self._stop_requested.set()

    async def run(self) -> None:
        """Run the attempt to its end; the job is then ended or queued again."""
        await self._report_cache.wait_known(set(self._gang.workers))
        if self.record.stop_reason is not None:
            self._stop_requested.set()
        if self.record.state is JobState.PLACED and not await self._gang_start.run():
            await self._abort_start()
            return
        await self._supervise()

    async def _abort_start(self) -> None:
        """Stop a gang whose start failed, then requeue or end the job."""
        await self._commands.stop_until_confirmed(self._gang, StopMode.DISCARD, CANCEL_GRACE)
        started = self._gang_start.may_have_started()
        record = attrs.evolve(self.record, ever_started=self.record.ever_started or started)
        self._indexed_table.put(record)
        if record.cancel_requested:
            await self._end(Cancelled(started=record.ever_started))
        elif not started or record.request.repeatable:
            self._requeue(from_checkpoint=False)
        else:
            await self._end(MayHaveRun("partial-start", "the gang was not started as a whole"))

    async def _supervise(self) -> None:
        """Handle the end of the gang or a requested stop, whichever comes first."""
        while not self._finished_or_broken():
            if self._stop_requested.is_set():
                await self._stop_gang()
                return
            await self._wait_change()
        if self._all_tasks_in(TaskState.SUCCEEDED):
            await self._finish()
        else:
            await self._handle_task_failure()

    async def _wait_change(self) -> None:
        """Wait until a report changes, a worker is lost or a stop is requested."""

        async def wait_stop(scope: trio.CancelScope) -> None:
            await self._stop_requested.wait()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_stop, nursery.cancel_scope)
            await self._report_cache.wait_any_change(set(self._gang.workers))
            nursery.cancel_scope.cancel()

    def _states(self) -> list[TaskState | None]:
        """Return the state of each task; ``None`` for one that its worker does not list."""
        return [report.state if report else None for report in self._reports()]

    def _finished_or_broken(self) -> bool:
        """Return whether all tasks succeeded or one is neither running nor succeeded."""
        states = self._states()
        if any(state not in (TaskState.RUNNING, TaskState.SUCCEEDED) for state in states):
            return True
        return self._all_tasks_in(TaskState.SUCCEEDED)

    def _all_tasks_in(self, expected: TaskState) -> bool:
        return all(state is expected for state in self._states())

    async def _finish(self) -> None:
        """Collect the outputs of the tasks and end the job."""
        while True:
            outputs = await self._commands.collect(self._gang)
            if all(task in outputs for task in self._gang.tasks):
                parts = tuple(outputs[task].output for task in self._gang.tasks)
                await self._end(Succeeded(parts))
                return
            if not self._all_tasks_in(TaskState.SUCCEEDED):
                await self._handle_task_failure()
                return
            await self._clock.sleep(RETRY_DELAY)

    async def _handle_task_failure(self) -> None:
        """Stop the rest of a gang that lost or failed a task, then requeue or end the job."""
        failure = await self._failure()
        await self._commands.stop_until_confirmed(
            self._gang, StopMode.CHECKPOINT, timedelta(seconds=1)
        )
        record = self.record
        if record.cancel_requested:
            await self._end(Cancelled(started=True))
        elif self._all_resumable():
            self._requeue(from_checkpoint=True)
        elif failure is None and not record.request.repeatable:
            await self._end(MayHaveRun("worker-lost", "a worker of the gang was lost"))
        elif record.request.repeatable and record.failures + 1 < self._settings.max_failed_attempts:
            self._indexed_table.put(attrs.evolve(record, failures=record.failures + 1))
            self._requeue(from_checkpoint=False)
        elif failure is None:
            await self._end(Failed("worker-lost", "every attempt lost a worker"))
        else:
            await self._end(Failed("task-failed", failure.detail))

    async def _failure(self) -> TaskOutput | None:
        """Return the output of a failed task, or ``None`` if no task failed."""
        if TaskState.FAILED not in self._states():
            return None
        outputs = await self._commands.collect(self._gang)
        failed = [out for out in outputs.values() if out.state is TaskState.FAILED]
        return failed[0] if failed else TaskOutput("", TaskState.FAILED, None, "no detail")

    def _all_resumable(self) -> bool:
        """Return whether the gang may resume from the checkpoints of its tasks."""
        return all(report is not None and self._resumable(report) for report in self._reports())

    def _resumable(self, report: TaskReport) -> bool:
        """Return whether a task may start again, from its checkpoint if it was stopped.

        A task that succeeded may run again only if the job is repeatable.
        """
        if report.state is TaskState.SUCCEEDED:
            return self.record.request.repeatable
        return report.state is TaskState.STOPPED and bool(report.checkpoint)

    def _reports(self) -> list[TaskReport | None]:
        """Return the last report of each task; ``None`` for one that its worker does not list."""
        pairs = zip(self._gang.tasks, self._gang.workers)
        return [self._report_cache.task_report(worker, task) for task, worker in pairs]

    async def _stop_gang(self) -> None:
        """Stop the gang as requested, then requeue or end the job."""
        self._indexed_table.put(attrs.evolve(self.record, state=JobState.STOPPING))
        if self.record.stop_reason == "cancel":
            await self._commands.stop_until_confirmed(self._gang, StopMode.DISCARD, CANCEL_GRACE)
        else:
            await self._commands.stop_until_confirmed(self._gang, StopMode.CHECKPOINT, self._grace)
        record = self.record
        if self._all_tasks_in(TaskState.SUCCEEDED):
            await self._finish()
        elif record.cancel_requested:
            await self._end(Cancelled(started=True))
        elif self._all_resumable():
            self._requeue(from_checkpoint=True)
        elif record.request.repeatable:
            self._requeue(from_checkpoint=False)
        else:
            await self._end(MayHaveRun("no-checkpoint", "the stopped work cannot resume"))

    def _requeue(self, *, from_checkpoint: bool) -> None:
        """Return the job to the queue.

        :param from_checkpoint: whether the job resumes from the tasks' checkpoints.
        """
        record = attrs.evolve(self.record, state=JobState.QUEUED, stop_reason=None)
        if from_checkpoint:
            checkpoints = tuple(map(_checkpoint, self._reports()))
            record = attrs.evolve(
                record,
                progress=min(checkpoint.progress for checkpoint in checkpoints),
                checkpoints=checkpoints,
            )
        self._indexed_table.put(record)
        self._telemetry.event(
            "job-requeued", job=record.id, kept=from_checkpoint, progress=record.progress
        )

    async def acknowledge_tasks(self) -> None:
        """Let the workers drop the tasks once the record of the requeued job is durable."""
        await self._indexed_table.latest_change(self._job_id).wait_durable()
        await self._commands.acknowledge(self._gang)

    async def _end(self, outcome: Outcome) -> None:
        """Record the outcome; once it is durable, let the workers drop the tasks."""
        await self._indexed_table.end(self._job_id, outcome)
        await self._commands.acknowledge(self._gang)


def _checkpoint(report: TaskReport) -> Checkpoint:
    """Return the checkpoint of a task; a nameless one if the task has to start anew."""
    if report.checkpoint:
        return Checkpoint(report.checkpoint, report.progress)
    return Checkpoint("", 0.0)
