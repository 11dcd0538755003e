"""Reads of the phase of ended jobs while the store is away, from what the owner has stored."""

from __future__ import annotations

from collections.abc import Callable

from mimosapoint.cell.decisions.units import Job
from mimosapoint.cell.operators import OperatorView
from mimosapoint.cell.settings import CellSettings
from mimosapoint.ports import Clock, Telemetry
from mimosapoint.workload import Phase

__all__ = ["OutageReads"]


class OutageReads:
    """Answers with the phase of jobs whose end this node, as the owner, has stored or loaded.

    A stored end holds whoever owns the cell now. An end that is only in this node's memory does
    not: without this node and the worker that reported it, the next owner starts the task again.
    Other phases may change without this node.

    :param view: configuration, by which callers are authenticated even after it is no longer fresh.
    :param find_job: returns a job of this node's ownership; ``None`` if there is none.
    :param clock: clock of the node.
    :param settings: freshness bound, the outage that running work should outlive, and the retention
        time of jobs.
    :param telemetry: receives an event for each answer.
    """

    def __init__(
        self,
        view: OperatorView,
        find_job: Callable[[str], Job | None],
        clock: Clock,
        settings: CellSettings,
        telemetry: Telemetry,
    ):
        self._view = view
        self._find_job = find_job
        self._clock = clock
        self._retention = settings.retention
        self._max_age = settings.freshness_bound + settings.orphan_renewal_time
        self._telemetry = telemetry

    def phase(self, host: str, path: str, key: str | None) -> Phase | None:
        """Return the phase of a job whose end is stored, or ``None`` if this node cannot tell it.

        :param host: host that the request names.
        :param path: path of the request.
        :param key: API key of the caller, if any.
        """
        age = self._view.age
        if self._view.configuration is None or age is None or age > self._max_age:
            return None
        queue = self._view.configuration.find_queue(host, path)
        if queue is None:
            return None
        job = self._find_job(path.removeprefix(queue.prefix))
        if job is None or not job.stored_phase.ended or self._may_be_removed(job):
            return None
        if job.record.tenant != self._workspace_of(queue.public, key):
            return None
        self._telemetry.event(
            "phase-read-in-outage",
            job=job.record.id,
            phase=job.stored_phase,
            revision=job.progress_rev,
            view_age=age,
        )
        self._telemetry.count("cell_reads_in_outage")
        return job.stored_phase

    def _may_be_removed(self, job: Job) -> bool:
        """Return whether a removal may have taken effect without a reply.

        The id may then be that of a later job.
        """
        return job.ended_at is None or self._clock.now() >= job.ended_at + self._retention

    def _workspace_of(self, is_public: bool, key: str | None) -> str | None:
        if is_public:
            return ""
        workspace = self._view.configuration.find_workspace(key) if key else None
        return workspace.name if workspace else None
