"""Status of owned availability zones, as nodes exchange it by gossip."""

from typing import Any

import attrs

from mimosapoint.codec import from_value, to_value
from mimosapoint.scheduling import ZoneSummary

__all__ = ["ZONES_ATTACHMENT", "ZoneStatus", "decode_statuses", "encode_statuses"]

ZONES_ATTACHMENT = "zones"
"""Name of the gossip attachment."""


@attrs.frozen
class ZoneStatus:
    """Status of an owned availability zone.

    :param epoch: epoch of the owner.
    :param summary: free capacity and queue of the zone; ``None`` before the first decision.
    """

    epoch: int
    summary: ZoneSummary | None = None


def encode_statuses(statuses_by_zone: dict[str, ZoneStatus]) -> dict[str, Any]:
    """Return the JSON form of the statuses."""
    return {zone: to_value(status) for zone, status in statuses_by_zone.items()}


def decode_statuses(value: Any) -> dict[str, ZoneStatus]:
    """Return the statuses in an attachment, or an empty dict if there is no attachment.

    :raises CodecError: the attachment is malformed.
    """
    return from_value(value or {}, dict[str, ZoneStatus])
