"""Search for workers that hold a whole gang."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.model import Adjacency, JobRequest
from mimosapoint.scheduling._vectors import ResourceVector, fit_count, fits, scale, to_vector

__all__ = ["GangDemand", "gang_resources", "first_fit", "topology_domains", "best_fit"]


@attrs.frozen
class GangDemand:
    """Room that a gang needs.

    :param gang: number of tasks.
    :param task_vector: resources of each task.
    :param adjacency: smallest part of the platform that holds the gang.
    """

    gang: int
    task_vector: ResourceVector
    adjacency: Adjacency

    @classmethod
    def of(cls, request: JobRequest) -> "GangDemand":
        """Return the need of a request."""
        adjacency = Adjacency.AVAILABILITY_ZONE if request.gang == 1 else request.adjacency
        return cls(request.gang, to_vector(request.shape), adjacency)

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.gang * self.task_vector[3]


def gang_resources(need: GangDemand, workers: Iterable[str]) -> dict[str, ResourceVector]:
    """Return what the placed gang takes on each worker."""
    return {worker: scale(need.task_vector, count) for worker, count in Counter(workers).items()}


def topology_domains(
    adjacency: Adjacency, workers: Iterable[str], rack_by_id: Mapping[str, str]
) -> list[list[str]]:
    """Split the workers into the parts that may hold a gang."""
    if adjacency is Adjacency.AVAILABILITY_ZONE:
        return [list(workers)]
    by_part: dict[str, list[str]] = {}
    for worker in workers:
        part = worker if adjacency is Adjacency.WORKER else rack_by_id[worker]
        by_part.setdefault(part, []).append(worker)
    return list(by_part.values())


def _fitting_counts(
    need: GangDemand, group: list[str], room: Mapping[str, ResourceVector]
) -> list[tuple[int, str]]:
    vector = need.task_vector
    return [(fit_count(vector, room[id]), id) for id in group if fits(vector, room[id])]


def _assign_tasks(need: GangDemand, counts: list[tuple[int, str]]) -> tuple[str, ...]:
    chosen: list[str] = []
    for count, worker in counts:
        chosen.extend([worker] * min(count, need.gang - len(chosen)))
        if len(chosen) == need.gang:
            break
    return tuple(chosen)


def first_fit(
    need: GangDemand, room: Mapping[str, ResourceVector], parts: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers in the order of the parts, or ``None`` when the gang does not fit."""
    for group in parts:
        counts = _fitting_counts(need, group, room)
        if sum(count for count, _ in counts) >= need.gang:
            return _assign_tasks(need, counts)
    return None


def best_fit(
    need: GangDemand, room: Mapping[str, ResourceVector], parts: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers of the part with the least room that holds the gang, fullest first."""
    best: tuple[int, list[tuple[int, str]]] | None = None
    for group in parts:
        counts = _fitting_counts(need, group, room)
        total = sum(count for count, _ in counts)
        if total >= need.gang and (best is None or total < best[0]):
            best = (total, counts)
    if best is None:
        return None
    return _assign_tasks(need, _best_fit_order(need, best[1]))


def _best_fit_order(need: GangDemand, counts: list[tuple[int, str]]) -> list[tuple[int, str]]:
    """Order workers so that few are used and the last one is left with little room."""
    ordered = sorted(counts)
    for position, (count, _) in enumerate(ordered):
        if count >= need.gang:
            return ordered[position:]
    return ordered[::-1]
