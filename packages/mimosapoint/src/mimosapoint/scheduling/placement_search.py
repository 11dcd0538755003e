"""Search for workers on which a whole gang fits."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.model import Adjacency, JobRequest
from mimosapoint.scheduling._vectors import ResourceVector, fit_count, fits, scale, to_vector

__all__ = ["GangDemand", "gang_resources", "first_fit", "topology_domains", "best_fit"]


@attrs.frozen
class GangDemand:
    """Resources and adjacency that a gang requires.

    :param gang: number of tasks.
    :param task_vector: resources of each task.
    :param adjacency: kind of topology domain that must hold the whole gang.
    """

    gang: int
    task_vector: ResourceVector
    adjacency: Adjacency

    @classmethod
    def of(cls, request: JobRequest) -> "GangDemand":
        """Return the demand of a request; the adjacency of a single task doesn't matter."""
        adjacency = Adjacency.AVAILABILITY_ZONE if request.gang == 1 else request.adjacency
        return cls(request.gang, to_vector(request.shape), adjacency)

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.gang * self.task_vector[3]


def gang_resources(demand: GangDemand, workers: Iterable[str]) -> dict[str, ResourceVector]:
    """Return the resources that a placed gang takes on each worker."""
    return {worker: scale(demand.task_vector, count) for worker, count in Counter(workers).items()}


def topology_domains(
    adjacency: Adjacency, workers: Iterable[str], rack_by_id: Mapping[str, str]
) -> list[list[str]]:
    """Split the workers into topology domains, each of which may hold a gang."""
    if adjacency is Adjacency.AVAILABILITY_ZONE:
        return [list(workers)]
    workers_by_domain: dict[str, list[str]] = {}
    for worker in workers:
        domain = worker if adjacency is Adjacency.WORKER else rack_by_id[worker]
        workers_by_domain.setdefault(domain, []).append(worker)
    return list(workers_by_domain.values())


def _fitting_counts(
    demand: GangDemand, domain: list[str], available: Mapping[str, ResourceVector]
) -> list[tuple[int, str]]:
    vector = demand.task_vector
    return [(fit_count(vector, available[id]), id) for id in domain if fits(vector, available[id])]


def _assign_tasks(demand: GangDemand, counts: list[tuple[int, str]]) -> tuple[str, ...]:
    chosen: list[str] = []
    for count, worker in counts:
        chosen.extend([worker] * min(count, demand.gang - len(chosen)))
        if len(chosen) == demand.gang:
            break
    return tuple(chosen)


def first_fit(
    demand: GangDemand, available: Mapping[str, ResourceVector], domains: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers of the first domain in which the gang fits, or ``None``."""
    for domain in domains:
        counts = _fitting_counts(demand, domain, available)
        if sum(count for count, _ in counts) >= demand.gang:
            return _assign_tasks(demand, counts)
    return None


def best_fit(
    demand: GangDemand, available: Mapping[str, ResourceVector], domains: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers of the domain with the least capacity in which the gang fits, or ``None``."""
    best: tuple[int, list[tuple[int, str]]] | None = None
    for domain in domains:
        counts = _fitting_counts(demand, domain, available)
        total = sum(count for count, _ in counts)
        if total >= demand.gang and (best is None or total < best[0]):
            best = (total, counts)
    if best is None:
        return None
    return _assign_tasks(demand, _best_fit_order(demand, best[1]))


def _best_fit_order(demand: GangDemand, counts: list[tuple[int, str]]) -> list[tuple[int, str]]:
    """Return the workers in an order that packs the gang tightly.

    If one worker can hold the gang, the one with the least capacity that does comes first.
    Otherwise workers with the most capacity come first, so that few are used.
    """
    ordered = sorted(counts)
    for position, (count, _) in enumerate(ordered):
        if count >= demand.gang:
            return ordered[position:]
    return ordered[::-1]
