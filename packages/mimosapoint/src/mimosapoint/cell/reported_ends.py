"""Ended runs that one incarnation of a worker has reported."""

from collections.abc import Iterable, Iterator

import attrs

from mimosapoint.ports import EndedRun

__all__ = ["ReportedEnds"]


@attrs.define
class ReportedEnds:
    """Numbers of the ends that one incarnation has reported, which it counts from 1 on.

    :param last_reported: highest number that was reported.
    :param last_stored: highest number up to which the resulting progress is stored.
    """

    last_reported: int = 0
    last_stored: int = 0

    @property
    def are_stored(self) -> bool:
        """Whether the progress that results from all of them is stored."""
        return self.last_reported <= self.last_stored

    def record(self, ended: Iterable[EndedRun]) -> Iterator[EndedRun]:
        """Record reported ends and yield those that are not stored."""
        for each in ended:
            self.last_reported = max(self.last_reported, each.number)
            if each.number > self.last_stored:
                yield each

    def record_stored(self, number: int) -> None:
        """Record that the progress of the ends up to a number is stored."""
        self.last_stored = max(self.last_stored, number)
