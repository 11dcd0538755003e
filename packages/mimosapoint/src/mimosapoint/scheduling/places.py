"""Search for workers that hold a whole gang."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from mimosapoint.model import Adjacency, JobRequest
from mimosapoint.scheduling._vectors import Vector, fits, scaled, times, vector

__all__ = ["Need", "amounts", "first_place", "groups", "tight_place"]


@attrs.frozen
class Need:
    """Room that a gang needs.

    :param gang: number of tasks.
    :param vector: resources of each task.
    :param adjacency: smallest part of the platform that holds the gang.
    """

    gang: int
    vector: Vector
    adjacency: Adjacency

    @classmethod
    def of(cls, request: JobRequest) -> "Need":
        """Return the need of a request."""
        adjacency = Adjacency.AVAILABILITY_ZONE if request.gang == 1 else request.adjacency
        return cls(request.gang, vector(request.shape), adjacency)

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return self.gang * self.vector[3]


def amounts(need: Need, workers: Iterable[str]) -> dict[str, Vector]:
    """Return what the placed gang takes on each worker."""
    return {worker: scaled(need.vector, count) for worker, count in Counter(workers).items()}


def groups(
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


def _counts(need: Need, group: list[str], room: Mapping[str, Vector]) -> list[tuple[int, str]]:
    vector = need.vector
    return [(times(vector, room[id]), id) for id in group if fits(vector, room[id])]


def _fill(need: Need, counts: list[tuple[int, str]]) -> tuple[str, ...]:
    chosen: list[str] = []
    for count, worker in counts:
        chosen.extend([worker] * min(count, need.gang - len(chosen)))
        if len(chosen) == need.gang:
            break
    return tuple(chosen)


def first_place(
    need: Need, room: Mapping[str, Vector], parts: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers in the order of the parts, or ``None`` when the gang does not fit."""
    for group in parts:
        counts = _counts(need, group, room)
        if sum(count for count, _ in counts) >= need.gang:
            return _fill(need, counts)
    return None


def tight_place(
    need: Need, room: Mapping[str, Vector], parts: Iterable[list[str]]
) -> tuple[str, ...] | None:
    """Return workers of the part with the least room that holds the gang, fullest first."""
    best: tuple[int, list[tuple[int, str]]] | None = None
    for group in parts:
        counts = _counts(need, group, room)
        total = sum(count for count, _ in counts)
        if total >= need.gang and (best is None or total < best[0]):
            best = (total, counts)
    if best is None:
        return None
    return _fill(need, _tight_order(need, best[1]))


def _tight_order(need: Need, counts: list[tuple[int, str]]) -> list[tuple[int, str]]:
    """Order workers so that few are used and the last one is left with little room."""
    ordered = sorted(counts)
    for position, (count, _) in enumerate(ordered):
        if count >= need.gang:
            return ordered[position:]
    return ordered[::-1]
