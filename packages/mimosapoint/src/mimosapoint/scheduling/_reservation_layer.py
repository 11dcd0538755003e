"""Reservations for large gangs that wait long, kept from one decision to the next."""

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
"""Accelerators from which a gang may get a reservation."""

STARVING_AFTER = {
    JobClass.URGENT: timedelta(minutes=1),
    JobClass.NORMAL: timedelta(minutes=10),
    JobClass.DEFERRABLE: timedelta(minutes=40),
}
"""Wait after which a large gang gets a reservation, by class."""

MAX_RESERVATIONS = 1
"""Reservations at once."""

REVIEW_INTERVAL = timedelta(minutes=1)
"""Age at which a reservation is made anew, perhaps on other workers."""

MAX_BACKFILL = timedelta(minutes=15)
"""Longest time ahead for which reserved room is lent to jobs that should end in time."""

MAX_CLAIM_BLOCK = timedelta(minutes=30)
"""Time for which a starving gang keeps newer claims of its own workspace off its workers."""

MAX_DRAIN_SECONDS = 60.0
"""Seconds that borrowers on reserved room may run on before they are stopped."""


class ReservationLayer(PolicyState):
    """Makes, reviews and uses reservations."""

    def __init__(self) -> None:
        super().__init__()
        self._run_times = RunTimeEstimator()

    def _use_reservations(self, draft: DecisionBuilder) -> None:
        """Place the gangs whose reserved room has come free, and press on where it is late."""
        for job, found in list(self._reservations.items()):
            record = self._queue.records_by_id.get(job)
            if job not in self._reservations:
                continue
            if record is None:
                self._drop_reservation(job)
            elif self._fits_reservation(record, found):
                self._drop_reservation(job)
                self._assign(draft, record, found.workers, found.resources_by_worker, None)
            elif self._view.now >= found.ready_at and self._preempt_for_reservation(
                draft, record, found
            ):
                continue
            elif self._view.now >= found.made_at + REVIEW_INTERVAL:
                self._drop_reservation(job)
                self._reserve(record, self._queue.equivalence_class_of(record))

    def _preempt_for_reservation(
        self, draft: DecisionBuilder, record: JobRecord, found: Reservation
    ) -> bool:
        """Stop the borrowers that delay a gang, when that is enough."""
        plan = plan_reservation_preemption(
            self._ledger, self._queue.equivalence_class_of(record), found, self._view.now
        )
        if plan is None:
            return False
        self._drop_reservation(record.id)
        return self._start_preemption(draft, record, plan)

    def _fits_reservation(self, record: JobRecord, found: Reservation) -> bool:
        ledger = self._ledger
        room = ledger.available
        if not record.request.interruptible:
            allowed, workspace = ledger.guarantees.non_preemptible_limit, record.request.workspace
            room = {w: minimum(room[w], allowed(workspace, w)) for w in found.resources_by_worker}
        return all(
            fits(amount, room[worker]) for worker, amount in found.resources_by_worker.items()
        )

    def _drop_reservations(self) -> None:
        for job in list(self._reservations):
            self._drop_reservation(job)

    def _reserve_for_large(self, draft: DecisionBuilder) -> None:
        """Reserve room for the oldest large gangs that have waited long."""
        if not self.options.reserve or len(self._reservations) >= MAX_RESERVATIONS:
            return
        placed = {assignment.job for assignment in draft.assignments}
        for record, kind in self._starving():
            if record.id in placed or record.id in self._holds or record.id in self._reservations:
                continue
            self._reserve(record, kind)
            if len(self._reservations) >= MAX_RESERVATIONS:
                return

    def _starving(self) -> list[tuple[JobRecord, EquivalenceClass]]:
        """Return the oldest job of each blocked kind of large gangs, longest wait first."""
        found = []
        for kind in self._blocked:
            record = self._queue.head(kind)
            if record is None or not self._may_borrow(kind):
                continue
            large = kind.need.gang * kind.need.task_vector[3] >= MIN_RESERVABLE_ACCELERATORS
            if large and self._view.now - record.submitted_at > STARVING_AFTER[kind.job_class]:
                found.append((record, kind))
        return sorted(found, key=lambda pair: (pair[0].submitted_at, pair[0].id))

    def _reserve(self, record: JobRecord, kind: EquivalenceClass) -> None:
        found = self._find_reservation(kind)
        if found is not None:
            latest = self._view.now + MAX_BACKFILL
            starving_since = record.submitted_at + STARVING_AFTER[kind.job_class]
            found = attrs.evolve(
                found,
                ready_at=min(found.ready_at, latest),
                blocks_claims_until=starving_since + MAX_CLAIM_BLOCK,
            )
            self._reservations[record.id] = found
            self._ledger.reserve(found.resources_by_worker)

    def _find_reservation(self, kind: EquivalenceClass) -> Reservation | None:
        guarantees, now = self._ledger.guarantees, self._view.now

        def limit(worker: str) -> int:
            if kind.interruptible:
                return kind.need.gang
            return fit_count(
                kind.need.task_vector, guarantees.non_preemptible_capacity(kind.workspace, worker)
            )

        def remaining(entry: RunningJob) -> float:
            seconds = self._run_times.estimate_remaining(entry.record, now)
            return min(seconds, MAX_DRAIN_SECONDS) if may_be_preempted_by(entry, kind) else seconds

        return find_reservation(self._ledger, kind, limit, remaining, now)

    def _blocked_by_older_reservation(
        self, home: GuaranteeAllocation, record: JobRecord, kind: EquivalenceClass
    ) -> bool:
        """Tell whether an older starving gang of the workspace is going to use a home."""
        return any(
            job != record.id
            and found.workspace == kind.workspace
            and found.rank <= kind.rank
            and found.blocks_claims_until > self._view.now
            and not found.resources_by_worker.keys().isdisjoint(home.resources_by_worker)
            for job, found in self._reservations.items()
        )
