"""Validation of ids, references and resource amounts in a configuration."""

from collections.abc import Iterator

from mimosapoint.codec.rules import Rule, between, identifier
from mimosapoint.codec.strict import pointer
from mimosapoint.configuration.document import Configuration, Workspace
from mimosapoint.model import Resources

__all__ = ["reference_errors", "valid_amounts"]

MAX_RESOURCE_AMOUNT = 1_000_000
"""Maximum amount of one resource in a worker or task shape."""

SHAPE_RULES_BY_FIELD: dict[str, Rule] = {
    "slots": between(1, MAX_RESOURCE_AMOUNT),
    "cores": between(0, MAX_RESOURCE_AMOUNT),
    "memory_gib": between(0, MAX_RESOURCE_AMOUNT),
    "accelerators": between(0, MAX_RESOURCE_AMOUNT),
}
ID_RULE = identifier()


def reference_errors(configuration: Configuration) -> Iterator[str]:
    """Yield an error for each invalid id, unknown reference and amount out of range."""
    yield from _id_errors(configuration)
    yield from _zone_errors(configuration)
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        yield from _workspace_errors(configuration, workspace, ("workspaces", id))
    yield from _policy_errors(configuration)


def valid_amounts(resources: Resources) -> bool:
    """Return whether all amounts are in range."""
    return not any(_amount_errors(resources))


def _id_errors(configuration: Configuration) -> Iterator[str]:
    groups = [
        (("zones",), configuration.zones_by_id),
        (("workspaces",), configuration.workspaces_by_id),
    ]
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        groups.append((("workspaces", id, "services"), workspace.services_by_id))
    for path, items_by_id in groups:
        for id in sorted(items_by_id):
            if not ID_RULE.is_satisfied(id):
                yield f"{pointer(*path, id)}: the id must be {ID_RULE.allowed}"


def _amount_errors(resources: Resources, *path: object) -> Iterator[str]:
    for name, rule in SHAPE_RULES_BY_FIELD.items():
        if not rule.is_satisfied(getattr(resources, name)):
            yield f"{pointer(*path, name)}: must be {rule.allowed}"


def _zone_errors(configuration: Configuration) -> Iterator[str]:
    for id, zone in sorted(configuration.zones_by_id.items()):
        yield from _amount_errors(zone.capacity.worker, "zones", id, "capacity", "worker")


def _unknown_zone_errors(
    configuration: Configuration, region: str, zones: tuple[str, ...], *path: object
) -> Iterator[str]:
    known = configuration.zones_of(region)
    for index, zone in enumerate(zones):
        if zone not in known:
            yield f"{pointer(*path, 'zones', index)}: {region} has no availability zone {zone}"


def _service_errors(
    configuration: Configuration, workspace: Workspace, path: tuple[object, ...]
) -> Iterator[str]:
    for id, service in sorted(workspace.services_by_id.items()):
        item_path = (*path, "services", id)
        yield from _unknown_zone_errors(configuration, workspace.region, service.zones, *item_path)
        if not service.classes:
            yield f"{pointer(*item_path, 'classes')}: must name a job class"


def _duplicate_errors(workspace: Workspace, path: tuple[object, ...]) -> Iterator[str]:
    seen_ids = set()
    for index, guarantee in enumerate(workspace.guarantees):
        if guarantee.id in seen_ids:
            yield f"{pointer(*path, 'guarantees', index, 'id')}: {guarantee.id} is used twice"
        seen_ids.add(guarantee.id)


def _policy_errors(configuration: Configuration) -> Iterator[str]:
    from mimosapoint.scheduling import policy_names  # avoids an import cycle

    names = policy_names()
    if configuration.policies.scheduling not in names:
        yield f"/policies/scheduling: must be one of {', '.join(names)}"


def _workspace_errors(
    configuration: Configuration, workspace: Workspace, path: tuple[object, ...]
) -> Iterator[str]:
    if not configuration.zones_of(workspace.region):
        yield f"{pointer(*path, 'region')}: no availability zone is in {workspace.region}"
        return
    yield from _service_errors(configuration, workspace, path)
    yield from _duplicate_errors(workspace, path)
    for index, guarantee in enumerate(workspace.guarantees):
        item_path = (*path, "guarantees", index)
        yield from _unknown_zone_errors(
            configuration, workspace.region, guarantee.zones, *item_path
        )
        yield from _amount_errors(guarantee.shape, *item_path, "shape")
