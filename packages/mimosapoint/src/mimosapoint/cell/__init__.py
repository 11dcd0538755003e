"""Cell: a set of availability zones with one owner, whose jobs and ownership are in the store."""

from mimosapoint.cell.core import CellNode
from mimosapoint.cell.gateway import CellGateway
from mimosapoint.cell.report import CellReport
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.submission import Submission
from mimosapoint.cell.where import PROBE_JOB_ID, WhereReport, report_where

__all__ = [
    "PROBE_JOB_ID",
    "CellGateway",
    "CellNode",
    "CellReport",
    "CellSettings",
    "Submission",
    "WhereReport",
    "report_where",
]
