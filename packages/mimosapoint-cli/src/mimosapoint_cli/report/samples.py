"""Statistics of streams in bounded memory."""

import heapq
import random
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from itertools import count
from typing import Any

import attrs

__all__ = ["BoundedCounts", "BoundedMap", "LargestValues", "Sample"]

OTHER = "other"

MOST_KEYS = 20_000
"""Most jobs, runs, workers, nodes or series that one collection tells apart; of more at a time
some are forgotten or counted together."""


@attrs.define
class Sample:
    """Uniform random sample of a stream of numbers (reservoir sampling, algorithm R).

    :param size: most values kept.
    :ivar count: number of values seen.
    :ivar total: their sum.
    :ivar largest: the largest of them.
    """

    size: int = 2000
    count: int = 0
    total: float = 0.0
    largest: float = 0.0
    _values: list[float] = attrs.field(factory=list)
    # A seed, so that the same logs give the same page.
    _random: random.Random = attrs.field(factory=lambda: random.Random(0))

    def add(self, value: float) -> None:
        """Add a value; it replaces a kept one with probability size / count."""
        self.largest = value if not self.count else max(value, self.largest)
        self.count += 1
        self.total += value
        if len(self._values) < self.size:
            self._values.append(value)
            return
        index = int(self._random.random() * self.count)
        if index < self.size:
            self._values[index] = value

    def sorted_values(self) -> list[float]:
        """Return the kept values, ascending."""
        return sorted(self._values)

    def quantile(self, share: float) -> float:
        """Return a quantile of the kept values, 0 without any."""
        ordered = self.sorted_values()
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@attrs.define
class LargestValues:
    """The items with the largest values of a stream.

    :param size: most items kept.
    """

    size: int = 15
    _heap: list[tuple[float, int, Any]] = attrs.field(factory=list)
    _order: count = attrs.field(factory=count)

    def is_large(self, value: float) -> bool:
        """Return whether an item with this value would be kept."""
        return len(self._heap) < self.size or value > self._heap[0][0]

    def add(self, value: float, item: Any) -> None:
        """Add an item."""
        entry = (value, -next(self._order), item)
        if len(self._heap) < self.size:
            heapq.heappush(self._heap, entry)
        elif value > self._heap[0][0]:
            heapq.heapreplace(self._heap, entry)

    def items(self) -> list[tuple[float, Any]]:
        """Return the kept values and items, the largest first, the earliest of equal ones first."""
        return [(value, item) for value, _, item in sorted(self._heap, reverse=True)]


@attrs.define
class BoundedCounts:
    """Sums by key; keys that come after the first ``size`` ones are added to ``other``.

    :param size: most keys in addition to ``other``, ``None`` for ``MOST_KEYS``.
    """

    size: int | None = 200
    counts_by_key: dict[Hashable, float] = attrs.field(factory=dict)

    def add(self, key: Hashable, amount: float = 1) -> Hashable:
        """Add to a key and return the key that was counted."""
        size = MOST_KEYS if self.size is None else self.size
        if key not in self.counts_by_key and len(self.counts_by_key) >= size:
            key = OTHER
        self.counts_by_key[key] = self.counts_by_key.get(key, 0) + amount
        return key

    def largest(self, limit: int | None = None) -> list[tuple[Any, float]]:
        """Return keys and sums, the largest sum first."""
        return sorted(self.counts_by_key.items(), key=lambda item: -item[1])[:limit]

    def __len__(self) -> int:
        return len(self.counts_by_key)

    @property
    def total(self) -> float:
        """Sum over all keys."""
        return sum(self.counts_by_key.values())


@attrs.define
class BoundedMap:
    """Mapping that forgets the oldest key when it is full.

    :ivar size: most keys.
    :ivar forgotten: number of keys that were forgotten.
    """

    size: int = attrs.field(factory=lambda: MOST_KEYS)
    forgotten: int = 0
    # A dict would search past the gaps of removed keys for its first key.
    _values_by_key: OrderedDict[Hashable, Any] = attrs.field(factory=OrderedDict)

    def put(self, key: Hashable, value: Any) -> Any:
        """Set the value of a key, and return the value that was replaced or forgotten."""
        replaced = self._values_by_key.pop(key, None)
        if len(self._values_by_key) >= self.size:
            _, replaced = self._values_by_key.popitem(last=False)
            self.forgotten += 1
        self._values_by_key[key] = value
        return replaced

    def get(self, key: Hashable) -> Any:
        """Return the value of a key, ``None`` when it is absent."""
        return self._values_by_key.get(key)

    def remove(self, key: Hashable) -> Any:
        """Remove a key and return its value, ``None`` when it is absent."""
        return self._values_by_key.pop(key, None)

    def items(self) -> Iterable[tuple[Any, Any]]:
        """Return keys and values."""
        return self._values_by_key.items()

    def __len__(self) -> int:
        return len(self._values_by_key)
