"""Baseline policy: arrival order and first fit."""

from mimosapoint.model import Adjacency, JobRecord
from mimosapoint.scheduling.registry import scheduling_policy
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.view import Assignment, Decision, WorkerView, ZoneView

__all__ = ["FifoFirstFit", "first_fit"]


def _topology_domains(job: JobRecord, workers: list[WorkerView]) -> list[list[WorkerView]]:
    """Split the workers into topology domains, each of which may hold the gang."""
    adjacency = job.request.adjacency
    if adjacency is Adjacency.AVAILABILITY_ZONE:
        return [workers]
    workers_by_domain: dict[str, list[WorkerView]] = {}
    for worker in workers:
        domain = worker.id if adjacency is Adjacency.WORKER else worker.rack
        workers_by_domain.setdefault(domain, []).append(worker)
    return list(workers_by_domain.values())


def _fill(job: JobRecord, domain: list[WorkerView]) -> tuple[str, ...] | None:
    """Return a worker for each task, or ``None`` when the gang does not fit into the domain."""
    chosen: list[str] = []
    for worker in domain:
        count = job.request.shape.fit_count(worker.free)
        chosen.extend([worker.id] * min(count, job.request.gang - len(chosen)))
        if len(chosen) == job.request.gang:
            return tuple(chosen)
    return None


def first_fit(job: JobRecord, workers: list[WorkerView]) -> tuple[str, ...] | None:
    """Return workers of the first domain in which the gang fits, or ``None``."""
    for domain in _topology_domains(job, workers):
        chosen = _fill(job, domain)
        if chosen is not None:
            return chosen
    return None


@scheduling_policy("fifo-first-fit")
class FifoFirstFit:
    """Places jobs in arrival order; a job that does not fit blocks all later ones."""

    def decide(self, view: ZoneView) -> Decision:
        """Return assignments from the head of the queue until a job does not fit."""
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
        """Return the running jobs in the order of the view."""
        return list(view.running_by_id)

    def job_ended(self, record: JobRecord) -> None:
        """Ignore the job, as this policy uses no history."""
