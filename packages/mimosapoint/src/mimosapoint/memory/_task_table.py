"""Tasks of a worker and the checks of new reservations and starts."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import datetime

from mimosapoint.errors import WorkerRefused
from mimosapoint.memory._task import Task
from mimosapoint.model import Resources, TaskSpec, TaskState

__all__ = ["TOMBSTONE_LIMIT", "TaskTable"]

TOMBSTONE_LIMIT = 10_000
"""Number of ids of started or stopped tasks that a worker remembers."""

NO_RESOURCES = Resources(slots=0, cores=0, memory_gib=0, accelerators=0)


class TaskTable:
    """Tasks by id, and the ids (tombstones) that cannot be reserved again.

    :param capacity: resources of the worker.
    """

    def __init__(self, capacity: Resources):
        self._capacity = capacity
        self._tasks_by_id: dict[str, Task] = {}
        self._started_by_tombstone: OrderedDict[str, bool] = OrderedDict()

    def __iter__(self) -> Iterator[Task]:
        """Iterate over a snapshot of the tasks, in the order of their reservations."""
        return iter(tuple(self._tasks_by_id.values()))

    def get(self, task_id: str) -> Task | None:
        """Return a task, or ``None`` when it is unknown."""
        return self._tasks_by_id.get(task_id)

    def select(self, task_ids: Iterable[str]) -> list[Task]:
        """Return the known tasks among the ids."""
        return [self._tasks_by_id[key] for key in task_ids if key in self._tasks_by_id]

    def drop(self, task_id: str) -> None:
        """Remove a task; its tombstone, if any, stays."""
        self._tasks_by_id.pop(task_id, None)

    def drop_reservations(self, until: datetime | None = None) -> None:
        """Remove the reservations of tasks that have not started.

        :param until: remove only reservations that have expired by this time; ``None`` for all.
        """
        for task in self:
            expired = until is None or task.reserved_until <= until
            if task.state is TaskState.RESERVED and expired:
                self.drop(task.spec.id)

    def reserve(self, specs: Iterable[TaskSpec], until: datetime) -> None:
        """Reserve capacity for all of the tasks or for none.

        A known task is not checked again; its reservation only gets the new expiry.

        :param until: expiry of the reservations.
        :raises WorkerRefused: a task does not fit, has a tombstone or an invalid shape; no effect.
        """
        specs_by_id = {spec.id: spec for spec in specs}
        new = [spec for key, spec in specs_by_id.items() if key not in self._tasks_by_id]
        self._require_reservable(new)
        self._require_capacity(new)
        for spec in specs_by_id.values():
            task = self._tasks_by_id.setdefault(spec.id, Task(spec, until))
            task.reserved_until = until

    def add_tombstone(self, task_id: str, started: bool) -> None:
        """Prevent a task from being reserved again.

        :param started: whether the task has started; a repeated start then succeeds.
        """
        self._started_by_tombstone[task_id] = started or self._started_by_tombstone.get(
            task_id, False
        )
        self._started_by_tombstone.move_to_end(task_id)
        while len(self._started_by_tombstone) > TOMBSTONE_LIMIT:
            self._started_by_tombstone.popitem(last=False)

    def require_startable(self, task_ids: Iterable[str]) -> None:
        """Check that every task is reserved or has started before.

        :raises WorkerRefused: a task is neither.
        """
        for task_id in task_ids:
            if task_id not in self._tasks_by_id and not self._started_by_tombstone.get(
                task_id, False
            ):
                raise WorkerRefused(f"task {task_id} is not reserved")

    def _require_reservable(self, specs: Iterable[TaskSpec]) -> None:
        for spec in specs:
            if spec.id in self._started_by_tombstone:
                raise WorkerRefused(f"task {spec.id} has already been started or stopped")
            if not NO_RESOURCES.fits_in(spec.shape):
                raise WorkerRefused(f"task {spec.id} asks for a negative amount of resources")

    def _require_capacity(self, specs: Iterable[TaskSpec]) -> None:
        free = self._capacity
        for task in self:
            free = free if task.ended else free - task.spec.shape
        for spec in specs:
            if not spec.shape.fits_in(free):
                raise WorkerRefused(f"not enough free capacity for task {spec.id}")
            free = free - spec.shape
