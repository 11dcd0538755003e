"""What a link to a worker asks and tells the owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from mimosapoint.ports import EndedRun, RunStatus
from mimosapoint.workload import RunEnd

if TYPE_CHECKING:
    from mimosapoint.cell.link import WorkerLink
    from mimosapoint.cell.units import Assignment

__all__ = ["LinkEvents"]


class LinkEvents(Protocol):
    """What a link tells the owner."""

    def may_order(self) -> bool:
        """Whether this node still owns the cell."""
        ...

    def fleet_size(self) -> int:
        """Return the number of workers that the owner talks to."""
        ...

    def is_unhurried(self) -> bool:
        """Whether this process has processor to spare, so that late answers are not its doing."""
        ...

    def adopt(self, link: WorkerLink, status: RunStatus) -> Assignment:
        """Take over a run that the link did not order."""
        ...

    def gone(self, assignment: Assignment, end: RunEnd, checkpoint: str, reason: str = "") -> None:
        """Note that a run is no longer on the worker."""
        ...

    def ended_unknown(self, link: WorkerLink, ended: EndedRun) -> None:
        """Note the end of a run that the link did not know."""
        ...

    async def store_ends(self, ended: tuple[EndedRun, ...]) -> None:
        """Return when the progress that the ends made is stored."""
        ...

    def changed(self) -> None:
        """Look again at what can be started."""
        ...

    def deposed(self, epoch: int) -> None:
        """Note that a worker obeys a newer owner."""
        ...
