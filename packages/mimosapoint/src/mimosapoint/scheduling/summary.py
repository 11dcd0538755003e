"""Summary of an availability zone for the owners of other zones."""

from collections import Counter

from mimosapoint.configuration import ZoneMode
from mimosapoint.model import Adjacency
from mimosapoint.scheduling.guarantee_allocations import instances_in_zone
from mimosapoint.scheduling.view import WorkerView, ZoneSummary, ZoneView

__all__ = ["in_service", "summarize"]


TASK_SIZES = (1, 2, 4, 8)
"""Accelerators per task for which a summary gives the number of tasks that fit."""


def in_service(view: ZoneView) -> bool:
    """Return whether tasks may start in the view's availability zone."""
    zone = view.configuration.zones_by_id.get(view.zone)
    return zone is not None and zone.mode is ZoneMode.IN_SERVICE


def summarize(view: ZoneView) -> ZoneSummary:
    """Return the summary of an availability zone at the time of the view."""
    workers = [worker for worker in view.workers_by_id.values() if worker.usable]
    requests = [record.request for record in view.waiting]
    return ZoneSummary(
        view.zone,
        in_service(view),
        sum(worker.free.accelerators for worker in workers),
        sum(worker.free.slots for worker in workers),
        sum(worker.capacity.accelerators for worker in workers),
        _largest_blocks(workers),
        _tasks_by_size(workers),
        _unclaimed(view),
        len(requests),
        sum(request.gang * request.shape.accelerators for request in requests),
    )


def _largest_blocks(workers: list[WorkerView]) -> dict[Adjacency, int]:
    """Return the most free accelerators within one worker, one rack and the zone."""
    by_rack: Counter[str] = Counter()
    for worker in workers:
        by_rack[worker.rack] += worker.free.accelerators
    return {
        Adjacency.WORKER: max((worker.free.accelerators for worker in workers), default=0),
        Adjacency.RACK: max(by_rack.values(), default=0),
        Adjacency.AVAILABILITY_ZONE: sum(by_rack.values()),
    }


def _tasks_by_size(workers: list[WorkerView]) -> dict[int, tuple[int, int]]:
    """Return how many tasks of each size fit into the best rack and into the zone."""
    found = {}
    for size in TASK_SIZES:
        by_rack: Counter[str] = Counter()
        for worker in workers:
            by_rack[worker.rack] += min(worker.free.accelerators // size, worker.free.slots)
        found[size] = (max(by_rack.values(), default=0), sum(by_rack.values()))
    return found


def _unclaimed(view: ZoneView) -> dict[str, int]:
    """Return the number of unclaimed instances of each guarantee that has any."""
    left = Counter(
        f"{instance.workspace}/{instance.guarantee}"
        for instance in instances_in_zone(view.configuration, view.zone)
    )
    for record in view.running_by_id.values():
        if record.placement.guarantee is not None:
            left[f"{record.request.workspace}/{record.placement.guarantee}"] -= 1
    return {name: count for name, count in left.items() if count > 0}
