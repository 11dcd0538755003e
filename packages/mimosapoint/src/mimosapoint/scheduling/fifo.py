"""The baseline: arrival order, first worker that fits."""

from mimosapoint.model import Adjacency, JobRecord
from mimosapoint.scheduling.registry import scheduling_policy
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.view import Assignment, Decision, WorkerView, ZoneView

__all__ = ["FifoFirstFit", "first_fit"]


def _topology_domains(job: JobRecord, workers: list[WorkerView]) -> list[list[WorkerView]]:
    """Split the workers into the parts that may hold the gang."""
    adjacency = job.request.adjacency
    if adjacency is Adjacency.AVAILABILITY_ZONE:
        return [workers]
    by_part: dict[str, list[WorkerView]] = {}
    for worker in workers:
        part = worker.id if adjacency is Adjacency.WORKER else worker.rack
        by_part.setdefault(part, []).append(worker)
    return list(by_part.values())


def _fill(job: JobRecord, group: list[WorkerView]) -> tuple[str, ...] | None:
    """Return a worker for each task, or ``None`` when the group is too small."""
    chosen: list[str] = []
    for worker in group:
        room = job.request.shape.fit_count(worker.free)
        chosen.extend([worker.id] * min(room, job.request.gang - len(chosen)))
        if len(chosen) == job.request.gang:
            return tuple(chosen)
    return None


def first_fit(job: JobRecord, workers: list[WorkerView]) -> tuple[str, ...] | None:
    """Return workers for the gang, in the order of the list, or ``None``."""
    for group in _topology_domains(job, workers):
        chosen = _fill(job, group)
        if chosen is not None:
            return chosen
    return None


@scheduling_policy("fifo-first-fit")
class FifoFirstFit:
    """Places jobs in arrival order; a job that does not fit holds back those behind it."""

    def decide(self, view: ZoneView) -> Decision:
        """Place from the head of the queue until a job does not fit."""
        if not in_service(view):
            return Decision()
        workers = [w for _, w in sorted(view.workers_by_id.items()) if w.usable]
        free_by_id = {worker.id: worker.free for worker in workers}
        assignments = []
        for job in view.waiting:
            chosen = first_fit(job, workers)
            if chosen is None:
                break
            for worker in workers:
                for _ in range(chosen.count(worker.id)):
                    worker.free -= job.request.shape
            assignments.append(Assignment(job.id, chosen))
        for worker in workers:
            worker.free = free_by_id[worker.id]
        return Decision(tuple(assignments))

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order of their start."""
        return list(view.running_by_id)

    def ended(self, record: JobRecord) -> None:
        """Learn nothing."""
