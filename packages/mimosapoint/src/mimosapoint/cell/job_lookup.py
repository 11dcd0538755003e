"""Stored jobs of callers, and the log of why there is none."""

from typing import TypeVar

from mimosapoint.cell.operators import OperatorView
from mimosapoint.codec import decode
from mimosapoint.errors import CodecError, JobNotFound, StoreTimeout
from mimosapoint.ports import Entry, KeyRead, Telemetry
from mimosapoint.workload import AcceptedJob, Queue

__all__ = ["JobLookup"]

T = TypeVar("T")


class JobLookup:
    """Decodes entries of the store and checks that a job belongs to a caller.

    :param view: configuration, whose version and age are logged.
    :param telemetry: receives an event for each job that is not found.
    """

    def __init__(self, view: OperatorView, telemetry: Telemetry):
        self._view = view
        self._telemetry = telemetry

    def decode(self, entry: Entry, kind: type[T]) -> T:
        """Decode an entry.

        :raises StoreTimeout: it is unreadable, so that what it holds is unknown.
        """
        try:
            return decode(entry.value, kind)
        except CodecError as error:
            self._telemetry.event("job-unreadable", key=entry.key, error=str(error))
            raise StoreTimeout(f"{entry.key} cannot be read") from error

    def require(
        self, found: KeyRead, workspace: str, job_id: str, queue: Queue | None = None
    ) -> Entry:
        """Return the entry of a job of the workspace.

        A queue may have become public, or ceased to be, since the job was accepted. Then the job
        has another workspace than its callers, or none.

        :param found: read of the job.
        :param queue: queue that the caller names, as it is now; ``None`` if the caller names none.
        :raises JobNotFound: there is no such job, or another workspace has it.
        """
        if found.entry is None:
            raise self.not_found(job_id, workspace, "absent", found.revision)
        record = self.decode(found.entry, AcceptedJob)
        is_of_queue = queue is not None and queue.name == record.queue
        is_open = is_of_queue and (queue.public or not record.tenant)
        if record.tenant != workspace and not is_open:
            raise self.not_found(job_id, workspace, "workspace", found.revision, record.tenant)
        return found.entry

    def not_found(
        self, job_id: str, workspace: str, reason: str, revision: int | None, owner: str = ""
    ) -> JobNotFound:
        """Log why a job is not found and return the error.

        :param workspace: workspace of the caller.
        :param reason: ``absent``, ``removed`` since it was read, or ``workspace``.
        :param revision: revision of the store at which that was read; ``None`` if it is not known.
        :param owner: workspace that has the job.
        """
        configuration = self._view.configuration
        self._telemetry.event(
            "job-not-found",
            job=job_id,
            reason=reason,
            workspace=workspace,
            owner=owner,
            revision=revision,
            version=configuration.version if configuration else None,
            view_age=self._view.age,
        )
        return JobNotFound("no such job")
