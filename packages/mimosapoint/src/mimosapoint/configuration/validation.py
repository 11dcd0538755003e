"""Checks of a whole configuration: every reason at once, each with its JSON pointer."""

from collections.abc import Iterator

import orjson

from mimosapoint.codec import encode
from mimosapoint.codec.rules import Rule, between, identifier
from mimosapoint.codec.strict import DocumentInvalid, decode_document, pointer
from mimosapoint.configuration.document import (
    Capacity,
    Configuration,
    Guarantee,
    Workspace,
    ZoneMode,
)
from mimosapoint.configuration.homes import HomeKey, eligible_zones, homes
from mimosapoint.model import Adjacency, Resources

__all__ = ["content_problems", "problems", "warnings"]

AMOUNT_MAX = 1_000_000
"""Largest amount of a resource of one worker."""

SHAPE_RULES_BY_FIELD: dict[str, Rule] = {
    "slots": between(1, AMOUNT_MAX),
    "cores": between(0, AMOUNT_MAX),
    "memory_gib": between(0, AMOUNT_MAX),
    "accelerators": between(0, AMOUNT_MAX),
}
ID_RULE = identifier()


def problems(configuration: Configuration) -> tuple[str, ...]:
    """Return every reason why the configuration cannot come into force.

    :returns: reasons in the form ``<JSON pointer>: <reason>``; empty when it is valid.
    """
    try:
        decode_document(orjson.loads(encode(configuration)), Configuration)
    except DocumentInvalid as error:
        return error.reasons
    return content_problems(configuration)


def content_problems(configuration: Configuration) -> tuple[str, ...]:
    """Return every reason beyond the types and ranges of single values."""
    checks = (_id_problems, _zone_problems, _workspace_problems, _policy_problems)
    reasons = tuple(reason for check in checks for reason in check(configuration))
    return reasons or tuple(_capacity_problems(configuration))


def warnings(configuration: Configuration) -> tuple[str, ...]:
    """Return what operators should know of a valid configuration.

    :returns: the guarantees that only a zone out of service holds, in the form of reasons.
    """
    homes_by_key = homes(configuration)
    found = []
    for id, index, guarantee in _guarantees(configuration):
        held = [homes_by_key.get(HomeKey(id, guarantee.id, n)) for n in range(guarantee.count)]
        zones = [home.zone for home in held if home is not None]
        out = [zone for zone in zones if not _in_service(configuration, zone)]
        if out:
            path = pointer("workspaces", id, "guarantees", index)
            names = ", ".join(sorted(set(out)))
            share = f"{len(out)} of {guarantee.count}"
            found.append(f"{path}: {share} held only in zones out of service: {names}")
    return tuple(found)


def _in_service(configuration: Configuration, zone: str) -> bool:
    return configuration.zones_by_id[zone].mode is ZoneMode.IN_SERVICE


def _guarantees(configuration: Configuration) -> Iterator[tuple[str, int, Guarantee]]:
    """Yield the workspace id, the index and each guarantee."""
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        for index, guarantee in enumerate(workspace.guarantees):
            yield id, index, guarantee


def _id_problems(configuration: Configuration) -> Iterator[str]:
    groups = [
        (("zones",), configuration.zones_by_id),
        (("workspaces",), configuration.workspaces_by_id),
    ]
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        groups.append((("workspaces", id, "services"), workspace.services_by_id))
    for path, items_by_id in groups:
        for id in sorted(items_by_id):
            if not ID_RULE.holds(id):
                yield f"{pointer(*path, id)}: the id must be {ID_RULE.allowed}"


def _amount_problems(resources: Resources, *path: object) -> Iterator[str]:
    for name, rule in SHAPE_RULES_BY_FIELD.items():
        if not rule.holds(getattr(resources, name)):
            yield f"{pointer(*path, name)}: must be {rule.allowed}"


def _zone_problems(configuration: Configuration) -> Iterator[str]:
    for id, zone in sorted(configuration.zones_by_id.items()):
        yield from _amount_problems(zone.capacity.worker, "zones", id, "capacity", "worker")


def _workspace_problems(configuration: Configuration) -> Iterator[str]:
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        path = ("workspaces", id)
        if not configuration.zones_of(workspace.region):
            yield f"{pointer(*path, 'region')}: no availability zone is in {workspace.region}"
            continue
        yield from _service_problems(configuration, workspace, path)
        yield from _duplicate_problems(workspace, path)
        for index, guarantee in enumerate(workspace.guarantees):
            here = (*path, "guarantees", index)
            yield from _guarantee_problems(configuration, workspace, guarantee, here)


def _dangling(
    configuration: Configuration, region: str, zones: tuple[str, ...], *path: object
) -> Iterator[str]:
    known = configuration.zones_of(region)
    for index, zone in enumerate(zones):
        if zone not in known:
            yield f"{pointer(*path, 'zones', index)}: {region} has no availability zone {zone}"


def _service_problems(
    configuration: Configuration, workspace: Workspace, path: tuple[object, ...]
) -> Iterator[str]:
    for id, service in sorted(workspace.services_by_id.items()):
        here = (*path, "services", id)
        yield from _dangling(configuration, workspace.region, service.zones, *here)
        if not service.classes:
            yield f"{pointer(*here, 'classes')}: must name a job class"


def _duplicate_problems(workspace: Workspace, path: tuple[object, ...]) -> Iterator[str]:
    seen = set()
    for index, guarantee in enumerate(workspace.guarantees):
        if guarantee.id in seen:
            yield f"{pointer(*path, 'guarantees', index, 'id')}: {guarantee.id} is used twice"
        seen.add(guarantee.id)


def _guarantee_problems(
    configuration: Configuration,
    workspace: Workspace,
    guarantee: Guarantee,
    path: tuple[object, ...],
) -> Iterator[str]:
    dangling = tuple(_dangling(configuration, workspace.region, guarantee.zones, *path))
    amounts = tuple(_amount_problems(guarantee.shape, *path, "shape"))
    yield from dangling
    yield from amounts
    if not dangling and not amounts:
        yield from _never_fits(configuration, workspace, guarantee, path)


def _largest_gang(capacity: Capacity, shape: Resources, adjacency: Adjacency) -> int:
    """Return how many tasks of the shape fit into the part that must hold the gang."""
    tasks = shape.times_in(capacity.worker)
    if adjacency is Adjacency.WORKER:
        return tasks
    tasks *= capacity.workers_per_rack
    return tasks if adjacency is Adjacency.RACK else tasks * capacity.racks


def _never_fits(
    configuration: Configuration,
    workspace: Workspace,
    guarantee: Guarantee,
    path: tuple[object, ...],
) -> Iterator[str]:
    zones = eligible_zones(configuration, workspace.region, guarantee)
    largest = max(
        _largest_gang(configuration.zones_by_id[id].capacity, guarantee.shape, guarantee.adjacency)
        for id in zones
    )
    if largest == 0:
        yield f"{pointer(*path, 'shape')}: no worker is that large"
    elif largest < guarantee.gang:
        part = guarantee.adjacency.value
        yield f"{pointer(*path, 'gang')}: at most {largest} such tasks fit into one {part}"


def _policy_problems(configuration: Configuration) -> Iterator[str]:
    from mimosapoint.scheduling import policy_names  # it imports this subpackage

    names = policy_names()
    if configuration.policies.scheduling not in names:
        yield f"/policies/scheduling: must be one of {', '.join(names)}"


def _capacity_problems(configuration: Configuration) -> Iterator[str]:
    """Yield the guarantees that cannot be held together with the others.

    Zones that are out count as capacity, since operators may always withdraw one.
    """
    homes_by_key = homes(configuration)
    for id, index, guarantee in _guarantees(configuration):
        held = sum(HomeKey(id, guarantee.id, n) in homes_by_key for n in range(guarantee.count))
        if held < guarantee.count:
            path = pointer("workspaces", id, "guarantees", index)
            yield f"{path}: only {held} of {guarantee.count} fit beside the other guarantees"
