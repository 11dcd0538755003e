"""Ended runs that one incarnation of a worker has reported."""

from collections.abc import Iterator

import attrs

from mimosapoint.cell.order_token import OrderTokens
from mimosapoint.ports import EndedRun, Telemetry, WorkerRunReport

__all__ = ["ReportedEnds"]


@attrs.define
class ReportedEnds:
    """Numbers of the ends that one incarnation has reported, which it counts from 1 on.

    :param worker: id of the worker, for logs.
    :param epoch: epoch of the ownership, for logs.
    :param telemetry: logs and metrics.
    :param last_reported: highest number that was reported.
    :param last_stored: highest number up to which the resulting progress is stored.
    """

    worker: str
    epoch: int
    telemetry: Telemetry = attrs.field(repr=False)
    last_reported: int = 0
    last_stored: int = 0

    @property
    def are_stored(self) -> bool:
        """Whether the progress that results from all of them is stored."""
        return self.last_reported <= self.last_stored

    def record(self, report: WorkerRunReport) -> Iterator[EndedRun]:
        """Record the ends of a report and yield those that are not stored."""
        last_reported = self.last_reported
        for each in report.ended:
            self.last_reported = max(self.last_reported, each.number)
            if each.number > self.last_stored:
                yield each
        if self.last_reported > last_reported:
            self._log("ends-reported", report, self.last_reported)

    def record_stored(self, report: WorkerRunReport) -> None:
        """Record that the progress of the ends of a report is stored."""
        number = report.ended[-1].number
        if number > self.last_stored:
            self.last_stored = number
            self._log("ends-stored", report, number)

    def acknowledge(self, tokens: OrderTokens) -> int:
        """Return up to which number the incarnation may forget its ends; 0 for none.

        :param tokens: tokens of the renewal that is sent with it, and of the starts after it.
        """
        if self.last_stored:
            tokens.record_acknowledgement()
        return self.last_stored

    def _log(self, event: str, report: WorkerRunReport, number: int) -> None:
        fields = {"worker": self.worker, "born": report.born, "epoch": self.epoch}
        self.telemetry.event(event, **fields, number=number)
