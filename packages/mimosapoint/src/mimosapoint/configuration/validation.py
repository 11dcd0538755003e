"""Checks of a whole configuration: every reason at once, each with its JSON pointer."""

import copy
from collections.abc import Iterator
from functools import reduce
from operator import getitem
from typing import Any

import orjson

from mimosapoint.codec import encode
from mimosapoint.codec.strict import DocumentError, DocumentInvalid, decode_document, pointer
from mimosapoint.configuration._names import reference_errors, valid_amounts
from mimosapoint.configuration.declared_allocations import (
    GuaranteeInstanceKey,
    allocate_guarantees,
    eligible_zones,
)
from mimosapoint.configuration.document import (
    Capacity,
    Configuration,
    Guarantee,
    ZoneMode,
)
from mimosapoint.errors import ConfigurationInvalid
from mimosapoint.model import Adjacency, Resources

__all__ = ["parse_configuration", "validation_errors", "warnings"]


def validation_errors(configuration: Configuration) -> tuple[str, ...]:
    """Return every reason why the configuration cannot come into force.

    :returns: reasons in the form ``<JSON pointer>: <reason>``; empty when it is valid.
    """
    try:
        parse_configuration(orjson.loads(encode(configuration)))
    except ConfigurationInvalid as error:
        return error.reasons
    return ()


def parse_configuration(document: Any, earlier_reasons: tuple[str, ...] = ()) -> Configuration:
    """Turn a document into a valid configuration.

    With faults of types, keys or ranges the rest is still checked for its names; whether the
    guarantees fit is told once those are mended.

    :param document: plain values, as YAML or JSON gives them.
    :param earlier_reasons: reasons against the document that are known already.
    :raises ConfigurationInvalid: with every reason.
    """
    try:
        configuration = decode_document(document, Configuration)
    except DocumentInvalid as error:
        rest = _with_defaults_for(document, error.errors)
        names = () if rest is None else reference_errors(rest)
        raise ConfigurationInvalid(reasons=(*earlier_reasons, *error.reasons, *names)) from error
    reasons = (*earlier_reasons, *_content_problems(configuration))
    if reasons:
        raise ConfigurationInvalid(reasons=reasons)
    return configuration


def _content_problems(configuration: Configuration) -> tuple[str, ...]:
    """Return every reason beyond the types and ranges of single values."""
    reasons = (*reference_errors(configuration), *_size_problems(configuration))
    return reasons or tuple(_capacity_problems(configuration))


def _with_defaults_for(document: Any, faults: tuple[DocumentError, ...]) -> Configuration | None:
    """Return the configuration with the defaults in place of what is faulty.

    :returns: ``None`` when something faulty has no default.
    """
    rest = copy.deepcopy(document)
    try:
        for fault in faults:
            *steps, key = fault.path
            del reduce(getitem, steps, rest)[key]
        return decode_document(rest, Configuration)
    except (DocumentInvalid, LookupError, TypeError, ValueError):
        return None


def warnings(configuration: Configuration) -> tuple[str, ...]:
    """Return what operators should know of a valid configuration.

    :returns: the guarantees that only a zone out of service holds, in the form of reasons.
    """
    homes_by_key = allocate_guarantees(configuration)
    found = []
    for id, index, guarantee in _guarantees(configuration):
        held = [
            homes_by_key.get(GuaranteeInstanceKey(id, guarantee.id, n))
            for n in range(guarantee.count)
        ]
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


def _largest_gang(capacity: Capacity, shape: Resources, adjacency: Adjacency) -> int:
    """Return how many tasks of the shape fit into the part that must hold the gang."""
    tasks = shape.fit_count(capacity.worker)
    if adjacency is Adjacency.WORKER:
        return tasks
    tasks *= capacity.workers_per_rack
    return tasks if adjacency is Adjacency.RACK else tasks * capacity.racks


def _size_problems(configuration: Configuration) -> Iterator[str]:
    """Yield the guarantees whose gang fits nowhere, were it alone."""
    for id, index, guarantee in _guarantees(configuration):
        region = configuration.workspaces_by_id[id].region
        zones = eligible_zones(configuration, region, guarantee)
        capacities = [configuration.zones_by_id[zone].capacity for zone in zones]
        shapes = (guarantee.shape, *(capacity.worker for capacity in capacities))
        if zones and all(map(valid_amounts, shapes)):
            path = ("workspaces", id, "guarantees", index)
            yield from _never_fits(capacities, guarantee, path)


def _never_fits(
    capacities: list[Capacity], guarantee: Guarantee, path: tuple[object, ...]
) -> Iterator[str]:
    largest = max(
        _largest_gang(capacity, guarantee.shape, guarantee.adjacency) for capacity in capacities
    )
    if largest == 0:
        yield f"{pointer(*path, 'shape')}: no worker is that large"
    elif largest < guarantee.gang:
        part = guarantee.adjacency.value
        yield f"{pointer(*path, 'gang')}: at most {largest} such tasks fit into one {part}"


def _capacity_problems(configuration: Configuration) -> Iterator[str]:
    """Yield the guarantees that cannot be held together with the others.

    Zones that are out count as capacity, since operators may always withdraw one.
    """
    homes_by_key = allocate_guarantees(configuration)
    for id, index, guarantee in _guarantees(configuration):
        held = sum(
            GuaranteeInstanceKey(id, guarantee.id, n) in homes_by_key
            for n in range(guarantee.count)
        )
        if held < guarantee.count:
            path = pointer("workspaces", id, "guarantees", index)
            yield f"{path}: only {held} of {guarantee.count} fit beside the other guarantees"
