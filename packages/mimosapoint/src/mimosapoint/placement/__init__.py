"""Owner of an availability zone: its job queue, its workers and the gangs that run there."""

from mimosapoint.placement.attempt import Attempt
from mimosapoint.placement.commands import Gang, GangCommands
from mimosapoint.placement.dependencies import ZoneOwnerDependencies
from mimosapoint.placement.feasibility import check_feasible, largest_gang
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.placement.lease_renewer import LeaseHolder, LeaseRenewer
from mimosapoint.placement.owner import ZoneOwner
from mimosapoint.placement.report_cache import ReportCache
from mimosapoint.placement.settings import ZoneOwnerSettings
from mimosapoint.placement.start_gate import StartGate
from mimosapoint.placement.worker_inventory import WorkerInventory

__all__ = [
    "Attempt",
    "Gang",
    "GangCommands",
    "LeaseHolder",
    "IndexedJobTable",
    "ZoneOwnerDependencies",
    "ZoneOwnerSettings",
    "WorkerInventory",
    "StartGate",
    "ReportCache",
    "LeaseRenewer",
    "ZoneOwner",
    "check_feasible",
    "largest_gang",
]
