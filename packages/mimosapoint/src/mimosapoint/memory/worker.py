"""Engine of one worker."""

from collections import deque
from datetime import datetime, timedelta

import trio

from mimosapoint.errors import StaleEpoch, WorkerRefused
from mimosapoint.memory._task import Task
from mimosapoint.memory._task_table import TaskTable
from mimosapoint.memory.faults import Faults
from mimosapoint.memory.history import HISTORY_LIMIT, TaskEvent, TaskEventKind
from mimosapoint.model import (
    CollectRequest,
    LeaseRequest,
    ReserveRequest,
    Resources,
    StartRequest,
    StopMode,
    StopRequest,
    TaskOutput,
    TaskState,
    ThrottleRequest,
    WorkerReport,
)
from mimosapoint.ports import Clock

__all__ = ["MemoryWorker"]

USAGE_LAG = timedelta(seconds=2)
"""Age of the usage that a worker reports."""

TICK = timedelta(milliseconds=1)
"""Least time between two looks at whether a task has changed."""


class MemoryWorker:
    """A worker that brings its state up to date at each command.

    :param id: id of the worker.
    :param capacity: resources of the worker.
    :param clock: the clock that leases and reservations lapse on.
    :param faults: faults in force; none by default.
    :param usage_lag: age of the usage in reports.
    :param checkpoint_time: time that a checkpoint takes.
    """

    def __init__(
        self,
        id: str,
        capacity: Resources,
        clock: Clock,
        faults: Faults | None = None,
        usage_lag: timedelta = USAGE_LAG,
        checkpoint_time: timedelta = timedelta(),
    ):
        self.id = id
        self.capacity = capacity
        self.clock = clock
        self.faults = faults or Faults()
        self.epoch = 0
        self._usage_lag = usage_lag
        self._checkpoint_time = checkpoint_time
        self._lease_until: datetime | None = None
        self._tasks = TaskTable(capacity)
        self._history: deque[TaskEvent] = deque(maxlen=HISTORY_LIMIT)
        self._boot = f"{id}/{clock.now().isoformat()}"
        self._revision = 0
        self._reported: tuple[tuple[str, TaskState], ...] = ()
        self._changed = trio.Event()

    @property
    def history(self) -> list[TaskEvent]:
        """Everything that happened to tasks, oldest first."""
        self._advance()
        return list(self._history)

    def lease(self, request: LeaseRequest) -> WorkerReport:
        """Take or renew the lease.

        :raises StaleEpoch: a newer holder has taken the worker.
        """
        now = self._advance()
        if request.epoch < self.epoch:
            raise StaleEpoch(self.epoch)
        lease_until = now + timedelta(seconds=request.ttl)
        if request.epoch > self.epoch:
            self._tasks.drop_reservations()
            self._notify_watchers()
        self.epoch = request.epoch
        self._lease_until = lease_until
        return self._report(now)

    def reserve(self, request: ReserveRequest) -> WorkerReport:
        """Reserve room for tasks, all of them or none.

        :raises WorkerRefused: no room, no lease, or a task that may not run any more.
        """
        now = self._check_epoch(request.epoch)
        self._require_lease()
        self._tasks.reserve(request.tasks, now + timedelta(seconds=request.ttl))
        return self._report(now)

    def start(self, request: StartRequest) -> WorkerReport:
        """Start reserved tasks, all of them or none.

        :raises WorkerRefused: a task has no live reservation.
        """
        now = self._check_epoch(request.epoch)
        self._require_lease()
        self._tasks.require_startable(request.tasks)
        for task in self._tasks.select(request.tasks):
            if task.state is TaskState.RESERVED:
                self._start(task, now)
        self._advance()
        return self._report(now)

    def stop(self, request: StopRequest) -> WorkerReport:
        """Stop tasks, release reservations and bar unknown tasks from starting."""
        now = self._check_epoch(request.epoch)
        for task_id in request.tasks:
            self._stop(task_id, now, request.mode)
        self._advance()
        return self._report(now)

    def throttle(self, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get.

        :raises WorkerRefused: the share is out of its range.
        """
        now = self._check_epoch(request.epoch)
        if not 0 < request.share <= 1:
            raise WorkerRefused(f"share {request.share} is not above 0 and up to 1")
        for task in self._tasks.select(request.tasks):
            task.share = request.share
        return self._report(now)

    def collect(self, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks."""
        self._check_epoch(request.epoch)
        return tuple(task.result() for task in self._tasks.select(request.tasks) if task.ended)

    def acknowledge(self, request: CollectRequest) -> WorkerReport:
        """Drop the output of ended tasks."""
        now = self._check_epoch(request.epoch)
        for task in self._tasks.select(request.tasks):
            if task.ended:
                self._tasks.drop(task.spec.id)
        return self._report(now)

    async def wait_changed(self, epoch: int, seen: int, until: datetime) -> WorkerReport:
        """Return a report as soon as it differs from the one that was seen.

        :param epoch: epoch of the holder that asks.
        :param seen: revision that the holder has.
        :param until: time at which the report is returned as it is.
        :raises StaleEpoch: a newer holder has taken the worker.
        """
        while True:
            now = self._check_epoch(epoch)
            report = self._report(now)
            if report.revision != seen or now >= until:
                return report
            wake_at = min([until, *self._changes_after(now)])
            changed = self._changed
            with trio.move_on_after((wake_at - now).total_seconds()):
                await changed.wait()

    def _check_epoch(self, epoch: int) -> datetime:
        now = self._advance()
        if epoch < self.epoch:
            raise StaleEpoch(self.epoch)
        if epoch > self.epoch:
            raise WorkerRefused(f"epoch {epoch} has not taken the lease")
        return now

    def _advance(self) -> datetime:
        """Bring every task up to the present."""
        now = self.clock.now()
        self._tasks.drop_reservations(until=now)
        for task in self._tasks:
            if task.state is TaskState.RUNNING:
                self._advance_running(task, now)
        return now

    def _advance_running(self, task: Task, now: datetime) -> None:
        ends_at = task.ends_at()
        stops_at = self._stops_at(task)
        if ends_at <= min(now, stops_at):
            task.finish()
            self._record(task, ends_at)
        elif stops_at <= now:
            task.keeps_progress = task.keeps_progress or task.stop_at is None
            task.stop(stops_at)
            self._record(task, stops_at)
        else:
            task.work_until(now)

    def _stops_at(self, task: Task) -> datetime:
        """Return when the task stops by command or by the end of the lease."""
        return min(task.stop_at or self._lease_until, self._lease_until)

    def _start(self, task: Task, now: datetime) -> None:
        task.start(now)
        self._append(task, now, TaskEventKind.STARTED)
        self._tasks.add_tombstone(task.spec.id, ran=True)
        if self.faults.fail_tasks:
            task.fail("failed by a fault")
            self._record(task, now)

    def _stop(self, task_id: str, now: datetime, mode: StopMode) -> None:
        task = self._tasks.get(task_id)
        if task is None or task.state is TaskState.RESERVED:
            self._tasks.drop(task_id)
            self._tasks.add_tombstone(task_id, ran=False)
        elif task.state is TaskState.RUNNING and mode is StopMode.DISCARD:
            task.stop_at = now
            task.keeps_progress = False
        elif task.state is TaskState.RUNNING and task.stop_at is None:
            task.stop_at = now + self._checkpoint_time
            task.keeps_progress = True

    def _require_lease(self) -> None:
        if self._lease_until is None or self._lease_until <= self.clock.now():
            raise WorkerRefused("the lease has lapsed")

    def _record(self, task: Task, at: datetime) -> None:
        self._append(task, at, TaskEventKind(task.state.value))

    def _append(self, task: Task, at: datetime, event: TaskEventKind) -> None:
        spec = task.spec
        self._history.append(
            TaskEvent(at, self.id, event, spec.id, self.epoch, spec.index, spec.trace)
        )

    def _report(self, now: datetime) -> WorkerReport:
        reports = tuple(t.report(now, self._usage_lag) for t in self._tasks)
        states = tuple((report.id, report.state) for report in reports)
        if states != self._reported:
            self._reported = states
            self._revision += 1
            self._notify_watchers()
        return WorkerReport(self.id, self.capacity, reports, self._boot, self._revision)

    def _changes_after(self, now: datetime) -> list[datetime]:
        """Return the times at which tasks will change by themselves."""
        times = []
        for task in self._tasks:
            if task.state is TaskState.RUNNING:
                times.append(min(task.ends_at(), self._stops_at(task)))
            elif task.state is TaskState.RESERVED:
                times.append(task.reserved_until)
        return [max(time, now + TICK) for time in times]

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
