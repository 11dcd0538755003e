"""Cell: a set of availability zones with one owner, whose jobs and ownership are in the store."""

from mimosapoint.cell.core import CellNode
from mimosapoint.cell.gateway import CellGateway, Submission
from mimosapoint.cell.report import CellReport
from mimosapoint.cell.settings import CellSettings

__all__ = ["CellGateway", "CellNode", "CellReport", "CellSettings", "Submission"]
