"""Ownership of availability zones: claims, handover and the directory of owners."""

from mimosapoint.ownership.claim import ClaimContext, OwnerRecord, ZoneClaim, claim_zone, read_owner
from mimosapoint.ownership.directory import ZoneDirectory
from mimosapoint.ownership.manager import OwnershipManager
from mimosapoint.ownership.messages import TakeZone
from mimosapoint.ownership.settings import OwnershipSettings

__all__ = [
    "ClaimContext",
    "OwnerRecord",
    "OwnershipManager",
    "OwnershipSettings",
    "TakeZone",
    "ZoneClaim",
    "ZoneDirectory",
    "claim_zone",
    "read_owner",
]
