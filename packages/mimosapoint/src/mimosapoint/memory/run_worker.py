"""Simulated worker of a cell that runs tasks under a lease."""

from datetime import timedelta

import attrs
import trio

from mimosapoint.errors import StaleEpoch
from mimosapoint.ports import (
    Clock,
    EndedRun,
    RenewLeaseOrder,
    RunStatus,
    StartOrder,
    StartRefused,
    StopOrder,
    WorkerRegistration,
    WorkerRunReport,
)
from mimosapoint.workload import ResourceAmounts, RunEnd, Step, TaskId

__all__ = ["MemoryRunWorker", "RunRecord", "RunSimulation"]

STOP_DURATION = timedelta(milliseconds=200)
"""Time that a stop takes, as on the first site."""

MAX_LEASE = timedelta(seconds=10)
"""Longest lease that a worker grants, as on the first site."""

PROGRESS_STEP_SECONDS = 0.25
"""Interval at which the progress of a task advances, in seconds."""

GANG_FORMATION_TIMEOUT = timedelta(seconds=3)
"""Longest time that a task of a gang waits for the others."""

CRASH_DELAY = timedelta(milliseconds=10)
"""Time from the start of a task that crashes its worker to the crash."""

CRASH_DOWNTIME = timedelta(seconds=2)
"""Time from a crash until the next incarnation replies."""

SHRINK_GRACE_SECONDS = 4.0
"""Time after which a smaller capacity binds: the users' contact time and one heartbeat."""

MILLISECOND = timedelta(milliseconds=1)


@attrs.define(eq=False)
class RunRecord:
    """Record of a run on a simulated worker.

    :param task: the task.
    :param run: number of the run.
    :param worker: id of the worker.
    :param step: step of the task.
    :param started_at: time of the start on the trio clock, in seconds.
    :param ended_at: time of the end on the trio clock, in seconds; ``None`` before.
    :param end: how it ended; ``None`` before.
    :param checkpoint: checkpoint that it resumed from; empty for none.
    :param percent: progress in percent.
    :param end_unreported: whether the worker restarted, or its lease expired, before the end was
        acknowledged; the task may then start again.
    :param crashed_worker: whether it crashed its worker.
    :param scope: cancels the run.
    """

    task: TaskId
    run: int
    worker: str
    step: Step
    started_at: float
    ended_at: float | None = None
    end: RunEnd | None = None
    checkpoint: str = ""
    percent: int = 0
    end_unreported: bool = False
    crashed_worker: bool = False
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope, repr=False)


@attrs.define
class RunSimulation:
    """State and faults shared by the simulated workers.

    :param clock: clock of the workers.
    :param nursery: nursery of the runs.
    :param run_time: duration of every task, unless estimates are followed.
    :param follows_estimates: whether a task takes as long as its step estimates.
    :param run_times_by_job: the same for the tasks of some jobs.
    :param stop_time: time that a stop takes.
    :param max_lease: longest lease that a worker grants.
    :param failing_workers: ids of workers on which every run fails at once.
    :param failing_jobs: ids of jobs whose every run fails at once.
    :param crashing_tasks: tasks that crash each worker that starts them.
    :param crash_delay: time from the start of such a task to the crash.
    :param hanging_workers: ids of workers on which runs make no progress.
    :param history: records of all runs, in the order of their starts.
    :param workers_by_id: all simulated workers.
    :param over_capacity_workers: ids of workers whose runs exceeded the capacity, once for each
        such start.
    """

    clock: Clock
    nursery: trio.Nursery
    run_time: timedelta = timedelta(seconds=2)
    run_times_by_job: dict[str, timedelta] = attrs.field(factory=dict)
    stop_time: timedelta = STOP_DURATION
    max_lease: timedelta = MAX_LEASE
    failing_workers: set[str] = attrs.field(factory=set)
    failing_jobs: set[str] = attrs.field(factory=set)
    crashing_tasks: set[TaskId] = attrs.field(factory=set)
    crash_delay: timedelta = CRASH_DELAY
    hanging_workers: set[str] = attrs.field(factory=set)
    follows_estimates: bool = False
    history: list[RunRecord] = attrs.field(factory=list)
    over_capacity_workers: list[str] = attrs.field(factory=list)
    workers_by_id: dict[str, "MemoryRunWorker"] = attrs.field(factory=dict)
    _members_by_gang: dict[tuple, list[RunRecord]] = attrs.field(factory=dict)
    _complete_by_gang: dict[tuple, trio.Event] = attrs.field(factory=dict)

    def join_gang(self, record: RunRecord) -> trio.Event:
        """Add a run to its gang and return the event that the gang is complete."""
        key = (record.task.job, record.task.occurrence, record.task.step, record.run)
        members = self._members_by_gang.setdefault(key, [])
        members.append(record)
        event = self._complete_by_gang.setdefault(key, trio.Event())
        if len({member.task for member in members}) == record.step.count:
            event.set()
        return event

    def other_gang_members(self, record: RunRecord) -> list[RunRecord]:
        """Return the records of the other tasks in the same run of a gang."""
        key = (record.task.job, record.task.occurrence, record.task.step, record.run)
        return [member for member in self._members_by_gang.get(key, ()) if member is not record]


class MemoryRunWorker:
    """Simulated worker of a cell.

    :param registration: registration that it publishes.
    :param simulation: state shared with the other workers.
    """

    def __init__(self, registration: WorkerRegistration, simulation: RunSimulation):
        self.registration = registration
        self.simulation = simulation
        self.is_down = False
        self._former_capacities: list[tuple[float, ResourceAmounts]] = []
        simulation.workers_by_id[registration.id] = self
        self.restart(registration.born)

    def restart(self, born: int) -> None:
        """Start a new incarnation without the state of the previous one.

        The runs of the previous incarnation end as lost and are not reported.

        :param born: start of the incarnation, in milliseconds of the worker's wall clock.
        """
        for record in list(getattr(self, "running", {}).values()):
            self._end_run(record, RunEnd.LOST, reported=False)
        for ended in getattr(self, "ended", []):
            self._mark_end_unreported(ended)
        self.born = born
        self.running: dict[tuple[TaskId, int], RunRecord] = {}
        self.ended: list[EndedRun] = []
        self.token = 0
        self.lease_until_ms = 0
        self.acknowledged = 0
        self._last_end_number = 0
        self._last_rejected_run_by_task: dict[TaskId, int] = {}
        self._started_at = self.simulation.clock.now()
        self._run_ended = trio.Event()

    async def crash(self, downtime: timedelta = CRASH_DOWNTIME) -> None:
        """End all runs, and reply again as a new incarnation after a time."""
        self.is_down = True
        self.restart(self.born + 1)
        await trio.sleep(downtime.total_seconds())
        self.is_down = False

    def resize(self, capacity: ResourceAmounts) -> None:
        """Change the capacity; its registration has to be published again."""
        self._former_capacities.append((trio.current_time(), self.registration.capacity))
        self.registration = attrs.evolve(self.registration, capacity=capacity)

    @property
    def clock_ms(self) -> int:
        """Time since the start of the incarnation, in milliseconds."""
        return int((self.simulation.clock.now() - self._started_at) / MILLISECOND)

    async def renew_lease(self, order: RenewLeaseOrder) -> WorkerRunReport:
        """Renew the lease, drop acknowledged ends and return the run report."""
        self._check_token(order.token)
        if order.lease_until_ms is not None:
            self._extend_lease(order.lease_until_ms)
        self.acknowledged = max(self.acknowledged, order.acknowledged)
        self.ended = [ended for ended in self.ended if ended.number > order.acknowledged]
        if order.wait and not self.ended:
            with trio.move_on_after(order.wait.total_seconds()):
                await self._run_ended.wait()
        return self.report()

    def report(self) -> WorkerRunReport:
        """Return the run report."""
        running = tuple(
            RunStatus(record.task, record.run, record.checkpoint, record.percent)
            for record in self.running.values()
        )
        return WorkerRunReport(self.clock_ms, self.born, running, tuple(self.ended))

    def start(self, order: StartOrder) -> int:
        """Start a run, unless it is running already, and return the worker's clock in milliseconds.

        :raises StartRefused: the order came too late, or a run with its number or a later one has
            ended or been stopped.
        """
        self._check_token(order.token)
        key = (order.task, order.run)
        if key in self.running:
            return self.clock_ms
        if self.clock_ms > order.not_after_ms:
            raise StartRefused("late")
        if order.run <= self._last_rejected_run_by_task.get(order.task, 0):
            raise StartRefused("old")
        self._extend_lease(order.not_after_ms)
        step = order.job.steps[order.task.step]
        began = trio.current_time()
        record = RunRecord(
            order.task, order.run, self.registration.id, step, began, checkpoint=order.checkpoint
        )
        self.running[key] = record
        self.simulation.history.append(record)
        self._check_capacity()
        self.simulation.nursery.start_soon(self._run, record)
        return self.clock_ms

    def stop(self, order: StopOrder) -> None:
        """Stop a run after the stop time and reject new starts of the task up to its number."""
        self._check_token(order.token)
        self._last_rejected_run_by_task[order.task] = max(
            self._last_rejected_run_by_task.get(order.task, 0), order.run
        )
        record = self.running.get((order.task, order.run))
        if record is not None:
            self.simulation.nursery.start_soon(self._stop_after_delay, record)

    async def run_lease_expiry(self) -> None:
        """End all runs whenever the lease has expired, until cancelled."""
        while True:
            await trio.sleep(0.05)
            if self.clock_ms > self.lease_until_ms:
                for ended in self.ended:
                    self._mark_end_unreported(ended)
                for record in list(self.running.values()):
                    self._end_run(record, RunEnd.LAPSED)

    async def _stop_after_delay(self, record: RunRecord) -> None:
        await trio.sleep(self.simulation.stop_time.total_seconds())
        self._end_run(record, RunEnd.STOPPED)

    async def _run(self, record: RunRecord) -> None:
        with record.scope:
            if record.task in self.simulation.crashing_tasks:
                await trio.sleep(self.simulation.crash_delay.total_seconds())
                record.crashed_worker = True
                self.simulation.nursery.start_soon(self.crash)
                return
            if record.step.gang:
                complete = self.simulation.join_gang(record)
                with trio.move_on_after(GANG_FORMATION_TIMEOUT.total_seconds()):
                    await complete.wait()
                if not complete.is_set():
                    self._end_run(record, RunEnd.ALONE)
                    return
            failing = self.registration.id in self.simulation.failing_workers
            if failing or record.task.job in self.simulation.failing_jobs:
                self._end_run(record, RunEnd.FAILED)
                return
            await self._simulate_progress(record)
            self._end_run(record, RunEnd.DONE)

    async def _simulate_progress(self, record: RunRecord) -> None:
        follows_estimate = self.simulation.follows_estimates
        run_time = record.step.estimate if follows_estimate else self.simulation.run_time
        run_time = self.simulation.run_times_by_job.get(record.task.job, run_time)
        total = remaining = run_time.total_seconds()
        while remaining > 0:
            step = min(remaining, PROGRESS_STEP_SECONDS)
            await trio.sleep(step)
            if self.registration.id not in self.simulation.hanging_workers:
                remaining -= step
                record.percent = int(100 * (1 - remaining / total))

    def _end_run(self, record: RunRecord, end: RunEnd, reported: bool = True) -> None:
        if record.ended_at is not None:
            return
        record.ended_at = trio.current_time()
        record.end = end
        record.scope.cancel()
        self.running.pop((record.task, record.run), None)
        self._last_rejected_run_by_task[record.task] = max(
            self._last_rejected_run_by_task.get(record.task, 0), record.run
        )
        if reported:
            self._last_end_number += 1
            # A broken run has the value of its last interval, a stopped one a newer value.
            value = "interval" if end is RunEnd.BROKEN else "saved"
            checkpoint = f"{value}-{record.run}" if record.step.checkpoints else ""
            self.ended.append(
                EndedRun(self._last_end_number, record.task, record.run, end, checkpoint)
            )
        self._run_ended.set()
        self._run_ended = trio.Event()
        if record.step.gang and end not in (RunEnd.DONE, RunEnd.BROKEN):
            self._break_gang(record)

    def _break_gang(self, record: RunRecord) -> None:
        """End the other runs of a gang one of which has ended."""
        for member in self.simulation.other_gang_members(record):
            self.simulation.workers_by_id[member.worker]._end_run(member, RunEnd.BROKEN)

    def _mark_end_unreported(self, ended: EndedRun) -> None:
        """Mark the record of a run whose end was not acknowledged in time."""
        for record in self.simulation.history:
            matches = record.task == ended.task and record.run == ended.run
            if matches and record.worker == self.registration.id:
                record.end_unreported = True

    def _check_capacity(self) -> None:
        used = ResourceAmounts()
        for record in self.running.values():
            used += record.step.amounts
        since = trio.current_time() - SHRINK_GRACE_SECONDS
        former = [capacity for at, capacity in self._former_capacities if at > since]
        if not any(used.fit_count(each) for each in (self.registration.capacity, *former)):
            self.simulation.over_capacity_workers.append(self.registration.id)

    def _extend_lease(self, until_ms: int) -> None:
        latest_ms = self.clock_ms + int(self.simulation.max_lease / MILLISECOND)
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, latest_ms))

    def _check_token(self, token: int) -> None:
        if token < self.token:
            raise StaleEpoch(self.token)
        self.token = token
