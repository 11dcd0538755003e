"""Scheduling loop: asks the policy for decisions and applies them."""

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
    """Return the refusal, or a failure if a task of the job may have started before."""
    if record.ever_started:
        return Failed(refusal.code, refusal.detail)
    return refusal


class Scheduler:
    """Schedules the jobs of one availability zone.

    Decisions are made after changes, and at least once per ``max_decision_interval``.

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
        """Request a decision."""
        self._changed.set()

    def on_job_ended(self, record: JobRecord) -> None:
        """Let the policy update its run-time estimates and failure counts from an ended job."""
        if self._policy is not None:
            self._policy.job_ended(record)

    async def run(self) -> None:
        """Make and apply decisions until cancelled."""
        settings = self._owner.dependencies.settings
        while True:
            with trio.move_on_after(settings.max_decision_interval.total_seconds()):
                await self._changed.wait()
            self._changed = trio.Event()
            await self._clock.sleep(settings.decision_batch_delay)
            self._refuse_past_start_deadline(self._clock.now())
            self._decide(self._view())

    def _refuse_past_start_deadline(self, now: datetime) -> None:
        """End the queued jobs whose start deadline has passed."""
        for record in self._owner.indexed_table.past_start_deadline(now):
            self._refuse(record.id, NotRun("start-deadline", "no start before start_by"))

    def _refuse(self, job_id: str, outcome: NotRun) -> None:
        record = self._owner.indexed_table.get(job_id)
        if record.state is JobState.QUEUED:
            self._owner.end_queued(job_id, _refusal_outcome(record, outcome))

    def _view(self) -> ZoneView:
        """Return the policy's view of the zone."""
        owner = self._owner
        configuration = owner.dependencies.configuration.current
        return ZoneView(
            zone=owner.zone,
            now=self._clock.now(),
            configuration=configuration,
            workers_by_id=owner.worker_inventory.views_by_id(),
            running_by_id=owner.indexed_table.allocated(),
            waiting=owner.indexed_table.placeable(),
            other_zones_by_id=self._other_zones(configuration),
        )

    def _other_zones(self, configuration: Configuration) -> dict[str, ZoneSummary]:
        """Return the known summaries of the other zones of the region."""
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
        """Decide and apply; drain the zone first if it is out of service.

        Nothing is decided while the zone is in service by a configuration that is not fresh.
        """
        self._summarize(view)
        start_gate = self._owner.start_gate
        if start_gate.in_service() and not start_gate.is_open():
            return
        policy = self._current_policy()
        if start_gate.in_service():
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
        """Update the summary for other nodes, at most once per ``SUMMARY_INTERVAL``."""
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
        for preemption in decision.preemptions:
            self._preempt(preemption)
        for assignment in decision.assignments:
            self._place(assignment)
        for move in decision.moves:
            self._owner.mover.move(move.job, move.zone)

    def _place(self, assignment: Assignment) -> None:
        """Start an attempt for a gang if its job is still queued and the workers have capacity."""
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
        """Return whether the job may be placed now.

        Its placement has to fit into its bucket of the job table; and store writes succeed, or
        the job may start before it is durable.
        """
        table = self._owner.indexed_table
        if not table.has_space_for_placement(record):
            return False
        return not table.writes_failing or may_start_before_durable(record)

    def _preempt(self, preemption: Preemption) -> None:
        self._telemetry.event("job-reclaimed", job=preemption.job, claimant=preemption.preemptor)
        self._owner.stop_job(preemption.job, "reclaim", timedelta(seconds=preemption.grace))

    def _drain(self, view: ZoneView, policy: Policy) -> None:
        """Stop running interruptible jobs in the policy's order as other zones have free slots.

        After ``DRAIN_TIMEOUT`` out of service they are stopped regardless of free slots. With the
        leaving mode ``finish`` nothing is stopped.
        """
        zone = view.configuration.zones_by_id.get(view.zone)
        if zone is not None and zone.leaving is LeavingMode.FINISH:
            return
        free_slots = self._free_slots_elsewhere(view)
        for job_id in policy.drain_order(view):
            request = view.running_by_id[job_id].request
            if not request.interruptible:
                continue
            free_slots -= request.gang * request.shape.slots
            if free_slots < 0 and view.now - self._last_in_service_at < DRAIN_TIMEOUT:
                return
            self._owner.stop_job(job_id, "zone-out", DRAIN_GRACE)

    def _free_slots_elsewhere(self, view: ZoneView) -> int:
        """Return the free slots of other zones, less those needed by waiting and stopping jobs."""
        zones = view.other_zones_by_id.values()
        free = sum(zone.free_slots for zone in zones if zone.in_service)
        leaving = [r for r in view.running_by_id.values() if r.stop_reason is not None]
        moving = (r.request for r in (*view.waiting, *leaving))
        return free - sum(request.gang * request.shape.slots for request in moving)
