"""Patches of the configuration and their status."""

from typing import Any

import attrs

__all__ = ["Patch", "PatchStatus"]


@attrs.frozen
class Patch:
    """A change requested by an operator.

    :param id: id chosen by the operator; a repeated id returns the recorded result.
    :param base: configuration version that the operations apply to.
    :param operations: JSON Patch (RFC 6902) operations.
    """

    id: str
    base: int
    operations: tuple[dict[str, Any], ...]


@attrs.frozen
class PatchStatus:
    """Result of a patch and its progress over the nodes.

    :param id: id of the patch.
    :param accepted: whether the patch was committed as a version.
    :param version: resulting version; 0 if the patch was rejected.
    :param reasons: reasons for a rejection, each with the path of the field.
    :param warnings: warnings about the resulting version, each with the path of the field.
    :param nodes_in_force: ids of the live nodes that have the version in force.
    :param nodes_pending: ids of the live nodes that have not confirmed it.
    """

    id: str
    accepted: bool
    version: int = 0
    reasons: tuple[str, ...] = ()
    nodes_in_force: tuple[str, ...] = ()
    nodes_pending: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
