"""Shapes in demand, and how many of them a placement leaves no room for."""

from collections import Counter, deque
from collections.abc import Iterable

from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["DemandMix"]

MAX_STARTED_UNITS = 512
"""Number of newest started units that count as demand: about ten seconds of either mix of
docs/design/scarce-capacity.md, of which a job of single tasks is 39 units."""

MAX_SHAPES = 24
"""Number of shapes that are considered, by demand. Two classes with 1 to 8 accelerators and one of
single tasks have 17."""


class DemandMix:
    """Amounts per task of the units that wait and of those that were started last.

    The cost of a placement is the fragmentation gradient of Weng and others (2023): the capacity
    that tasks of the mix can no longer use afterwards, other than by the placement itself.
    """

    def __init__(self) -> None:
        self._started: deque[tuple[ResourceAmounts, int]] = deque(maxlen=MAX_STARTED_UNITS)
        self._started_counts: Counter[ResourceAmounts] = Counter()
        self._waiting: list[Unit] = []
        self._weight_by_shape: list[tuple[ResourceAmounts, float]] | None = None
        self._cost_by_key: dict[tuple, float] = {}

    def set_waiting(self, waiting: Iterable[Unit]) -> None:
        """Replace the waiting units, at the begin of a decision."""
        self._waiting = list(waiting)
        self._weight_by_shape = None
        self._cost_by_key.clear()

    def add_started(self, unit: Unit) -> None:
        """Count a unit as started; takes effect in the next decision."""
        if len(self._started) == MAX_STARTED_UNITS:
            amounts, weight = self._started[0]
            self._started_counts[amounts] -= weight
        self._started.append((unit.step.amounts, _weight(unit)))
        self._started_counts[unit.step.amounts] += _weight(unit)

    def cost(
        self,
        free: ResourceAmounts,
        amounts: ResourceAmounts,
        count: int,
        capacity: ResourceAmounts,
    ) -> float:
        """Return what a placement on one worker takes from the shapes in demand.

        It is the number of tasks of each shape that no longer fit, weighted by the demand for the
        shape and by the capacity of its tasks.

        :param free: free capacity of the worker before.
        :param amounts: amounts of each placed task.
        :param count: number of placed tasks.
        :param capacity: capacity of the worker when empty.
        """
        key = (free, amounts, count, capacity)
        cost = self._cost_by_key.get(key)
        if cost is None:
            remaining = free - amounts.scaled(count)
            cost = sum(
                weight * (shape.fit_count(free) - shape.fit_count(remaining))
                for shape, weight in self._weights(capacity)
            )
            self._cost_by_key[key] = cost
        return cost

    def _weights(self, capacity: ResourceAmounts) -> list[tuple[ResourceAmounts, float]]:
        if self._weight_by_shape is None:
            counts = Counter(self._started_counts)
            for unit in self._waiting:
                counts[unit.step.amounts] += _weight(unit)
            self._weight_by_shape = [
                (shape, count * _dominant_share(shape, capacity))
                for shape, count in counts.most_common(MAX_SHAPES)
                if count > 0
            ]
        return self._weight_by_shape


def _weight(unit: Unit) -> int:
    """Return the weight of a unit in the demand: its tasks, times the width of its gang.

    One place less keeps a whole gang waiting, so that it costs more the wider the gangs are.
    """
    return unit.size * unit.size


def _dominant_share(amounts: ResourceAmounts, capacity: ResourceAmounts) -> float:
    return max(
        amounts.cpu_millis / max(1, capacity.cpu_millis),
        amounts.memory_mb / max(1, capacity.memory_mb),
        amounts.accelerators / max(1, capacity.accelerators),
    )
