"""Loop that asks the policy for decisions and carries them out."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import attrs
import trio

from mimosapoint.configuration import LeavingMode, ZoneMode
from mimosapoint.model import Failed, JobRecord, JobState, NotRun, Outcome, Placement
from mimosapoint.placement.fits import allowed_zones
from mimosapoint.scheduling import Assignment, Decision, Policy, Reclaim, ZoneView, make_policy

if TYPE_CHECKING:
    from mimosapoint.placement.owner import ZoneOwner

__all__ = ["Scheduler"]

DRAIN_GRACE = timedelta(seconds=5)
HOLDING_STATES = (JobState.PLACED, JobState.RUNNING, JobState.STOPPING)


def _honest(record: JobRecord, refusal: NotRun) -> Outcome:
    """Return the refusal, or a failure when part of the job has run before."""
    if record.ever_started:
        return Failed(refusal.code, refusal.detail)
    return refusal


class Scheduler:
    """Decides for one availability zone whenever something has changed.

    :param owner: owner of the zone.
    """

    def __init__(self, owner: ZoneOwner):
        self._owner = owner
        self._clock = owner.parts.clock
        self._telemetry = owner.parts.telemetry
        self._changed = trio.Event()
        self._policy_name = ""
        self._policy: Policy | None = None

    def wake(self) -> None:
        """Decide soon."""
        self._changed.set()

    def ended(self, record: JobRecord) -> None:
        """Let the policy learn from an ended job."""
        if self._policy is not None:
            self._policy.ended(record)

    async def run(self) -> None:
        """Decide until cancelled."""
        settings = self._owner.parts.settings
        while True:
            with trio.move_on_after(settings.decision_interval.total_seconds()):
                await self._changed.wait()
            self._changed = trio.Event()
            await self._clock.sleep(settings.decision_pause)
            self._give_up_late(self._clock.now())
            if self._owner.permit.in_service():
                self._decide()
            else:
                self._leave()

    def _give_up_late(self, now: datetime) -> None:
        """End waiting jobs whose latest start has passed."""
        for record in self._owner.ledger.queued():
            start_by = record.request.start_by
            if start_by is not None and start_by <= now:
                self._refuse(record.id, NotRun("start-deadline", "no start before start_by"))

    def _refuse(self, job_id: str, outcome: NotRun) -> None:
        record = self._owner.ledger.get(job_id)
        if record.state is JobState.QUEUED:
            self._owner.end_waiting(job_id, _honest(record, outcome))

    def view(self) -> ZoneView:
        """Return the zone as the policy sees it."""
        records = self._owner.ledger.records()
        return ZoneView(
            zone=self._owner.zone,
            now=self._clock.now(),
            configuration=self._owner.parts.configuration.current,
            workers_by_id=self._owner.roster.views_by_id(),
            running_by_id={r.id: r for r in records if r.state in HOLDING_STATES},
            waiting=self._owner.ledger.queued(),
        )

    def _decide(self) -> None:
        if not self._owner.permit.given():
            return
        decision = self._current_policy().decide(self.view())
        self._apply(decision)

    def _current_policy(self) -> Policy:
        name = self._owner.parts.configuration.current.policies.scheduling
        if self._policy is None or name != self._policy_name:
            self._policy = make_policy(name)
            self._policy_name = name
        return self._policy

    def _apply(self, decision: Decision) -> None:
        for refusal in decision.refusals:
            outcome = NotRun(refusal.code, refusal.detail, refusal.retry_after)
            self._refuse(refusal.job, outcome)
        for reclaim in decision.reclaims:
            self._reclaim(reclaim)
        for assignment in decision.assignments:
            self._place(assignment)
        for move in decision.moves:
            self._owner.mover.move(move.job, move.zone)

    def _place(self, assignment: Assignment) -> None:
        """Place a gang if it is still waiting and fits."""
        record = self._owner.ledger.find(assignment.job)
        if record is None or record.state is not JobState.QUEUED:
            return
        if not self._owner.roster.has_room(assignment.workers, record.request.shape):
            self._telemetry.event("placement-stale", job=record.id)
            return
        attempt = record.placement.attempt + 1 if record.placement else 1
        boots = tuple(self._owner.board.boot(worker) or "" for worker in assignment.workers)
        placement = Placement(attempt, assignment.workers, assignment.guarantee, boots)
        self._owner.start_attempt(
            attrs.evolve(record, state=JobState.PLACED, placement=placement, started_at=None)
        )

    def _reclaim(self, reclaim: Reclaim) -> None:
        self._telemetry.event("job-reclaimed", job=reclaim.job, claimant=reclaim.claimant)
        self._owner.stop_job(reclaim.job, "reclaim", timedelta(seconds=reclaim.grace))

    def _leave(self) -> None:
        """Empty a zone that is out of service."""
        configuration = self._owner.parts.configuration.current
        zone = configuration.zones_by_id.get(self._owner.zone)
        if zone is None or zone.leaving is LeavingMode.CHECKPOINT_AND_MOVE:
            for record in self._owner.ledger.records():
                if record.state is JobState.RUNNING and record.request.interruptible:
                    self._owner.stop_job(record.id, "zone-out", DRAIN_GRACE)
        for record in self._owner.ledger.queued():
            target = self._target(record)
            if target is not None:
                self._owner.mover.move(record.id, target)

    def _target(self, record: JobRecord) -> str | None:
        """Return another zone that may run the job, the least loaded first."""
        configuration = self._owner.parts.configuration.current
        if record.request.workspace not in configuration.workspaces_by_id:
            return None
        zones = [
            id
            for id, zone in allowed_zones(record.request, configuration).items()
            if zone.mode is ZoneMode.IN_SERVICE and id != self._owner.zone
        ]
        if not zones:
            return None
        return min(zones, key=lambda zone: (self._owner.parts.load_of(zone), zone))
