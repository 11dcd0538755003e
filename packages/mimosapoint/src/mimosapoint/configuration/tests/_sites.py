"""Configurations for the tests of this subpackage."""

from mimosapoint.configuration import (
    Capacity,
    Configuration,
    Guarantee,
    Service,
    Workspace,
    Zone,
)
from mimosapoint.model import Adjacency, Resources

WORKER = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
TASK = Resources(slots=1, cores=16, memory_gib=32, accelerators=1)


def make_configuration(*guarantees, zones=("a", "b"), racks=1, workers_per_rack=2, version=0):
    """Return a configuration with one workspace that has the given guarantees."""
    zone = Zone("r", Capacity(racks, workers_per_rack, WORKER))
    workspace = Workspace("r", tuple(guarantees), services_by_id={"bulletins": Service()})
    return Configuration(version, {id: zone for id in zones}, {"desk": workspace})


def rack_gang(id, gang, count=1, zones=()):
    return Guarantee(id, gang, TASK, Adjacency.RACK, count, zones)
