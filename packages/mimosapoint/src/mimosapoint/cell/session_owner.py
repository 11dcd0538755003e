"""Interface of the owner for its worker sessions."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Protocol

from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.ports import EndedRun, RunStatus
from mimosapoint.workload import RunEnd

if TYPE_CHECKING:
    from mimosapoint.cell.crash_blame import CrashBlame
    from mimosapoint.cell.decisions.units import TaskRun

__all__ = ["SessionOwner"]


class SessionOwner(Protocol):
    """Owner of a cell, as its worker sessions use it.

    :param crash_blame: attributes the losses of workers to tasks.
    """

    crash_blame: CrashBlame

    @property
    def valid_until(self) -> datetime:
        """Time up to which this node certainly owns the cell, as known by now."""
        ...

    def holds_ownership(self) -> bool:
        """Return whether this node still owns the cell."""
        ...

    def may_start_on(self, worker: Worker) -> bool:
        """Return whether a start that was decided earlier may still be ordered on a worker."""
        ...

    def may_renew_leases(self) -> bool:
        """Return whether this node may renew the leases of the workers."""
        ...

    def fleet_size(self) -> int:
        """Return the number of worker sessions."""
        ...

    def has_spare_cpu(self) -> bool:
        """Return whether this process has spare CPU time and does not itself delay replies."""
        ...

    def adopt_run(self, worker: Worker, status: RunStatus) -> TaskRun:
        """Adopt a reported run that the session did not order, or stop it if it is unwanted."""
        ...

    def on_run_confirmed(self, task_run: TaskRun) -> None:
        """Handle a run that its worker has begun, as its reply or report shows."""
        ...

    def on_run_ended(
        self, task_run: TaskRun, end: RunEnd, checkpoint: str, reason: str = ""
    ) -> None:
        """Handle a run that is no longer on its worker."""
        ...

    def on_silent(self, worker: Worker) -> None:
        """Handle a worker that does not reply."""
        ...

    def on_unknown_run_ended(self, worker: Worker, ended: EndedRun) -> None:
        """Handle the reported end of a run that the session does not know."""
        ...

    async def wait_ends_stored(self, ended: tuple[EndedRun, ...]) -> None:
        """Wait until the progress that results from the ended runs is stored."""
        ...

    def request_decision(self) -> None:
        """Request a new scheduling decision."""
        ...

    def on_fenced(self, token: int) -> None:
        """Handle the refusal of a renewal for its fencing token.

        :param token: the newer fencing token, or a lower bound of it.
        """
        ...
