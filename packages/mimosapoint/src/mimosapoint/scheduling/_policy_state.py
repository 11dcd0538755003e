"""Policy state between decisions: capacity holds, reservations and blocked classes."""

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

HOLD_MARGIN_SECONDS = 3.0
"""Seconds beyond the longest grace of the victims for which a capacity hold is kept."""

MAX_URGENT_GRACE_SECONDS = 1.0
"""Longest time that a victim gets for its checkpoint when the preemptor is urgent."""


class PolicyState:
    """State of a policy between decisions, and the operations that change it."""

    options = PolicyOptions()

    def __init__(self) -> None:
        self._zone_state = ZoneState()
        self._queue = WaitingQueue()
        self._holds: dict[str, CapacityHold] = {}
        self._reservations: dict[str, Reservation] = {}
        self._blocked_classes: set[EquivalenceClass] = set()
        self._view: ZoneView | None = None

    def _update_holds(self, builder: DecisionBuilder) -> None:
        """Place gangs whose held capacity is free, and drop holds that can no longer be used.

        A hold is dropped when its job no longer waits, when it expires or when one of its workers
        becomes unusable.
        """
        for job, hold in list(self._holds.items()):
            record = self._queue.records_by_id.get(job)
            if record is None or self._view.now > hold.expires_at or not self._workers_usable(hold):
                self._drop_hold(job)
            elif self._fits_free(hold.plan.resources_by_worker):
                self._drop_hold(job)
                plan = hold.plan
                self._assign(
                    builder, record, plan.workers, plan.resources_by_worker, plan.guarantee
                )

    def _workers_usable(self, hold: CapacityHold) -> bool:
        return all(worker in self._zone_state.free for worker in hold.plan.resources_by_worker)

    def _fits_free(self, resources_by_worker: dict[str, ResourceVector]) -> bool:
        return all(
            fits(amount, self._zone_state.free[worker])
            for worker, amount in resources_by_worker.items()
        )

    def _drop_hold(self, job: str) -> None:
        hold = self._holds.pop(job)
        self._zone_state.release(
            hold.workspace, hold.plan.resources_by_worker, hold.non_preemptible
        )
        self._blocked_classes.clear()

    def _drop_holds(self) -> None:
        for job in list(self._holds):
            self._drop_hold(job)

    def _may_borrow(self, equivalence_class: EquivalenceClass) -> bool:
        workspace = self._view.configuration.workspaces_by_id.get(equivalence_class.workspace)
        return workspace is None or workspace.may_borrow

    def _start_preemption(
        self, builder: DecisionBuilder, record: JobRecord, plan: PreemptionPlan
    ) -> bool:
        """Preempt the victims of the plan and hold the capacity for the preemptor."""
        self._drop_reservation(record.id)
        max_grace = 0.0
        for victim in plan.victims:
            grace = self._grace(victim.record, record)
            max_grace = max(max_grace, grace)
            builder.preemptions.append(Preemption(victim.record.id, record.id, grace))
            self._zone_state.mark_stopping(victim)
        non_preemptible = plan.guarantee is not None or not record.request.interruptible
        expires_at = self._view.now + timedelta(seconds=max_grace + HOLD_MARGIN_SECONDS)
        workspace = record.request.workspace
        self._holds[record.id] = CapacityHold(plan, workspace, non_preemptible, expires_at)
        self._zone_state.hold_capacity(workspace, plan.resources_by_worker, non_preemptible)
        return True

    def _grace(self, victim: JobRecord, preemptor: JobRecord) -> float:
        workspace = self._view.configuration.workspaces_by_id.get(victim.request.workspace)
        grace = workspace.grace if workspace is not None else 0.0
        if self.options.class_priority and preemptor.request.job_class is JobClass.URGENT:
            return min(grace, MAX_URGENT_GRACE_SECONDS)
        return grace

    def _assign(
        self,
        builder: DecisionBuilder,
        record: JobRecord,
        workers: tuple[str, ...],
        resources_by_worker: dict[str, ResourceVector],
        guarantee: str | None,
    ) -> None:
        self._drop_reservation(record.id)
        builder.assignments.append(Assignment(record.id, workers, guarantee))
        non_preemptible = guarantee is not None or not record.request.interruptible
        self._zone_state.deduct_placement(
            record.request.workspace, resources_by_worker, non_preemptible
        )
        self._queue.remove(record.id)

    def _drop_reservation(self, job: str) -> None:
        reservation = self._reservations.pop(job, None)
        if reservation is not None:
            self._zone_state.unreserve(reservation.resources_by_worker)
            self._blocked_classes.clear()
