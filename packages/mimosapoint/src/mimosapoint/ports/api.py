"""Port through which callers and operators use the system."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    # Nodes of a cell start without these packages, which take a third of the time of all imports.
    from mimosapoint.configuration import Configuration, Patch, PatchStatus
    from mimosapoint.model import JobRequest, JobView

__all__ = ["JobApi", "OperatorApi"]


class JobApi(Protocol):
    """Operations that every node offers to callers."""

    async def submit(self, request: JobRequest, trace: str | None = None) -> JobView:
        """Accept a job; a repeated idempotency key returns the job accepted before.

        :raises MimosapointError: the job was not accepted, or, with
            :class:`~mimosapoint.errors.OutcomeUnknown`, may have been.
        """
        ...

    async def job(self, workspace: str, job_id: str) -> JobView:
        """Return a job.

        :raises JobNotFound: the workspace has no such job.
        """
        ...

    async def wait_for_outcome(self, workspace: str, job_id: str, wait: timedelta) -> JobView:
        """Wait until a job has ended and return it.

        :param wait: timeout, after which the job is returned in its current state.
        """
        ...

    async def cancel(self, workspace: str, job_id: str) -> JobView:
        """Cancel a job; no effect on a job that has ended."""
        ...

    async def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs of a workspace, oldest first."""
        ...


class OperatorApi(Protocol):
    """Operations that every node offers to operators."""

    async def configuration(self, version: int | None = None) -> Configuration:
        """Return the configuration in force on this node, or an earlier version.

        :raises PatchNotFound: the version is not kept.
        """
        ...

    async def patch(self, patch: Patch) -> PatchStatus:
        """Apply a patch, or return the recorded status of an earlier patch with its id.

        :raises ConfigurationStale: the base is not the current version.
        :raises ConfigurationInvalid: the result would be invalid; the error lists every reason.
        """
        ...

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return the status of a patch and the nodes on which it is in force.

        :raises PatchNotFound: no such patch is kept.
        """
        ...

    def patch_history(self) -> tuple[PatchStatus, ...]:
        """Return the status of each patch that is kept, oldest first."""
        ...

    async def status(self) -> dict[str, Any]:
        """Return this node's view of the nodes, the availability zones and the store."""
        ...

    def ready(self) -> bool:
        """Return whether the node may serve callers."""
        ...
