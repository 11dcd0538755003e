"""Log of the jobs that stand still although their service and workspace have room to spare."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

from mimosapoint.cell.decisions.ample_room import AmpleRoom, stands_still
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.cell.explain import WaitExplanation
from mimosapoint.ports import Telemetry

__all__ = ["StandingJobs"]

MIN_WAIT = timedelta(seconds=2)
"""Wait from which a job is logged; callers take it for lost after three seconds."""

CHECK_INTERVAL = timedelta(seconds=1)
"""Minimum interval between two checks."""

REPEAT_INTERVAL = timedelta(seconds=5)
"""Interval at which a job is logged again for the same reason."""

MAX_EXPLAINED = 10
"""Most jobs that one check explains. An explanation looks at every worker."""


class StandingJobs:
    """Logs why jobs stand still beside ample room.

    :param explain: returns why a waiting unit has not started.
    :param telemetry: receives the events.
    """

    def __init__(self, explain: Callable[[Unit], WaitExplanation], telemetry: Telemetry):
        self._explain = explain
        self._telemetry = telemetry
        self._checked_at: datetime | None = None
        self._logged_by_job: dict[str, tuple[str, datetime]] = {}
        self._room = AmpleRoom()

    def update(
        self, jobs: Iterable[Job], update_room: Callable[[AmpleRoom], None], now: datetime
    ) -> None:
        """Log the jobs that stand still, at most once in each interval.

        :param jobs: the jobs that have not ended.
        :param update_room: updates which services and workspaces have ample room.
        :param now: present time.
        """
        if self._checked_at is not None and now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        update_room(self._room)
        overdue = [
            unit
            for job in jobs
            if (unit := _longest_waiting(job)) is not None
            and self._standstill(unit, now) >= MIN_WAIT
        ]
        self._telemetry.gauge("cell_standing_jobs", len(overdue))
        ids = {unit.id.job for unit in overdue}
        for job in [job for job in self._logged_by_job if job not in ids]:
            del self._logged_by_job[job]
        overdue.sort(key=lambda unit: unit.since)
        for unit in overdue[:MAX_EXPLAINED]:
            self._log(unit, now)

    def _standstill(self, unit: Unit, now: datetime) -> timedelta:
        """Return for how long a unit has waited beside ample room."""
        since = self._room.since(unit)
        return now - max(since, unit.since) if since is not None else timedelta(0)

    def _log(self, unit: Unit, now: datetime) -> None:
        explanation = self._explain(unit)
        reason = explanation.reason.value
        logged = self._logged_by_job.get(unit.id.job)
        if logged is not None and logged[0] == reason and now - logged[1] < REPEAT_INTERVAL:
            return
        self._logged_by_job[unit.id.job] = (reason, now)
        self._telemetry.event(
            "job-stands-still",
            job=unit.id.job,
            unit=unit.id,
            workspace=unit.job.record.tenant,
            waited=round((now - unit.since).total_seconds(), 3),
            beside_room=round(self._standstill(unit, now).total_seconds(), 3),
            reason=reason,
            detail=explanation.detail,
        )


def _longest_waiting(job: Job) -> Unit | None:
    """Return the unit that has waited longest of a job without runs; ``None`` if it has runs."""
    if not stands_still(job):
        return None
    waiting = [unit for unit in job.units_by_id.values() if unit.state is UnitState.WAITING]
    return min(waiting, key=lambda unit: unit.since, default=None)
