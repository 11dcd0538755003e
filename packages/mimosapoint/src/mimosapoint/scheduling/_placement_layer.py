"""Ways in which a waiting gang gets room."""

import heapq
from datetime import timedelta

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._decision_builder import DecisionBuilder
from mimosapoint.scheduling._reservation_layer import ReservationLayer
from mimosapoint.scheduling._vectors import ResourceVector, fits, minimum
from mimosapoint.scheduling._waiting_queue import EquivalenceClass
from mimosapoint.scheduling.placement_search import GangDemand, gang_resources, topology_domains
from mimosapoint.scheduling.preemption import plan_guarantee_claim, plan_urgent_preemption

__all__ = ["PlacementLayer"]

MAX_FAILED_ATTEMPTS = 12
"""Kinds of jobs that may turn out not to fit before a decision ends."""

CLASS_AGING_AFTER = timedelta(minutes=20)
"""Wait after which a job counts as one class more urgent, but never as urgent."""


class PlacementLayer(ReservationLayer):
    """Places waiting gangs on homes, on lent room and by reclaim."""

    def _order(self, kind: EquivalenceClass, record: JobRecord) -> tuple:
        if not self.options.class_priority:
            return (0, record.submitted_at, record.id)
        rank = kind.rank
        if rank > 1 and self._view.now - record.submitted_at > CLASS_AGING_AFTER:
            rank -= 1
        return (rank, record.submitted_at, record.id)

    def _place_waiting(self, draft: DecisionBuilder) -> None:
        """Try the oldest job of each kind; a kind that does not fit is left until room comes."""
        heap = []
        for kind in self._queue.equivalence_classes():
            if kind not in self._blocked:
                self._push_head(heap, kind)
        tries = 0
        while heap and tries < MAX_FAILED_ATTEMPTS and not draft.full:
            kind = heapq.heappop(heap)[-1]
            record = self._queue.head(kind)
            if record.id in self._holds or self._try_place(draft, record, kind):
                self._queue.remove(record.id)
                self._push_head(heap, kind)
            else:
                self._blocked.add(kind)
                tries += 1
        draft.truncated = bool(heap)

    def _push_head(self, heap: list, kind: EquivalenceClass) -> None:
        record = self._queue.head(kind)
        if record is not None:
            heapq.heappush(heap, (*self._order(kind, record), kind))

    def _try_place(self, draft: DecisionBuilder, record: JobRecord, kind: EquivalenceClass) -> bool:
        """Place a gang or begin to make room for it."""
        homes = self._ledger.guarantees.allocations_of(kind.workspace)
        homes = [
            home for home in homes if not self._blocked_by_older_reservation(home, record, kind)
        ]
        return (
            self._claim_available(draft, record, kind.need, homes)
            or self._borrow(draft, record, kind)
            or self._claim_by_preemption(draft, record, kind.need, homes)
            or self._preempt_for_urgent(draft, record, kind)
        )

    def _find_workers(
        self, need: GangDemand, room: dict[str, ResourceVector]
    ) -> tuple[str, ...] | None:
        if len(room) == len(self._ledger.rack_by_id):
            return self.options.find_workers(need, room, self._ledger.domains(need.adjacency))
        parts = topology_domains(need.adjacency, room, self._ledger.rack_by_id)
        return self.options.find_workers(need, room, parts)

    def _claim_available(
        self, draft: DecisionBuilder, record: JobRecord, need: GangDemand, homes: list
    ) -> bool:
        ledger = self._ledger
        for home in homes:
            room = ledger.guarantees.claimable(home)
            room = {worker: minimum(room[worker], ledger.available[worker]) for worker in room}
            workers = self._find_workers(need, room)
            if workers is not None:
                taken = gang_resources(need, workers)
                self._assign(draft, record, workers, taken, home.guarantee_instance.guarantee)
                return True
        return False

    def _borrow(self, draft: DecisionBuilder, record: JobRecord, kind: EquivalenceClass) -> bool:
        if not self._may_borrow(kind):
            return False
        workers = self._find_borrowable_workers(kind, self._borrowable_capacity(record, kind))
        if workers is None:
            return False
        self._assign(draft, record, workers, gang_resources(kind.need, workers), None)
        return True

    def _borrowable_capacity(
        self, record: JobRecord, kind: EquivalenceClass
    ) -> dict[str, ResourceVector]:
        """Return the open room, with reserved room for work that is urgent or soon over."""
        if not self._reservations or kind.job_class is JobClass.URGENT:
            return self._ledger.available
        end = self._view.now + timedelta(
            seconds=self._run_times.conservative_estimate(record.request)
        )
        if all(end <= reservation.ready_at for reservation in self._reservations.values()):
            return self._ledger.available
        return self._ledger.unreserved

    def _find_borrowable_workers(
        self, kind: EquivalenceClass, room: dict[str, ResourceVector]
    ) -> tuple[str, ...] | None:
        """Return workers beside the homes of others, or on them when the job may be stopped."""
        vector, allowed = kind.need.task_vector, self._ledger.guarantees.non_preemptible_limit
        fitting = {worker: free for worker, free in room.items() if fits(vector, free)}
        beside = {w: minimum(free, allowed(kind.workspace, w)) for w, free in fitting.items()}
        workers = self._find_workers(kind.need, beside)
        if workers is None and kind.interruptible:
            workers = self._find_workers(kind.need, fitting)
        return workers

    def _claim_by_preemption(
        self, draft: DecisionBuilder, record: JobRecord, need: GangDemand, homes: list
    ) -> bool:
        plan = plan_guarantee_claim(self._ledger, need, homes, self._view.now)
        return plan is not None and self._start_preemption(draft, record, plan)

    def _preempt_for_urgent(
        self, draft: DecisionBuilder, record: JobRecord, kind: EquivalenceClass
    ) -> bool:
        if not self.options.class_priority or kind.job_class is not JobClass.URGENT:
            return False
        if not self._may_borrow(kind):
            return False
        firm = not kind.interruptible
        plan = plan_urgent_preemption(self._ledger, kind.need, kind.workspace, firm, self._view.now)
        return plan is not None and self._start_preemption(draft, record, plan)
