"""Patches: numbered changes of the configuration."""

from typing import Any

import attrs

__all__ = ["Patch", "PatchStatus"]


@attrs.frozen
class Patch:
    """A change that operators ask for.

    :param id: operator's id of the patch; the same id gets the same verdict.
    :param base: version that the operations apply to.
    :param operations: RFC 6902 operations.
    """

    id: str
    base: int
    operations: tuple[dict[str, Any], ...]


@attrs.frozen
class PatchStatus:
    """What became of a patch.

    :param id: id of the patch.
    :param accepted: whether it became a version.
    :param version: version that it made; 0 when it was rejected.
    :param reasons: why it was rejected, each with the path of the field.
    :param warnings: what its version leaves wanting, each with the path of the field.
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
