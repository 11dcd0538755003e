"""Faults of a cell in memory, by name."""

from mimosapoint.cell.tests._caller_faults import STOP_BOUND_SECONDS, caller_faults
from mimosapoint.cell.tests._fault_registry import CellFault
from mimosapoint.cell.tests._node_faults import node_faults
from mimosapoint.cell.tests._unseen_worker_faults import unseen_worker_faults
from mimosapoint.cell.tests._worker_faults import worker_faults

__all__ = ["STOP_BOUND_SECONDS", "CellFault", "faults_by_name"]

faults_by_name: dict[str, CellFault] = {
    **node_faults.by_name,
    **worker_faults.by_name,
    **caller_faults.by_name,
    **unseen_worker_faults.by_name,
}
