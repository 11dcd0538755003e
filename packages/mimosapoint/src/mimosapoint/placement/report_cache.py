"""Cache of the latest report of each worker."""

import trio

from mimosapoint.model import TaskReport, TaskState, WorkerReport

__all__ = ["ReportCache"]


class ReportCache:
    """Latest report of each worker, with its tasks by id.

    Reports may arrive out of order; a lower revision from the same worker incarnation is dropped.
    """

    def __init__(self) -> None:
        self._reports_by_worker: dict[str, WorkerReport] = {}
        self._tasks_by_worker: dict[str, dict[str, TaskReport]] = {}
        self._lost: set[str] = set()
        self._changed_by_worker: dict[str, trio.Event] = {}

    def update(self, worker: str, report: WorkerReport) -> None:
        """Store a report unless a newer one of the same incarnation is known."""
        previous = self._reports_by_worker.get(worker)
        same_incarnation = previous is not None and previous.boot == report.boot
        if same_incarnation and previous.revision > report.revision:
            return
        changed = not same_incarnation or previous.revision != report.revision
        self._reports_by_worker[worker] = report
        self._tasks_by_worker[worker] = {task.id: task for task in report.tasks}
        if changed or worker in self._lost:
            self._lost.discard(worker)
            self._notify(worker)

    def mark_lost(self, worker: str) -> None:
        """Mark a worker as lost: its lease has expired, so it has stopped all tasks."""
        self._lost.add(worker)
        self._reports_by_worker.pop(worker, None)
        self._tasks_by_worker.pop(worker, None)
        self._notify(worker)

    def _notify(self, worker: str) -> None:
        event = self._changed_by_worker.pop(worker, None)
        if event is not None:
            event.set()

    def is_lost(self, worker: str) -> bool:
        """Return whether the worker has been declared lost and has not reported since."""
        return worker in self._lost

    def has_report_or_lost(self, worker: str) -> bool:
        """Return whether the worker has reported or is lost."""
        return worker in self._lost or worker in self._reports_by_worker

    def incarnation(self, worker: str) -> str | None:
        """Return the incarnation (``boot``) in the worker's last report, or ``None``."""
        report = self._reports_by_worker.get(worker)
        return report.boot if report else None

    def revision(self, worker: str) -> int:
        """Return the revision of the worker's last report, or -1 if there is none."""
        report = self._reports_by_worker.get(worker)
        return report.revision if report else -1

    def task_report(self, worker: str, task: str) -> TaskReport | None:
        """Return the task in the worker's last report, or ``None`` if it is not listed."""
        return self._tasks_by_worker.get(worker, {}).get(task)

    def task_state(self, worker: str, task: str) -> TaskState | None:
        """Return the state of the task in the last report, or ``None`` if it is not listed."""
        report = self.task_report(worker, task)
        return report.state if report else None

    async def wait_any_change(self, workers: set[str]) -> None:
        """Wait until the report of one of the workers changes or a worker is lost."""
        events = [self._change_event(worker) for worker in workers]
        if len(events) == 1:
            await events[0].wait()
            return
        async with trio.open_nursery() as nursery:
            for event in events:
                nursery.start_soon(_cancel_when_set, event, nursery.cancel_scope)

    def _change_event(self, worker: str) -> trio.Event:
        return self._changed_by_worker.setdefault(worker, trio.Event())

    async def wait_known(self, workers: set[str]) -> None:
        """Wait until each of the workers has reported or is lost."""
        for worker in workers:
            while not self.has_report_or_lost(worker):
                await self._change_event(worker).wait()


async def _cancel_when_set(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
