"""Reservations for large gangs that wait long, kept between decisions."""

from datetime import timedelta

import attrs

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._decision_builder import DecisionBuilder
from mimosapoint.scheduling._policy_state import PolicyState
from mimosapoint.scheduling._vectors import fit_count, fits, minimum
from mimosapoint.scheduling._waiting_queue import EquivalenceClass
from mimosapoint.scheduling._zone_state import RunningJob
from mimosapoint.scheduling.guarantee_allocations import GuaranteeAllocation
from mimosapoint.scheduling.reservations import (
    Reservation,
    find_reservation,
    may_be_preempted_by,
    plan_reservation_preemption,
)
from mimosapoint.scheduling.run_time_estimates import RunTimeEstimator

__all__ = ["ReservationLayer"]

MIN_RESERVABLE_ACCELERATORS = 16
"""Smallest gang, by its accelerators, that gets a reservation."""

STARVING_AFTER = {
    JobClass.URGENT: timedelta(minutes=1),
    JobClass.NORMAL: timedelta(minutes=10),
    JobClass.DEFERRABLE: timedelta(minutes=40),
}
"""Wait after which a large gang gets a reservation, by class."""

MAX_RESERVATIONS = 1
"""Reservations that exist at the same time."""

REVIEW_INTERVAL = timedelta(minutes=1)
"""Age at which a reservation is planned again, perhaps on other workers."""

MAX_BACKFILL = timedelta(minutes=15)
"""Longest time ahead for which reserved capacity is backfilled with jobs that end in time."""

MAX_CLAIM_BLOCK = timedelta(minutes=30)
"""Time from the start of starvation for which the reservation of a gang blocks other claims of its
workspace on the reserved workers."""

MAX_BORROWER_REMAINING_SECONDS = 60.0
"""Longest time that preemptible borrowers of reserved capacity may still run before they are
preempted for the reservation; caps their estimated remaining time."""


class ReservationLayer(PolicyState):
    """Makes, reviews and uses reservations for starving gangs."""

    def __init__(self) -> None:
        super().__init__()
        self._run_times = RunTimeEstimator()

    def _update_reservations(self, builder: DecisionBuilder) -> None:
        """Place gangs whose reserved capacity is free, and preempt for those that are overdue.

        A reservation that stays is planned again after the review interval.
        """
        for job, reservation in list(self._reservations.items()):
            record = self._queue.records_by_id.get(job)
            if job not in self._reservations:
                continue
            if record is None:
                self._drop_reservation(job)
            elif self._fits_reservation(record, reservation):
                self._drop_reservation(job)
                self._assign(
                    builder, record, reservation.workers, reservation.resources_by_worker, None
                )
            elif self._view.now >= reservation.ready_at and self._preempt_for_reservation(
                builder, record, reservation
            ):
                continue
            elif self._view.now >= reservation.made_at + REVIEW_INTERVAL:
                self._drop_reservation(job)
                self._reserve(record, self._queue.equivalence_class_of(record))

    def _preempt_for_reservation(
        self, builder: DecisionBuilder, record: JobRecord, reservation: Reservation
    ) -> bool:
        """Preempt the borrowers of reserved capacity, and return whether that frees enough."""
        plan = plan_reservation_preemption(
            self._zone_state, self._queue.equivalence_class_of(record), reservation, self._view.now
        )
        if plan is None:
            return False
        self._drop_reservation(record.id)
        return self._start_preemption(builder, record, plan)

    def _fits_reservation(self, record: JobRecord, reservation: Reservation) -> bool:
        zone_state = self._zone_state
        available = zone_state.available
        if not record.request.interruptible:
            limit, workspace = zone_state.guarantees.non_preemptible_limit, record.request.workspace
            available = {
                w: minimum(available[w], limit(workspace, w))
                for w in reservation.resources_by_worker
            }
        return all(
            fits(amount, available[worker])
            for worker, amount in reservation.resources_by_worker.items()
        )

    def _drop_reservations(self) -> None:
        for job in list(self._reservations):
            self._drop_reservation(job)

    def _reserve_for_large(self, builder: DecisionBuilder) -> None:
        """Make reservations for the starving gangs that have waited longest."""
        if not self.options.reserve or len(self._reservations) >= MAX_RESERVATIONS:
            return
        placed = {assignment.job for assignment in builder.assignments}
        for record, equivalence_class in self._starving_jobs():
            if record.id in placed or record.id in self._holds or record.id in self._reservations:
                continue
            self._reserve(record, equivalence_class)
            if len(self._reservations) >= MAX_RESERVATIONS:
                return

    def _starving_jobs(self) -> list[tuple[JobRecord, EquivalenceClass]]:
        """Return the oldest job of each blocked class of large gangs, longest wait first."""
        found = []
        for equivalence_class in self._blocked_classes:
            record = self._queue.head(equivalence_class)
            if record is None or not self._may_borrow(equivalence_class):
                continue
            large = (
                equivalence_class.demand.gang * equivalence_class.demand.task_vector[3]
                >= MIN_RESERVABLE_ACCELERATORS
            )
            if (
                large
                and self._view.now - record.submitted_at
                > STARVING_AFTER[equivalence_class.job_class]
            ):
                found.append((record, equivalence_class))
        return sorted(found, key=lambda pair: (pair[0].submitted_at, pair[0].id))

    def _reserve(self, record: JobRecord, equivalence_class: EquivalenceClass) -> None:
        reservation = self._find_reservation(equivalence_class)
        if reservation is not None:
            latest_ready_at = self._view.now + MAX_BACKFILL
            starving_since = record.submitted_at + STARVING_AFTER[equivalence_class.job_class]
            reservation = attrs.evolve(
                reservation,
                ready_at=min(reservation.ready_at, latest_ready_at),
                blocks_claims_until=starving_since + MAX_CLAIM_BLOCK,
            )
            self._reservations[record.id] = reservation
            self._zone_state.reserve(reservation.resources_by_worker)

    def _find_reservation(self, equivalence_class: EquivalenceClass) -> Reservation | None:
        guarantees, now = self._zone_state.guarantees, self._view.now

        def limit(worker: str) -> int:
            if equivalence_class.interruptible:
                return equivalence_class.demand.gang
            return fit_count(
                equivalence_class.demand.task_vector,
                guarantees.non_preemptible_capacity(equivalence_class.workspace, worker),
            )

        def remaining(running_job: RunningJob) -> float:
            seconds = self._run_times.estimate_remaining(running_job.record, now)
            return (
                min(seconds, MAX_BORROWER_REMAINING_SECONDS)
                if may_be_preempted_by(running_job, equivalence_class)
                else seconds
            )

        return find_reservation(self._zone_state, equivalence_class, limit, remaining, now)

    def _blocked_by_reservation(
        self,
        allocation: GuaranteeAllocation,
        record: JobRecord,
        equivalence_class: EquivalenceClass,
    ) -> bool:
        """Return whether the reservation of another gang blocks a claim on an allocation.

        It does for a bounded time, within one workspace, if its job class is not less urgent and
        it shares a worker with the allocation.
        """
        return any(
            job != record.id
            and reservation.workspace == equivalence_class.workspace
            and reservation.rank <= equivalence_class.rank
            and reservation.blocks_claims_until > self._view.now
            and not reservation.resources_by_worker.keys().isdisjoint(
                allocation.resources_by_worker
            )
            for job, reservation in self._reservations.items()
        )
