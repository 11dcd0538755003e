"""What the workers say about tasks."""

import trio

from mimosapoint.model import TaskReport, TaskState, WorkerReport

__all__ = ["ReportCache"]


class ReportCache:
    """Newest report of every worker, and the tasks in it.

    Reports may arrive out of order; an older revision of the same boot is dropped.
    """

    def __init__(self) -> None:
        self._reports_by_worker: dict[str, WorkerReport] = {}
        self._tasks_by_worker: dict[str, dict[str, TaskReport]] = {}
        self._lost: set[str] = set()
        self._changed_by_worker: dict[str, trio.Event] = {}

    def update(self, worker: str, report: WorkerReport) -> None:
        """Take in a report."""
        known = self._reports_by_worker.get(worker)
        same_boot = known is not None and known.boot == report.boot
        if same_boot and known.revision > report.revision:
            return
        changed = not same_boot or known.revision != report.revision
        self._reports_by_worker[worker] = report
        self._tasks_by_worker[worker] = {task.id: task for task in report.tasks}
        if changed or worker in self._lost:
            self._lost.discard(worker)
            self._notify(worker)

    def mark_lost(self, worker: str) -> None:
        """Note that the worker's lease has lapsed, so that it runs nothing."""
        self._lost.add(worker)
        self._reports_by_worker.pop(worker, None)
        self._tasks_by_worker.pop(worker, None)
        self._notify(worker)

    def _notify(self, worker: str) -> None:
        event = self._changed_by_worker.pop(worker, None)
        if event is not None:
            event.set()

    def is_lost(self, worker: str) -> bool:
        """Whether the worker has lost its lease since its last report."""
        return worker in self._lost

    def has_report_or_lost(self, worker: str) -> bool:
        """Whether the worker has reported or is lost."""
        return worker in self._lost or worker in self._reports_by_worker

    def incarnation(self, worker: str) -> str | None:
        """Return the boot id of the worker's last report, or ``None``."""
        report = self._reports_by_worker.get(worker)
        return report.boot if report else None

    def revision(self, worker: str) -> int:
        """Return the revision of the worker's last report, or -1."""
        report = self._reports_by_worker.get(worker)
        return report.revision if report else -1

    def task_report(self, worker: str, task: str) -> TaskReport | None:
        """Return what the worker last said of a task, or ``None`` when it does not know it."""
        return self._tasks_by_worker.get(worker, {}).get(task)

    def task_state(self, worker: str, task: str) -> TaskState | None:
        """Return the state of a task, or ``None`` when the worker does not know it."""
        report = self.task_report(worker, task)
        return report.state if report else None

    async def wait_any_change(self, workers: set[str]) -> None:
        """Wait until one of the workers has reported or is lost."""
        events = [self._event(worker) for worker in workers]
        if len(events) == 1:
            await events[0].wait()
            return
        async with trio.open_nursery() as nursery:
            for event in events:
                nursery.start_soon(_wait_one, event, nursery.cancel_scope)

    def _event(self, worker: str) -> trio.Event:
        return self._changed_by_worker.setdefault(worker, trio.Event())

    async def wait_known(self, workers: set[str]) -> None:
        """Wait until every one of the workers has reported or is lost."""
        for worker in workers:
            while not self.has_report_or_lost(worker):
                await self._event(worker).wait()


async def _wait_one(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
