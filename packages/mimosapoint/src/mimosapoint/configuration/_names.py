"""Checks of the names and amounts in a configuration."""

from collections.abc import Iterator

from mimosapoint.codec.rules import Rule, between, identifier
from mimosapoint.codec.strict import pointer
from mimosapoint.configuration.document import Configuration, Workspace
from mimosapoint.model import Resources

__all__ = ["reference_errors", "valid_amounts"]

AMOUNT_MAX = 1_000_000
"""Largest amount of a resource of one worker."""

SHAPE_RULES_BY_FIELD: dict[str, Rule] = {
    "slots": between(1, AMOUNT_MAX),
    "cores": between(0, AMOUNT_MAX),
    "memory_gib": between(0, AMOUNT_MAX),
    "accelerators": between(0, AMOUNT_MAX),
}
ID_RULE = identifier()


def reference_errors(configuration: Configuration) -> Iterator[str]:
    """Yield a reason for each bad id, dangling name and amount out of range."""
    yield from _id_problems(configuration)
    yield from _zone_problems(configuration)
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        yield from _workspace_problems(configuration, workspace, ("workspaces", id))
    yield from _policy_problems(configuration)


def valid_amounts(resources: Resources) -> bool:
    """Tell whether each amount is in range."""
    return not any(_amount_problems(resources))


def _id_problems(configuration: Configuration) -> Iterator[str]:
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


def _amount_problems(resources: Resources, *path: object) -> Iterator[str]:
    for name, rule in SHAPE_RULES_BY_FIELD.items():
        if not rule.is_satisfied(getattr(resources, name)):
            yield f"{pointer(*path, name)}: must be {rule.allowed}"


def _zone_problems(configuration: Configuration) -> Iterator[str]:
    for id, zone in sorted(configuration.zones_by_id.items()):
        yield from _amount_problems(zone.capacity.worker, "zones", id, "capacity", "worker")


def _unknown_zones(
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
        yield from _unknown_zones(configuration, workspace.region, service.zones, *here)
        if not service.classes:
            yield f"{pointer(*here, 'classes')}: must name a job class"


def _duplicate_problems(workspace: Workspace, path: tuple[object, ...]) -> Iterator[str]:
    seen = set()
    for index, guarantee in enumerate(workspace.guarantees):
        if guarantee.id in seen:
            yield f"{pointer(*path, 'guarantees', index, 'id')}: {guarantee.id} is used twice"
        seen.add(guarantee.id)


def _policy_problems(configuration: Configuration) -> Iterator[str]:
    from mimosapoint.scheduling import policy_names  # it imports this subpackage

    names = policy_names()
    if configuration.policies.scheduling not in names:
        yield f"/policies/scheduling: must be one of {', '.join(names)}"


def _workspace_problems(
    configuration: Configuration, workspace: Workspace, path: tuple[object, ...]
) -> Iterator[str]:
    if not configuration.zones_of(workspace.region):
        yield f"{pointer(*path, 'region')}: no availability zone is in {workspace.region}"
        return
    yield from _service_problems(configuration, workspace, path)
    yield from _duplicate_problems(workspace, path)
    for index, guarantee in enumerate(workspace.guarantees):
        here = (*path, "guarantees", index)
        yield from _unknown_zones(configuration, workspace.region, guarantee.zones, *here)
        yield from _amount_problems(guarantee.shape, *here, "shape")
