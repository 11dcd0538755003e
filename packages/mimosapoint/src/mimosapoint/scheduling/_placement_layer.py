"""Strategies for placing a waiting gang."""

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
"""Equivalence classes that may fail to fit before placement stops in a decision."""

CLASS_AGING_AFTER = timedelta(minutes=20)
"""Wait after which a job is ordered one class higher, but never as urgent."""


class PlacementLayer(ReservationLayer):
    """Places waiting gangs on guarantee allocations, on borrowed capacity or by preemption."""

    def _priority_key(self, equivalence_class: EquivalenceClass, record: JobRecord) -> tuple:
        if not self.options.class_priority:
            return (0, record.submitted_at, record.id)
        rank = equivalence_class.rank
        if rank > 1 and self._view.now - record.submitted_at > CLASS_AGING_AFTER:
            rank -= 1
        return (rank, record.submitted_at, record.id)

    def _place_waiting(self, builder: DecisionBuilder) -> None:
        """Try to place the oldest job of each equivalence class, in order of priority.

        A class whose oldest job does not fit is blocked until capacity increases.
        """
        heap = []
        for equivalence_class in self._queue.equivalence_classes():
            if equivalence_class not in self._blocked_classes:
                self._push_head(heap, equivalence_class)
        failed_attempts = 0
        while heap and failed_attempts < MAX_FAILED_ATTEMPTS and not builder.full:
            equivalence_class = heapq.heappop(heap)[-1]
            record = self._queue.head(equivalence_class)
            if record.id in self._holds or self._try_place(builder, record, equivalence_class):
                self._queue.remove(record.id)
                self._push_head(heap, equivalence_class)
            else:
                self._blocked_classes.add(equivalence_class)
                failed_attempts += 1
        builder.truncated = bool(heap)

    def _push_head(self, heap: list, equivalence_class: EquivalenceClass) -> None:
        record = self._queue.head(equivalence_class)
        if record is not None:
            heapq.heappush(
                heap, (*self._priority_key(equivalence_class, record), equivalence_class)
            )

    def _try_place(
        self, builder: DecisionBuilder, record: JobRecord, equivalence_class: EquivalenceClass
    ) -> bool:
        """Place a gang or start a preemption for it, and return whether either was done."""
        allocations = self._zone_state.guarantees.allocations_of(equivalence_class.workspace)
        allocations = [
            allocation
            for allocation in allocations
            if not self._blocked_by_reservation(allocation, record, equivalence_class)
        ]
        return (
            self._claim_available(builder, record, equivalence_class.demand, allocations)
            or self._borrow(builder, record, equivalence_class)
            or self._claim_by_preemption(builder, record, equivalence_class.demand, allocations)
            or self._preempt_for_urgent(builder, record, equivalence_class)
        )

    def _find_workers(
        self, demand: GangDemand, available: dict[str, ResourceVector]
    ) -> tuple[str, ...] | None:
        if len(available) == len(self._zone_state.rack_by_id):
            return self.options.find_workers(
                demand, available, self._zone_state.domains(demand.adjacency)
            )
        domains = topology_domains(demand.adjacency, available, self._zone_state.rack_by_id)
        return self.options.find_workers(demand, available, domains)

    def _claim_available(
        self, builder: DecisionBuilder, record: JobRecord, demand: GangDemand, allocations: list
    ) -> bool:
        zone_state = self._zone_state
        for allocation in allocations:
            available = zone_state.guarantees.claimable(allocation)
            available = {
                worker: minimum(available[worker], zone_state.available[worker])
                for worker in available
            }
            workers = self._find_workers(demand, available)
            if workers is not None:
                resources_by_worker = gang_resources(demand, workers)
                self._assign(
                    builder,
                    record,
                    workers,
                    resources_by_worker,
                    allocation.guarantee_instance.guarantee,
                )
                return True
        return False

    def _borrow(
        self, builder: DecisionBuilder, record: JobRecord, equivalence_class: EquivalenceClass
    ) -> bool:
        if not self._may_borrow(equivalence_class):
            return False
        workers = self._find_borrowable_workers(
            equivalence_class, self._borrowable_capacity(record, equivalence_class)
        )
        if workers is None:
            return False
        self._assign(
            builder, record, workers, gang_resources(equivalence_class.demand, workers), None
        )
        return True

    def _borrowable_capacity(
        self, record: JobRecord, equivalence_class: EquivalenceClass
    ) -> dict[str, ResourceVector]:
        """Return the available capacity of each worker that the job may borrow.

        Reserved capacity is included for urgent work, and for jobs that are expected to end before
        any reservation is ready.
        """
        if not self._reservations or equivalence_class.job_class is JobClass.URGENT:
            return self._zone_state.available
        end = self._view.now + timedelta(
            seconds=self._run_times.conservative_estimate(record.request)
        )
        if all(end <= reservation.ready_at for reservation in self._reservations.values()):
            return self._zone_state.available
        return self._zone_state.unreserved

    def _find_borrowable_workers(
        self, equivalence_class: EquivalenceClass, available: dict[str, ResourceVector]
    ) -> tuple[str, ...] | None:
        """Return workers outside the guarantee allocations of others, if there are enough.

        Otherwise an interruptible job may borrow the allocations of others.
        """
        vector, limit = (
            equivalence_class.demand.task_vector,
            self._zone_state.guarantees.non_preemptible_limit,
        )
        fitting = {worker: free for worker, free in available.items() if fits(vector, free)}
        outside_others_allocations = {
            w: minimum(free, limit(equivalence_class.workspace, w)) for w, free in fitting.items()
        }
        workers = self._find_workers(equivalence_class.demand, outside_others_allocations)
        if workers is None and equivalence_class.interruptible:
            workers = self._find_workers(equivalence_class.demand, fitting)
        return workers

    def _claim_by_preemption(
        self, builder: DecisionBuilder, record: JobRecord, demand: GangDemand, allocations: list
    ) -> bool:
        plan = plan_guarantee_claim(self._zone_state, demand, allocations, self._view.now)
        return plan is not None and self._start_preemption(builder, record, plan)

    def _preempt_for_urgent(
        self, builder: DecisionBuilder, record: JobRecord, equivalence_class: EquivalenceClass
    ) -> bool:
        if not self.options.class_priority or equivalence_class.job_class is not JobClass.URGENT:
            return False
        if not self._may_borrow(equivalence_class):
            return False
        non_preemptible = not equivalence_class.interruptible
        plan = plan_urgent_preemption(
            self._zone_state,
            equivalence_class.demand,
            equivalence_class.workspace,
            non_preemptible,
            self._view.now,
        )
        return plan is not None and self._start_preemption(builder, record, plan)
