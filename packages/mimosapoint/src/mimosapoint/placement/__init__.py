"""Owning an availability zone: its queue, its workers and the gangs that run there."""

from mimosapoint.placement.attempt import Attempt
from mimosapoint.placement.board import TaskBoard
from mimosapoint.placement.commands import Gang, GangCommands
from mimosapoint.placement.fits import check_fits, largest_gang
from mimosapoint.placement.ledger import Ledger
from mimosapoint.placement.link import Holder, WorkerLink
from mimosapoint.placement.owner import ZoneOwner
from mimosapoint.placement.parts import OwnerParts
from mimosapoint.placement.permit import StartPermit
from mimosapoint.placement.roster import Roster
from mimosapoint.placement.settings import OwnerSettings

__all__ = [
    "Attempt",
    "Gang",
    "GangCommands",
    "Holder",
    "Ledger",
    "OwnerParts",
    "OwnerSettings",
    "Roster",
    "StartPermit",
    "TaskBoard",
    "WorkerLink",
    "ZoneOwner",
    "check_fits",
    "largest_gang",
]
