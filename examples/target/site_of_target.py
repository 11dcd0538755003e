"""Generated configuration of the target size: 16 availability zones and 83 workspaces."""

from mimosapoint.configuration import Capacity, Configuration, Guarantee, Service, Workspace, Zone
from mimosapoint.model import Adjacency, Resources

__all__ = ["target_configuration"]

ZONES_BY_REGION = {"r1": 3, "r2": 3, "r3": 2, "r4": 2, "r5": 2, "r6": 2, "r7": 2}
WORKSPACES = 83
CAPACITY = Capacity(racks=22, workers_per_rack=10, worker=Resources(8, 128, 256, 2))
TASK = Resources(slots=1, cores=16, memory_gib=32, accelerators=1)


def _guarantees(number: int) -> tuple[Guarantee, ...]:
    """Return guarantees of one large gang, of gangs in a rack and of gangs on a worker.

    Those of a workspace take 66 accelerators on average.
    """
    large = 128 if number % 9 == 0 else 32
    return (
        Guarantee("large", large, TASK, Adjacency.AVAILABILITY_ZONE),
        Guarantee("rack", 8 + 4 * (number % 3), TASK, Adjacency.RACK, count=1 + number % 2),
        Guarantee("worker", 2, TASK, Adjacency.WORKER, count=1 + number % 4),
    )


def target_configuration() -> Configuration:
    """Return the configuration, whose guarantees take about four fifths of the accelerators."""
    zones = {
        f"{region}-{letter}": Zone(region, CAPACITY)
        for region, count in ZONES_BY_REGION.items()
        for letter in "abc"[:count]
    }
    regions = sorted(ZONES_BY_REGION)
    services = {name: Service() for name in ("urgent", "nightly", "checks")}
    workspaces = {
        f"workspace-{number}": Workspace(
            regions[number % len(regions)], _guarantees(number), services_by_id=services
        )
        for number in range(WORKSPACES)
    }
    return Configuration(1, zones, workspaces)
