"""Which node owns which availability zone."""

from mimosapoint.ownership.claim import Claimant, OwnerRecord, claim_zone, read_owner
from mimosapoint.ownership.directory import ZoneDirectory
from mimosapoint.ownership.keeper import OwnershipKeeper
from mimosapoint.ownership.messages import TakeZone
from mimosapoint.ownership.settings import OwnershipSettings

__all__ = [
    "Claimant",
    "OwnerRecord",
    "OwnershipKeeper",
    "OwnershipSettings",
    "TakeZone",
    "ZoneDirectory",
    "claim_zone",
    "read_owner",
]
