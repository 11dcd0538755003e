"""Report of a day: one page with plots, from the logs and metrics of nodes."""

from mimosapoint_cli.report.command import ReportSummary, write_report
from mimosapoint_cli.report.errors import (
    InputUnreadable,
    NothingToReport,
    PlotLibraryMissing,
    ReportNotWritten,
)

__all__ = [
    "InputUnreadable",
    "NothingToReport",
    "PlotLibraryMissing",
    "ReportNotWritten",
    "ReportSummary",
    "write_report",
]
