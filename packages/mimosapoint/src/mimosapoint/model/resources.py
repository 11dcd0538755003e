"""Amounts of a worker's resources."""

import attrs

__all__ = ["Resources"]


@attrs.frozen
class Resources:
    """Amount of each resource of a worker.

    :param slots: task slots.
    :param cores: processor cores.
    :param memory_gib: memory in GiB.
    :param accelerators: whole accelerators.
    """

    slots: int = 1
    cores: int = 1
    memory_gib: int = 1
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.slots + other.slots,
            self.cores + other.cores,
            self.memory_gib + other.memory_gib,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.slots - other.slots,
            self.cores - other.cores,
            self.memory_gib - other.memory_gib,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether this amount fits into a capacity."""
        return (
            self.slots <= capacity.slots
            and self.cores <= capacity.cores
            and self.memory_gib <= capacity.memory_gib
            and self.accelerators <= capacity.accelerators
        )

    def fit_count(self, capacity: "Resources") -> int:
        """Return how many times this amount fits into a capacity."""
        pairs = (
            (self.slots, capacity.slots),
            (self.cores, capacity.cores),
            (self.memory_gib, capacity.memory_gib),
            (self.accelerators, capacity.accelerators),
        )
        return max(0, min(available // required for required, available in pairs if required > 0))
