"""Configurations of two sites and of one large availability zone."""

from mimosapoint.configuration import (
    Capacity,
    Configuration,
    Guarantee,
    Service,
    Workspace,
    Zone,
)
from mimosapoint.model import Adjacency, Resources

__all__ = ["AGENCY", "SELAT", "WORKER", "large_zone", "task_resources"]

WORKER = Resources(slots=8, cores=128, memory_gib=256, accelerators=8)
"""Resources of each worker."""


def task_resources(accelerators: int) -> Resources:
    """Return the shape of a task with the given number of accelerators."""
    if accelerators == 0:
        return Resources(slots=1, cores=4, memory_gib=4)
    return Resources(1, 12 * accelerators, 24 * accelerators, accelerators)


def _guarantee(id: str, gang: int, accelerators: int, count: int) -> Guarantee:
    return Guarantee(id, gang, task_resources(accelerators), Adjacency.RACK, count)


def _workspace(region: str, services: str, *guarantees: Guarantee) -> Workspace:
    by_id = {service: Service() for service in services.split()}
    return Workspace(region, guarantees, services_by_id=by_id)


def _zones(region: str, names: str, racks: int, workers_per_rack: int) -> dict[str, Zone]:
    capacity = Capacity(racks, workers_per_rack, WORKER)
    return {name: Zone(region, capacity) for name in names.split()}


def _agency() -> Configuration:
    region = "uy-sur"
    return Configuration(
        1,
        _zones(region, "mvd-centro mvd-cerro canelones maldonado", 1, 6),
        {
            "civil-protection": _workspace(region, "bulletins", _guarantee("screens", 4, 1, 4)),
            "regional-offices": _workspace(region, "rebuilds", _guarantee("nightly", 2, 8, 2)),
            "editors": _workspace(region, "thumbnails", _guarantee("checks", 4, 1, 1)),
            "archive": _workspace(region, "renders", _guarantee("long", 4, 8, 1)),
        },
    )


def _selat() -> Configuration:
    region = "my-central"
    return Configuration(
        1,
        _zones(region, "klang-a klang-b sepang-c", 1, 8),
        {
            "ops-desks": _workspace(region, "reshuffles", _guarantee("delays", 2, 2, 4)),
            "apron": _workspace(region, "checks", _guarantee("conflicts", 4, 1, 2)),
            "planning": _workspace(region, "plans", _guarantee("morning", 4, 8, 2)),
            "studies": _workspace(region, "nights", _guarantee("season", 2, 8, 1)),
        },
    )


AGENCY = _agency()
"""Configuration of the Agencia Nacional de Señalización Pública."""

SELAT = _selat()
"""Configuration of Selat Gateworks."""


def large_zone(racks: int, workers_per_rack: int) -> Configuration:
    """Return a configuration of one availability zone with the workspaces of ``AGENCY``."""
    return Configuration(
        1, _zones("uy-sur", "large", racks, workers_per_rack), AGENCY.workspaces_by_id
    )
