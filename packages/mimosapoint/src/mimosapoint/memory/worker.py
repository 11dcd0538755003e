"""Simulated worker."""

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
"""Time after the start of a task from which its usage is reported."""

MIN_RECHECK_INTERVAL = timedelta(milliseconds=1)
"""Shortest wait before the tasks are checked for a change again."""


class MemoryWorker:
    """Simulated worker that updates its state at each command.

    :param id: id of the worker.
    :param capacity: resources of the worker.
    :param clock: clock that decides when leases and reservations expire.
    :param faults: faults in force; none by default.
    :param usage_lag: time after the start of a task from which its usage is reported.
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
        """Events of the tasks, oldest first."""
        self._advance()
        return list(self._history)

    def lease(self, request: LeaseRequest) -> WorkerReport:
        """Acquire or renew the lease.

        A higher epoch than the present one removes the reservations of tasks that have not started.

        :raises StaleEpoch: a holder with a newer epoch has acquired the lease.
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
        """Reserve capacity for all of the tasks or for none.

        :raises WorkerRefused: no lease is in force, or a task does not fit, has an invalid shape or
            has been started or stopped before.
        """
        now = self._check_epoch(request.epoch)
        self._require_lease()
        self._tasks.reserve(request.tasks, now + timedelta(seconds=request.ttl))
        return self._report(now)

    def start(self, request: StartRequest) -> WorkerReport:
        """Start all of the reserved tasks or none.

        A task that has started before is not started again.

        :raises WorkerRefused: no lease is in force, or a task neither has a reservation nor has
            started before.
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
        """Stop tasks, release reservations and prevent unknown tasks from starting."""
        now = self._check_epoch(request.epoch)
        for task_id in request.tasks:
            self._stop(task_id, now, request.mode)
        self._advance()
        return self._report(now)

    def throttle(self, request: ThrottleRequest) -> WorkerReport:
        """Limit the share of resources that tasks get.

        :raises WorkerRefused: the share is not above 0 or exceeds 1.
        """
        now = self._check_epoch(request.epoch)
        if not 0 < request.share <= 1:
            raise WorkerRefused(f"share {request.share} is not above 0 or exceeds 1")
        for task in self._tasks.select(request.tasks):
            task.share = request.share
        return self._report(now)

    def collect(self, request: CollectRequest) -> tuple[TaskOutput, ...]:
        """Return the output of ended tasks, without tasks that are unknown or still run."""
        self._check_epoch(request.epoch)
        return tuple(task.result() for task in self._tasks.select(request.tasks) if task.ended)

    def acknowledge(self, request: CollectRequest) -> WorkerReport:
        """Drop ended tasks and their output."""
        now = self._check_epoch(request.epoch)
        for task in self._tasks.select(request.tasks):
            if task.ended:
                self._tasks.drop(task.spec.id)
        return self._report(now)

    async def wait_changed(self, epoch: int, seen: int, until: datetime) -> WorkerReport:
        """Wait until the report has another revision than the one seen, and return it.

        :param epoch: epoch of the caller.
        :param seen: revision of the caller's last report.
        :param until: time at which the report is returned even if unchanged.
        :raises StaleEpoch: a holder with a newer epoch has acquired the lease.
        """
        while True:
            now = self._check_epoch(epoch)
            report = self._report(now)
            if report.revision != seen or now >= until:
                return report
            wake_at = min([until, *self._next_change_times(now)])
            changed = self._changed
            with trio.move_on_after((wake_at - now).total_seconds()):
                await changed.wait()

    def _check_epoch(self, epoch: int) -> datetime:
        now = self._advance()
        if epoch < self.epoch:
            raise StaleEpoch(self.epoch)
        if epoch > self.epoch:
            raise WorkerRefused(f"epoch {epoch} has not acquired the lease")
        return now

    def _advance(self) -> datetime:
        """Advance every task to the present, remove expired reservations and return the time."""
        now = self.clock.now()
        self._tasks.drop_reservations(until=now)
        for task in self._tasks:
            if task.state is TaskState.RUNNING:
                self._advance_running(task, now)
        return now

    def _advance_running(self, task: Task, now: datetime) -> None:
        completes_at = task.completes_at()
        stops_at = self._stops_at(task)
        if completes_at <= min(now, stops_at):
            task.finish()
            self._record_end(task, completes_at)
        elif stops_at <= now:
            task.saves_checkpoint = task.saves_checkpoint or task.stop_at is None
            task.stop(stops_at)
            self._record_end(task, stops_at)
        else:
            task.advance_to(now)

    def _stops_at(self, task: Task) -> datetime:
        """Return the time at which a stop command or the expiry of the lease ends the task."""
        return min(task.stop_at or self._lease_until, self._lease_until)

    def _start(self, task: Task, now: datetime) -> None:
        task.start(now)
        self._add_event(task, now, TaskEventKind.STARTED)
        self._tasks.add_tombstone(task.spec.id, started=True)
        if self.faults.fail_tasks:
            task.fail("failed by a fault")
            self._record_end(task, now)

    def _stop(self, task_id: str, now: datetime, mode: StopMode) -> None:
        task = self._tasks.get(task_id)
        if task is None or task.state is TaskState.RESERVED:
            self._tasks.drop(task_id)
            self._tasks.add_tombstone(task_id, started=False)
        elif task.state is TaskState.RUNNING and mode is StopMode.DISCARD:
            task.stop_at = now
            task.saves_checkpoint = False
        elif task.state is TaskState.RUNNING and task.stop_at is None:
            task.stop_at = now + self._checkpoint_time
            task.saves_checkpoint = True

    def _require_lease(self) -> None:
        if self._lease_until is None or self._lease_until <= self.clock.now():
            raise WorkerRefused("no lease is in force")

    def _record_end(self, task: Task, at: datetime) -> None:
        self._add_event(task, at, TaskEventKind(task.state.value))

    def _add_event(self, task: Task, at: datetime, event: TaskEventKind) -> None:
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

    def _next_change_times(self, now: datetime) -> list[datetime]:
        """Return the times at which tasks will change state without a command."""
        times = []
        for task in self._tasks:
            if task.state is TaskState.RUNNING:
                times.append(min(task.completes_at(), self._stops_at(task)))
            elif task.state is TaskState.RESERVED:
                times.append(task.reserved_until)
        return [max(time, now + MIN_RECHECK_INTERVAL) for time in times]

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
