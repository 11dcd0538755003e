"""Port through which callers and operators reach the system."""

from datetime import timedelta
from typing import Any, Protocol

from mimosapoint.configuration import Configuration, Patch, PatchStatus
from mimosapoint.model import JobRequest, JobView

__all__ = ["JobApi", "OperatorApi"]


class JobApi(Protocol):
    """What callers may ask of any node."""

    async def submit(self, request: JobRequest, trace: str | None = None) -> JobView:
        """Accept a job; the same idempotency key gets the same job.

        :raises MimosapointError: the typed refusal; the job was then not accepted, except for
            :class:`~mimosapoint.errors.OutcomeUnknown`.
        """
        ...

    async def job(self, workspace: str, job_id: str) -> JobView:
        """Return a job.

        :raises JobNotFound: the workspace has no such job.
        """
        ...

    async def answer(self, workspace: str, job_id: str, wait: timedelta) -> JobView:
        """Return the job as soon as it has ended, or as it is after the wait."""
        ...

    async def cancel(self, workspace: str, job_id: str) -> JobView:
        """Cancel a job; cancelling an ended job changes nothing."""
        ...

    async def jobs(self, workspace: str) -> tuple[JobView, ...]:
        """Return the jobs of a workspace, oldest first."""
        ...


class OperatorApi(Protocol):
    """What operators may ask of any node."""

    async def configuration(self, version: int | None = None) -> Configuration:
        """Return the configuration in force here, or an earlier version.

        :raises PatchNotFound: that version is not kept.
        """
        ...

    async def patch(self, patch: Patch) -> PatchStatus:
        """Apply a patch, or return the verdict that its id got before.

        :raises ConfigurationStale: the base is not the current version.
        :raises ConfigurationInvalid: the result would be invalid; every reason is listed.
        """
        ...

    async def patch_status(self, patch_id: str) -> PatchStatus:
        """Return a patch's verdict and the nodes that have it in force.

        :raises PatchNotFound: no such patch is kept.
        """
        ...

    def history(self) -> tuple[PatchStatus, ...]:
        """Return the verdicts on patches that are kept, oldest first."""
        ...

    async def status(self) -> dict[str, Any]:
        """Return what this node knows of the nodes, availability zones and the store."""
        ...

    def ready(self) -> bool:
        """Whether the node may serve callers."""
        ...
