"""Sequence of steps of a decision, shared by all policies that allocate guarantees."""

from collections.abc import Collection

from mimosapoint.configuration import Configuration
from mimosapoint.errors import NeverFits
from mimosapoint.model import JobRecord
from mimosapoint.scheduling._decision_builder import DecisionBuilder, PolicyOptions
from mimosapoint.scheduling._placement_layer import PlacementLayer
from mimosapoint.scheduling._waiting_queue import EquivalenceClass
from mimosapoint.scheduling.drain import drain_order
from mimosapoint.scheduling.feasibility import FeasibilityCheck
from mimosapoint.scheduling.guarantee_allocations import GuaranteeAllocation
from mimosapoint.scheduling.moves import MovePlanner
from mimosapoint.scheduling.quarantine import WorkerQuarantine
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.view import Decision, Refusal, ZoneView

__all__ = ["GuaranteePolicy", "PolicyOptions"]

MAX_CANDIDATES_PER_CLASS = 8
"""Jobs of an equivalence class considered for other zones in one round."""


def _infeasibility_detail(equivalence_class: EquivalenceClass) -> str:
    """Return the text of the refusal.

    It is the same if the workspace may not borrow, if the gang fits no empty zone, and if no zone
    is allowed.
    """
    demand, why = equivalence_class.demand, (
        "it can't be interrupted" if not equivalence_class.interruptible else "its size"
    )
    return (
        f"a gang of {demand.gang} within one {demand.adjacency.value} never fits beside the "
        f"guarantees of others, given {why}"
    )


class GuaranteePolicy(PlacementLayer):
    """Places gangs on guarantee allocations or borrowed capacity, and reclaims lent capacity."""

    def __init__(self) -> None:
        super().__init__()
        self._move_planner = MovePlanner(self.options.balance_load)
        self._quarantine = WorkerQuarantine()
        self._feasibility: FeasibilityCheck | None = None
        self._checked_configuration: Configuration | None = None

    @property
    def allocations_by_instance(self) -> dict[tuple, GuaranteeAllocation]:
        """Guarantee allocations at the last decision, by workspace, guarantee and index."""
        return dict(self._zone_state.guarantees.allocations)

    def decide(self, view: ZoneView) -> Decision:
        """Return the decision for the view, which is not changed."""
        self._view = view
        arrived = self._queue.sync(view.waiting)
        self._zone_state.sync(view, self._quarantined_workers(arrived))
        if self.options.moves:
            self._move_planner.sync(view, arrived, self._queue.records_by_id)
        if self._zone_state.allocations_rebuilt:
            self._holds.clear()
            self._reservations.clear()
        builder = DecisionBuilder()
        if self._feasibility is None or self._feasibility.configuration is not view.configuration:
            self._feasibility = FeasibilityCheck(view.configuration)
        if self.options.refuse_infeasible:
            self._refuse_infeasible(builder, arrived)
        if in_service(view):
            self._update_holds(builder)
            self._update_reservations(builder)
            if self._zone_state.capacity_increased:
                self._blocked_classes.clear()
            self._place_waiting(builder)
            self._reserve_for_large(builder)
        else:
            self._drop_holds()
            self._drop_reservations()
        if self.options.moves and self._move_planner.begin_round(view.now):
            self._plan_moves(builder)
        return builder.build()

    def _plan_moves(self, builder: DecisionBuilder) -> None:
        """Plan moves of jobs that still wait here to other zones, in order of priority.

        Jobs with a capacity hold or a reservation in this zone are left out.
        """
        heap: list = []
        for equivalence_class in self._queue.equivalence_classes():
            self._push_head(heap, equivalence_class)
        equivalence_classes = [entry[-1] for entry in sorted(heap, key=lambda entry: entry[:-1])]
        feasible_zones = self._feasibility.feasible_zones
        candidates = (
            (record, feasible_zones(record.request, equivalence_class))
            for equivalence_class in equivalence_classes
            for record in self._queue.oldest(equivalence_class, MAX_CANDIDATES_PER_CLASS)
            if record.id not in self._holds and record.id not in self._reservations
        )
        if in_service(self._view):
            builder.moves.extend(self._move_planner.balance(candidates, self._view.now))
        else:
            builder.moves.extend(self._move_planner.drain(candidates))

    def _quarantined_workers(self, arrived: set[str]) -> Collection[str]:
        """Return the workers in quarantine."""
        if not self.options.quarantine:
            return ()
        now = self._view.now
        self._quarantine.sync((self._queue.records_by_id[job] for job in sorted(arrived)), now)
        usable = {id for id, worker in self._view.workers_by_id.items() if worker.usable}
        return self._quarantine.quarantined(usable, now)

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a withdrawn zone stops them."""
        return drain_order(view)

    def job_ended(self, record: JobRecord) -> None:
        """Update run-time estimates and worker failure counts from an ended job."""
        self._run_times.observe(record)
        self._quarantine.record_job_end(record)

    def _refuse_infeasible(self, builder: DecisionBuilder, arrived: set[str]) -> None:
        """Refuse jobs that no allowed zone could run even when empty, by the configuration.

        New jobs are checked, and all waiting jobs after a change of configuration. A job that was
        placed before is not refused.
        """
        configuration = self._view.configuration
        if self._checked_configuration is not configuration:
            self._checked_configuration = configuration
            arrived = set(self._queue.records_by_id)
        for job in sorted(arrived):
            record = self._queue.records_by_id[job]
            equivalence_class = self._queue.equivalence_class_of(record)
            if record.placement is None and not self._feasibility.feasible_zones(
                record.request, equivalence_class
            ):
                builder.refusals.append(
                    Refusal(job, NeverFits.code, _infeasibility_detail(equivalence_class))
                )
                self._queue.remove(job)
