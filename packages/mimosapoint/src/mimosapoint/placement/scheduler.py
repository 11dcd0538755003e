"""Loop that asks the policy for decisions and carries them out."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import attrs
import trio

from mimosapoint.configuration import Configuration, LeavingMode, ZoneMode
from mimosapoint.model import Failed, JobRecord, JobState, NotRun, Outcome, Placement
from mimosapoint.placement.gang_start import may_start_before_durable
from mimosapoint.scheduling import (
    Assignment,
    Decision,
    Policy,
    Preemption,
    ZoneSummary,
    ZoneView,
    make_policy,
    summarize,
)

if TYPE_CHECKING:
    from mimosapoint.placement.owner import ZoneOwner

__all__ = ["Scheduler"]

DRAIN_GRACE = timedelta(seconds=5)
DRAIN_TIMEOUT = timedelta(seconds=60)
SUMMARY_INTERVAL = timedelta(milliseconds=500)


def _refusal_outcome(record: JobRecord, refusal: NotRun) -> Outcome:
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
        self._clock = owner.dependencies.clock
        self._telemetry = owner.dependencies.telemetry
        self._changed = trio.Event()
        self._policy_name = ""
        self._policy: Policy | None = None
        self._summarized_at = self._clock.now()
        self._last_in_service_at = self._clock.now()
        self.summary: ZoneSummary | None = None

    def wake(self) -> None:
        """Decide soon."""
        self._changed.set()

    def on_job_ended(self, record: JobRecord) -> None:
        """Let the policy learn from an ended job."""
        if self._policy is not None:
            self._policy.job_ended(record)

    async def run(self) -> None:
        """Decide until cancelled."""
        settings = self._owner.dependencies.settings
        while True:
            with trio.move_on_after(settings.max_decision_interval.total_seconds()):
                await self._changed.wait()
            self._changed = trio.Event()
            await self._clock.sleep(settings.decision_batch_delay)
            self._refuse_past_start_deadline(self._clock.now())
            self._decide(self._view())

    def _refuse_past_start_deadline(self, now: datetime) -> None:
        """End waiting jobs whose latest start has passed."""
        for record in self._owner.indexed_table.past_start_deadline(now):
            self._refuse(record.id, NotRun("start-deadline", "no start before start_by"))

    def _refuse(self, job_id: str, outcome: NotRun) -> None:
        record = self._owner.indexed_table.get(job_id)
        if record.state is JobState.QUEUED:
            self._owner.end_queued(job_id, _refusal_outcome(record, outcome))

    def _view(self) -> ZoneView:
        """Return the zone as the policy sees it."""
        owner = self._owner
        configuration = owner.dependencies.configuration.current
        return ZoneView(
            zone=owner.zone,
            now=self._clock.now(),
            configuration=configuration,
            workers_by_id=owner.worker_inventory.views_by_id(),
            running_by_id=owner.indexed_table.allocated(),
            waiting=owner.indexed_table.queued(),
            other_zones_by_id=self._other_zones(configuration),
        )

    def _other_zones(self, configuration: Configuration) -> dict[str, ZoneSummary]:
        """Return what is known of the other zones of the region."""
        zone = configuration.zones_by_id.get(self._owner.zone)
        if zone is None:
            return {}
        region = configuration.zones_of(zone.region)
        summaries = self._owner.dependencies.summaries_by_zone()
        return {
            id: attrs.evolve(summary, in_service=region[id].mode is ZoneMode.IN_SERVICE)
            for id, summary in summaries.items()
            if id in region and id != self._owner.zone
        }

    def _decide(self, view: ZoneView) -> None:
        """Decide while starts are allowed, or empty a zone that is out of service."""
        self._summarize(view)
        permit = self._owner.start_gate
        if permit.in_service() and not permit.is_open():
            return
        policy = self._current_policy()
        if permit.in_service():
            self._last_in_service_at = view.now
        else:
            self._drain(view, policy)
        decision = policy.decide(view)
        self._apply(decision)
        if decision.truncated:
            self.wake()

    def summary_with_age(self) -> ZoneSummary | None:
        """Return the last summary with its age, or ``None`` before the first decision."""
        if self.summary is None:
            return None
        age = self._clock.now() - self._summarized_at
        return attrs.evolve(self.summary, age=age.total_seconds())

    def _summarize(self, view: ZoneView) -> None:
        """Renew what other nodes are told, at most once in each interval."""
        if self.summary is None or view.now - self._summarized_at >= SUMMARY_INTERVAL:
            self.summary = summarize(view)
            self._summarized_at = view.now

    def _current_policy(self) -> Policy:
        name = self._owner.dependencies.configuration.current.policies.scheduling
        if self._policy is None or name != self._policy_name:
            self._policy = make_policy(name)
            self._policy_name = name
        return self._policy

    def _apply(self, decision: Decision) -> None:
        for refusal in decision.refusals:
            outcome = NotRun(refusal.code, refusal.detail, refusal.retry_after)
            self._refuse(refusal.job, outcome)
        for reclaim in decision.preemptions:
            self._preempt(reclaim)
        for assignment in decision.assignments:
            self._place(assignment)
        for move in decision.moves:
            self._owner.mover.move(move.job, move.zone)

    def _place(self, assignment: Assignment) -> None:
        """Place a gang if it is still waiting and fits."""
        record = self._owner.indexed_table.find(assignment.job)
        if record is None or record.state is not JobState.QUEUED or not self._may_place(record):
            return
        if not self._owner.worker_inventory.can_allocate(assignment.workers, record.request.shape):
            self._telemetry.event("placement-stale", job=record.id)
            return
        attempt = record.placement.attempt + 1 if record.placement else 1
        boots = tuple(
            self._owner.report_cache.incarnation(worker) or "" for worker in assignment.workers
        )
        placement = Placement(attempt, assignment.workers, assignment.guarantee, boots)
        self._owner.start_attempt(
            attrs.evolve(record, state=JobState.PLACED, placement=placement, started_at=None)
        )

    def _may_place(self, record: JobRecord) -> bool:
        """Whether the placement can be recorded, or need not be."""
        return not self._owner.indexed_table.writes_failing or may_start_before_durable(record)

    def _preempt(self, reclaim: Preemption) -> None:
        self._telemetry.event("job-reclaimed", job=reclaim.job, claimant=reclaim.preemptor)
        self._owner.stop_job(reclaim.job, "reclaim", timedelta(seconds=reclaim.grace))

    def _drain(self, view: ZoneView, policy: Policy) -> None:
        """Stop running work of a zone that is out, in the policy's order, as there is room."""
        zone = view.configuration.zones_by_id.get(view.zone)
        if zone is not None and zone.leaving is LeavingMode.FINISH:
            return
        room = self._free_slots_elsewhere(view)
        for job_id in policy.drain_order(view):
            request = view.running_by_id[job_id].request
            if not request.interruptible:
                continue
            room -= request.gang * request.shape.slots
            if room < 0 and view.now - self._last_in_service_at < DRAIN_TIMEOUT:
                return
            self._owner.stop_job(job_id, "zone-out", DRAIN_GRACE)

    def _free_slots_elsewhere(self, view: ZoneView) -> int:
        """Return the free slots of other zones, less those of jobs that are on their way."""
        zones = view.other_zones_by_id.values()
        free = sum(zone.free_slots for zone in zones if zone.in_service)
        leaving = [r for r in view.running_by_id.values() if r.stop_reason is not None]
        moving = (r.request for r in (*view.waiting, *leaving))
        return free - sum(request.gang * request.shape.slots for request in moving)
