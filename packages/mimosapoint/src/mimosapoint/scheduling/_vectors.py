"""Amounts of resources as plain tuples, for the inner loops of the policies."""

from mimosapoint.model import Resources

__all__ = [
    "ZERO",
    "ResourceVector",
    "fits",
    "minimum",
    "subtract",
    "maximum",
    "add",
    "scale",
    "fit_count",
    "to_vector",
]

ResourceVector = tuple[int, int, int, int]
"""Slots, cores, memory in GiB and accelerators."""

ZERO: ResourceVector = (0, 0, 0, 0)
"""Nothing of any resource."""

UNBOUNDED = 1 << 30
"""Count of a shape that needs nothing."""


def to_vector(amount: Resources) -> ResourceVector:
    """Return the amount as a vector."""
    return (amount.slots, amount.cores, amount.memory_gib, amount.accelerators)


def add(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the sum."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3])


def subtract(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the difference, which may be negative."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def scale(a: ResourceVector, count: int) -> ResourceVector:
    """Return the amount so many times."""
    return (a[0] * count, a[1] * count, a[2] * count, a[3] * count)


def minimum(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the smaller amount of each resource."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]), min(a[3], b[3]))


def maximum(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the larger amount of each resource."""
    return (max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]), max(a[3], b[3]))


def fits(need: ResourceVector, room: ResourceVector) -> bool:
    """Tell whether the need fits into the room."""
    return need[0] <= room[0] and need[1] <= room[1] and need[2] <= room[2] and need[3] <= room[3]


def fit_count(need: ResourceVector, room: ResourceVector) -> int:
    """Return how many times the need fits into the room."""
    if not fits(need, room):
        return 0
    return min(have // wanted if wanted else UNBOUNDED for wanted, have in zip(need, room))
