"""What a node tells the others of the availability zones that it owns."""

from typing import Any

import attrs

from mimosapoint.codec import from_value, to_value
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZONES_ATTACHMENT", "ZoneStatus", "decode_statuses", "encode_statuses"]

ZONES_ATTACHMENT = "zones"
"""Name of the attachment in the gossip."""


@attrs.frozen
class ZoneStatus:
    """State of an owned availability zone.

    :param epoch: epoch of the owner.
    :param summary: room and queue of the zone; ``None`` before the first decision.
    """

    epoch: int
    summary: ZoneSummary | None = None


def encode_statuses(digests_by_zone: dict[str, ZoneStatus]) -> dict[str, Any]:
    """Return the JSON form of the digests."""
    return {zone: to_value(digest) for zone, digest in digests_by_zone.items()}


def decode_statuses(value: Any) -> dict[str, ZoneStatus]:
    """Return the digests of an attachment; none when there is no attachment.

    :raises CodecError: the attachment is malformed.
    """
    return from_value(value or {}, dict[str, ZoneStatus])
