"""Check whether a gang could ever fit on the declared capacity."""

from collections.abc import Iterable

from mimosapoint.configuration import Capacity, Zone
from mimosapoint.errors import NeverFits
from mimosapoint.model import Adjacency, JobRequest

__all__ = ["check_feasible", "largest_gang"]


def largest_gang(request: JobRequest, capacity: Capacity) -> int:
    """Return the size of the largest gang of the request's shape that fits in an empty zone."""
    per_worker = request.shape.fit_count(capacity.worker)
    if request.adjacency is Adjacency.WORKER:
        return per_worker
    per_rack = per_worker * capacity.workers_per_rack
    if request.adjacency is Adjacency.RACK:
        return per_rack
    return per_rack * capacity.racks


def check_feasible(request: JobRequest, zones: Iterable[Zone]) -> None:
    """Check that the gang fits in at least one of the zones when it is empty.

    :raises NeverFits: it fits in none; the detail gives the largest gang that would fit.
    """
    largest = max((largest_gang(request, zone.capacity) for zone in zones), default=0)
    if largest < request.gang:
        raise NeverFits(
            f"a gang of {request.gang} within one {request.adjacency.value} never fits; "
            f"the largest gang of this shape is {largest}"
        )
