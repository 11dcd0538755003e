"""What a node tells the others of the availability zones that it owns."""

from typing import Any

import attrs

from mimosapoint.codec import converter, to_value

__all__ = ["ZONES_ATTACHMENT", "ZoneDigest", "from_attachment", "to_attachment"]

ZONES_ATTACHMENT = "zones"
"""Name of the attachment in the gossip."""


@attrs.frozen
class ZoneDigest:
    """State of an owned availability zone.

    :param epoch: epoch of the owner.
    :param queued: number of waiting jobs.
    :param free_slots: free slots on usable workers.
    :param free_accelerators: free accelerators on usable workers.
    """

    epoch: int
    queued: int = 0
    free_slots: int = 0
    free_accelerators: int = 0


def to_attachment(digests_by_zone: dict[str, ZoneDigest]) -> dict[str, Any]:
    """Return the JSON form of the digests."""
    return {zone: to_value(digest) for zone, digest in digests_by_zone.items()}


def from_attachment(value: Any) -> dict[str, ZoneDigest]:
    """Return the digests of an attachment; none when there is no attachment."""
    return converter.structure(value or {}, dict[str, ZoneDigest])
