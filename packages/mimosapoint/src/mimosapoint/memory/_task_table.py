"""Tasks that a worker knows, and what it may still accept."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import datetime

from mimosapoint.errors import WorkerRefused
from mimosapoint.memory._task import Task
from mimosapoint.model import Resources, TaskSpec, TaskState

__all__ = ["TOMBSTONE_LIMIT", "TaskTable"]

TOMBSTONE_LIMIT = 10_000
"""Number of ids of started and barred tasks that a worker remembers."""

NO_RESOURCES = Resources(slots=0, cores=0, memory_gib=0, accelerators=0)


class TaskTable:
    """Tasks by id, and the ids that may not run any more.

    :param capacity: resources of the worker.
    """

    def __init__(self, capacity: Resources):
        self._capacity = capacity
        self._tasks_by_id: dict[str, Task] = {}
        self._started_by_tombstone: OrderedDict[str, bool] = OrderedDict()

    def __iter__(self) -> Iterator[Task]:
        """Iterate over the tasks as they are now, in the order of their reservations."""
        return iter(tuple(self._tasks_by_id.values()))

    def get(self, task_id: str) -> Task | None:
        """Return a task, or ``None`` when it is unknown."""
        return self._tasks_by_id.get(task_id)

    def select(self, task_ids: Iterable[str]) -> list[Task]:
        """Return the known tasks among the ids."""
        return [self._tasks_by_id[key] for key in task_ids if key in self._tasks_by_id]

    def drop(self, task_id: str) -> None:
        """Forget a task; its id may still be remembered."""
        self._tasks_by_id.pop(task_id, None)

    def drop_reservations(self, until: datetime | None = None) -> None:
        """Forget unused reservations.

        :param until: forget those only that have lapsed by then.
        """
        for task in self:
            lapsed = until is None or task.reserved_until <= until
            if task.state is TaskState.RESERVED and lapsed:
                self.drop(task.spec.id)

    def reserve(self, specs: Iterable[TaskSpec], until: datetime) -> None:
        """Reserve room for all of the tasks; a known task is confirmed.

        :raises WorkerRefused: no room, or a task that may not run any more; nothing was reserved.
        """
        specs_by_id = {spec.id: spec for spec in specs}
        new = [spec for key, spec in specs_by_id.items() if key not in self._tasks_by_id]
        self._require_allowed(new)
        self._require_room(new)
        for spec in specs_by_id.values():
            task = self._tasks_by_id.setdefault(spec.id, Task(spec, until))
            task.reserved_until = until

    def add_tombstone(self, task_id: str, ran: bool) -> None:
        """Let a task never be reserved again.

        :param ran: whether it has started; a repeated start is then confirmed.
        """
        self._started_by_tombstone[task_id] = ran or self._started_by_tombstone.get(task_id, False)
        self._started_by_tombstone.move_to_end(task_id)
        while len(self._started_by_tombstone) > TOMBSTONE_LIMIT:
            self._started_by_tombstone.popitem(last=False)

    def require_startable(self, task_ids: Iterable[str]) -> None:
        """Check that every task is reserved or has started before.

        :raises WorkerRefused: one is not.
        """
        for task_id in task_ids:
            if task_id not in self._tasks_by_id and not self._started_by_tombstone.get(
                task_id, False
            ):
                raise WorkerRefused(f"{task_id} is not reserved")

    def _require_allowed(self, specs: Iterable[TaskSpec]) -> None:
        for spec in specs:
            if spec.id in self._started_by_tombstone:
                raise WorkerRefused(f"{spec.id} has started before or is barred")
            if not NO_RESOURCES.fits_in(spec.shape):
                raise WorkerRefused(f"{spec.id} has a negative shape")

    def _require_room(self, specs: Iterable[TaskSpec]) -> None:
        free = self._capacity
        for task in self:
            free = free if task.ended else free - task.spec.shape
        for spec in specs:
            if not spec.shape.fits_in(free):
                raise WorkerRefused(f"no room for {spec.id}")
            free = free - spec.shape
