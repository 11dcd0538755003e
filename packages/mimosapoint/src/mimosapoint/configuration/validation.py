"""Validation of a whole configuration; reports all errors with their JSON pointers."""

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

__all__ = ["parse_configuration", "validation_errors", "configuration_warnings"]


def validation_errors(configuration: Configuration) -> tuple[str, ...]:
    """Return all errors in a configuration.

    :returns: errors in the form ``<JSON pointer>: <reason>``; empty if it is valid.
    """
    try:
        parse_configuration(orjson.loads(encode(configuration)))
    except ConfigurationInvalid as error:
        return error.reasons
    return ()


def parse_configuration(document: Any, earlier_reasons: tuple[str, ...] = ()) -> Configuration:
    """Convert a document to a valid configuration.

    If types, keys or ranges are invalid, the valid part is still checked for ids and references.
    Whether the guarantees fit is checked only if there are no other errors.

    :param document: plain values as parsed from YAML or JSON.
    :param earlier_reasons: errors found earlier, which are reported as well.
    :raises ConfigurationInvalid: the document is invalid; lists all errors found.
    """
    try:
        configuration = decode_document(document, Configuration)
    except DocumentInvalid as error:
        remainder = _decode_valid_part(document, error.errors)
        name_errors = () if remainder is None else reference_errors(remainder)
        raise ConfigurationInvalid(
            reasons=(*earlier_reasons, *error.reasons, *name_errors)
        ) from error
    reasons = (*earlier_reasons, *_content_errors(configuration))
    if reasons:
        raise ConfigurationInvalid(reasons=reasons)
    return configuration


def _content_errors(configuration: Configuration) -> tuple[str, ...]:
    """Return errors in references, amounts and gang sizes or, if none, in total capacity."""
    reasons = (*reference_errors(configuration), *_gang_size_errors(configuration))
    return reasons or tuple(_capacity_errors(configuration))


def _decode_valid_part(document: Any, errors: tuple[DocumentError, ...]) -> Configuration | None:
    """Return the configuration with defaults in place of invalid values.

    :returns: ``None`` if an invalid value has no default.
    """
    remainder = copy.deepcopy(document)
    try:
        for error in errors:
            *parents, key = error.path
            del reduce(getitem, parents, remainder)[key]
        return decode_document(remainder, Configuration)
    except (DocumentInvalid, LookupError, TypeError, ValueError):
        return None


def configuration_warnings(configuration: Configuration) -> tuple[str, ...]:
    """Return warnings about a valid configuration.

    :returns: a warning, in the form of :func:`validation_errors`, for each guarantee with instances
        allocated in a withdrawn zone.
    """
    allocations_by_key = allocate_guarantees(configuration)
    found = []
    for id, index, guarantee in _guarantees(configuration):
        allocated = [
            allocations_by_key.get(GuaranteeInstanceKey(id, guarantee.id, n))
            for n in range(guarantee.count)
        ]
        zones = [allocation.zone for allocation in allocated if allocation is not None]
        withdrawn = [zone for zone in zones if not _in_service(configuration, zone)]
        if withdrawn:
            path = pointer("workspaces", id, "guarantees", index)
            names = ", ".join(sorted(set(withdrawn)))
            share = f"{len(withdrawn)} of {guarantee.count}"
            found.append(f"{path}: {share} held only in zones out of service: {names}")
    return tuple(found)


def _in_service(configuration: Configuration, zone: str) -> bool:
    return configuration.zones_by_id[zone].mode is ZoneMode.IN_SERVICE


def _guarantees(configuration: Configuration) -> Iterator[tuple[str, int, Guarantee]]:
    """Yield each guarantee with its workspace id and its index in the workspace."""
    for id, workspace in sorted(configuration.workspaces_by_id.items()):
        for index, guarantee in enumerate(workspace.guarantees):
            yield id, index, guarantee


def _largest_gang(capacity: Capacity, shape: Resources, adjacency: Adjacency) -> int:
    """Return how many tasks of a shape fit into one empty topology domain of a zone."""
    tasks = shape.fit_count(capacity.worker)
    if adjacency is Adjacency.WORKER:
        return tasks
    tasks *= capacity.workers_per_rack
    return tasks if adjacency is Adjacency.RACK else tasks * capacity.racks


def _gang_size_errors(configuration: Configuration) -> Iterator[str]:
    """Yield an error for each guarantee whose gang fits into none of its zones, even if empty."""
    for id, index, guarantee in _guarantees(configuration):
        region = configuration.workspaces_by_id[id].region
        zones = eligible_zones(configuration, region, guarantee)
        capacities = [configuration.zones_by_id[zone].capacity for zone in zones]
        shapes = (guarantee.shape, *(capacity.worker for capacity in capacities))
        if zones and all(map(valid_amounts, shapes)):
            path = ("workspaces", id, "guarantees", index)
            yield from _largest_gang_errors(capacities, guarantee, path)


def _largest_gang_errors(
    capacities: list[Capacity], guarantee: Guarantee, path: tuple[object, ...]
) -> Iterator[str]:
    largest = max(
        _largest_gang(capacity, guarantee.shape, guarantee.adjacency) for capacity in capacities
    )
    if largest == 0:
        yield f"{pointer(*path, 'shape')}: no worker is that large"
    elif largest < guarantee.gang:
        domain = guarantee.adjacency.value
        yield f"{pointer(*path, 'gang')}: at most {largest} such tasks fit into one {domain}"


def _capacity_errors(configuration: Configuration) -> Iterator[str]:
    """Yield an error for each guarantee that does not fit beside the others.

    Withdrawn zones count as capacity, since operators may always withdraw a zone.
    """
    allocations_by_key = allocate_guarantees(configuration)
    for id, index, guarantee in _guarantees(configuration):
        allocated = sum(
            GuaranteeInstanceKey(id, guarantee.id, n) in allocations_by_key
            for n in range(guarantee.count)
        )
        if allocated < guarantee.count:
            path = pointer("workspaces", id, "guarantees", index)
            yield f"{path}: only {allocated} of {guarantee.count} fit beside the other guarantees"
