"""Carrying out of plans: reclaims, room held for claimants, assignments."""

from datetime import timedelta

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._decision_builder import CapacityHold, DecisionBuilder, PolicyOptions
from mimosapoint.scheduling._vectors import ResourceVector, fits
from mimosapoint.scheduling._waiting_queue import EquivalenceClass, WaitingQueue
from mimosapoint.scheduling._zone_state import ZoneState
from mimosapoint.scheduling.preemption import PreemptionPlan
from mimosapoint.scheduling.reservations import Reservation
from mimosapoint.scheduling.view import Assignment, Preemption, ZoneView

__all__ = ["PolicyState"]

HOLD_MARGIN = 3.0
"""Seconds beyond the grace for which reclaimed room is kept for its claimant."""

MAX_URGENT_GRACE = 1.0
"""Most seconds that a borrower gets to checkpoint when urgent work waits."""


class PolicyState:
    """State of a policy between decisions, and the steps that change it."""

    options = PolicyOptions()

    def __init__(self) -> None:
        self._ledger = ZoneState()
        self._queue = WaitingQueue()
        self._holds: dict[str, CapacityHold] = {}
        self._reservations: dict[str, Reservation] = {}
        self._blocked: set[EquivalenceClass] = set()
        self._view: ZoneView | None = None

    def _use_holds(self, draft: DecisionBuilder) -> None:
        """Place the gangs whose room has come free, and give up late plans."""
        for job, hold in list(self._holds.items()):
            record = self._queue.records_by_id.get(job)
            if record is None or self._view.now > hold.expires_at or not self._workers_usable(hold):
                self._drop_hold(job)
            elif self._fits_free(hold.plan.resources_by_worker):
                self._drop_hold(job)
                plan = hold.plan
                self._assign(draft, record, plan.workers, plan.resources_by_worker, plan.guarantee)

    def _workers_usable(self, hold: CapacityHold) -> bool:
        return all(worker in self._ledger.free for worker in hold.plan.resources_by_worker)

    def _fits_free(self, taken: dict[str, ResourceVector]) -> bool:
        return all(fits(amount, self._ledger.free[worker]) for worker, amount in taken.items())

    def _drop_hold(self, job: str) -> None:
        hold = self._holds.pop(job)
        self._ledger.release(hold.workspace, hold.plan.resources_by_worker, hold.non_preemptible)
        self._blocked.clear()

    def _drop_holds(self) -> None:
        for job in list(self._holds):
            self._drop_hold(job)

    def _may_borrow(self, kind: EquivalenceClass) -> bool:
        workspace = self._view.configuration.workspaces_by_id.get(kind.workspace)
        return workspace is None or workspace.may_borrow

    def _start_preemption(
        self, draft: DecisionBuilder, record: JobRecord, plan: PreemptionPlan
    ) -> bool:
        """Stop the victims and keep the room for the claimant."""
        self._drop_reservation(record.id)
        longest = 0.0
        for victim in plan.victims:
            grace = self._grace(victim.record, record)
            longest = max(longest, grace)
            draft.preemptions.append(Preemption(victim.record.id, record.id, grace))
            self._ledger.mark_stopping(victim)
        firm = plan.guarantee is not None or not record.request.interruptible
        until = self._view.now + timedelta(seconds=longest + HOLD_MARGIN)
        workspace = record.request.workspace
        self._holds[record.id] = CapacityHold(plan, workspace, firm, until)
        self._ledger.hold(workspace, plan.resources_by_worker, firm)
        return True

    def _grace(self, victim: JobRecord, claimant: JobRecord) -> float:
        workspace = self._view.configuration.workspaces_by_id.get(victim.request.workspace)
        grace = workspace.grace if workspace is not None else 0.0
        if self.options.class_priority and claimant.request.job_class is JobClass.URGENT:
            return min(grace, MAX_URGENT_GRACE)
        return grace

    def _assign(
        self,
        draft: DecisionBuilder,
        record: JobRecord,
        workers: tuple[str, ...],
        taken: dict[str, ResourceVector],
        guarantee: str | None,
    ) -> None:
        self._drop_reservation(record.id)
        draft.assignments.append(Assignment(record.id, workers, guarantee))
        firm = guarantee is not None or not record.request.interruptible
        self._ledger.deduct_placement(record.request.workspace, taken, firm)
        self._queue.remove(record.id)

    def _drop_reservation(self, job: str) -> None:
        found = self._reservations.pop(job, None)
        if found is not None:
            self._ledger.unreserve(found.resources_by_worker)
            self._blocked.clear()
