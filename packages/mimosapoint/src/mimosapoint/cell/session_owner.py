"""What a link to a worker asks and tells the owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from mimosapoint.ports import EndedRun, RunStatus
from mimosapoint.workload import RunEnd

if TYPE_CHECKING:
    from mimosapoint.cell.units import TaskRun
    from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["SessionOwner"]


class SessionOwner(Protocol):
    """What a link tells the owner."""

    def holds_ownership(self) -> bool:
        """Whether this node still owns the cell."""
        ...

    def fleet_size(self) -> int:
        """Return the number of workers that the owner talks to."""
        ...

    def has_spare_cpu(self) -> bool:
        """Whether this process has processor to spare, so that late answers are not its doing."""
        ...

    def adopt_run(self, link: WorkerSession, status: RunStatus) -> TaskRun:
        """Take over a run that the link did not order."""
        ...

    def on_run_ended(
        self, assignment: TaskRun, end: RunEnd, checkpoint: str, reason: str = ""
    ) -> None:
        """Note that a run is no longer on the worker."""
        ...

    def on_unknown_run_ended(self, link: WorkerSession, ended: EndedRun) -> None:
        """Note the end of a run that the link did not know."""
        ...

    async def wait_ends_stored(self, ended: tuple[EndedRun, ...]) -> None:
        """Return when the progress that the ends made is stored."""
        ...

    def request_decision(self) -> None:
        """Look again at what can be started."""
        ...

    def on_fenced(self, epoch: int) -> None:
        """Note that a worker obeys a newer owner."""
        ...
