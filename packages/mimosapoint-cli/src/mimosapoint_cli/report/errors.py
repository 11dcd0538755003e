"""Errors of the report."""

import attrs

from mimosapoint_cli.errors import CliError, ExitCode

__all__ = [
    "BrokenLine",
    "InputUnreadable",
    "NothingToReport",
    "PlotLibraryMissing",
    "ReportNotWritten",
]


class InputUnreadable(CliError):
    """A log file or standard input cannot be read."""

    code = "input-unreadable"
    exit_code = ExitCode.BAD_INPUT


class NothingToReport(CliError):
    """The input has neither an event nor a metric."""

    code = "nothing-to-report"
    exit_code = ExitCode.BAD_INPUT


class PlotLibraryMissing(CliError):
    """The library that draws the plots is not installed."""

    code = "plot-library-missing"
    exit_code = ExitCode.BAD_INPUT


class ReportNotWritten(CliError):
    """The page cannot be written."""

    code = "report-not-written"
    exit_code = ExitCode.BAD_INPUT


@attrs.frozen
class BrokenLine(Exception):
    """A line is neither an event, nor a sample of a metric, nor a comment.

    It never ends a command; the reader counts and names the line.
    """

    reason: str
