"""Resource amounts as plain tuples, for the inner loops of the policies."""

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
"""Fit count of a resource of which nothing is demanded."""


def to_vector(amount: Resources) -> ResourceVector:
    """Return the amount as a vector."""
    return (amount.slots, amount.cores, amount.memory_gib, amount.accelerators)


def add(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the sum by resource."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3])


def subtract(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the difference by resource, which may be negative."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def scale(a: ResourceVector, count: int) -> ResourceVector:
    """Return the vector multiplied by a count."""
    return (a[0] * count, a[1] * count, a[2] * count, a[3] * count)


def minimum(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the smaller amount of each resource."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]), min(a[3], b[3]))


def maximum(a: ResourceVector, b: ResourceVector) -> ResourceVector:
    """Return the larger amount of each resource."""
    return (max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]), max(a[3], b[3]))


def fits(demand: ResourceVector, available: ResourceVector) -> bool:
    """Return whether the demand is within the available amount of every resource."""
    return (
        demand[0] <= available[0]
        and demand[1] <= available[1]
        and demand[2] <= available[2]
        and demand[3] <= available[3]
    )


def fit_count(demand: ResourceVector, available: ResourceVector) -> int:
    """Return how many times the demand fits into the available amounts."""
    if not fits(demand, available):
        return 0
    return min(
        free // required if required else UNBOUNDED for required, free in zip(demand, available)
    )
