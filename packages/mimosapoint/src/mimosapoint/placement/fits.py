"""Whether a gang could ever run on the declared capacity."""

from collections.abc import Iterable

from mimosapoint.configuration import Capacity, Configuration, Zone
from mimosapoint.errors import NeverFits
from mimosapoint.model import Adjacency, JobRequest

__all__ = ["allowed_zones", "check_fits", "largest_gang"]


def largest_gang(request: JobRequest, capacity: Capacity) -> int:
    """Return the largest gang of the request's shape that an empty availability zone holds."""
    per_worker = request.shape.times_in(capacity.worker)
    if request.adjacency is Adjacency.WORKER:
        return per_worker
    per_rack = per_worker * capacity.workers_per_rack
    if request.adjacency is Adjacency.RACK:
        return per_rack
    return per_rack * capacity.racks


def allowed_zones(request: JobRequest, configuration: Configuration) -> dict[str, Zone]:
    """Return the availability zones that the request may run in, whatever their mode."""
    workspace = configuration.workspaces_by_id[request.workspace]
    service = workspace.services_by_id[request.service]
    zones = configuration.zones_of(workspace.region)
    for limit in (service.zones, request.zones):
        if limit:
            zones = {id: zone for id, zone in zones.items() if id in limit}
    return zones


def check_fits(request: JobRequest, zones: Iterable[Zone]) -> None:
    """Check that an empty availability zone could hold the gang.

    :raises NeverFits: none could; the detail names the largest gang that would fit.
    """
    largest = max((largest_gang(request, zone.capacity) for zone in zones), default=0)
    if largest < request.gang:
        raise NeverFits(
            f"a gang of {request.gang} within one {request.adjacency.value} never fits; "
            f"the largest gang of this shape is {largest}"
        )
