"""The course of a decision, shared by the generations of the policy."""

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
"""Jobs of a kind that are offered to other zones at once."""


def _infeasibility_detail(kind: EquivalenceClass) -> str:
    need, why = kind.need, "it can't be interrupted" if not kind.interruptible else "its size"
    return (
        f"a gang of {need.gang} within one {need.adjacency.value} never fits beside the "
        f"guarantees of others, given {why}"
    )


class GuaranteePolicy(PlacementLayer):
    """Places gangs on homes and on lent room, and reclaims what was lent."""

    def __init__(self) -> None:
        super().__init__()
        self._move_planner = MovePlanner(self.options.balance_load)
        self._quarantine = WorkerQuarantine()
        self._feasibility: FeasibilityCheck | None = None
        self._checked_configuration: Configuration | None = None

    @property
    def allocations_by_instance(self) -> dict[tuple, GuaranteeAllocation]:
        """Homes at the last decision, by workspace, guarantee and index."""
        return dict(self._ledger.guarantees.allocations)

    def decide(self, view: ZoneView) -> Decision:
        """Return what to do now; the view is not changed."""
        self._view = view
        come = self._queue.sync(view.waiting)
        self._ledger.sync(view, self._quarantined_workers(come))
        if self.options.moves:
            self._move_planner.sync(view, come, self._queue.records_by_id)
        if self._ledger.allocations_rebuilt:
            self._holds.clear()
            self._reservations.clear()
        draft = DecisionBuilder()
        if self._feasibility is None or self._feasibility.configuration is not view.configuration:
            self._feasibility = FeasibilityCheck(view.configuration)
        if self.options.refuse_infeasible:
            self._refuse_infeasible(draft, come)
        if in_service(view):
            self._use_holds(draft)
            self._use_reservations(draft)
            if self._ledger.capacity_increased:
                self._blocked.clear()
            self._place_waiting(draft)
            self._reserve_for_large(draft)
        else:
            self._drop_holds()
            self._drop_reservations()
        if self.options.moves and self._move_planner.begin_round(view.now):
            self._offer_moves(draft)
        return draft.build()

    def _offer_moves(self, draft: DecisionBuilder) -> None:
        """Offer jobs that can't start here to other zones, the most urgent kinds first."""
        heap: list = []
        for kind in self._queue.equivalence_classes():
            self._push_head(heap, kind)
        kinds = [entry[-1] for entry in sorted(heap, key=lambda entry: entry[:-1])]
        zones = self._feasibility.feasible_zones
        candidates = (
            (record, zones(record.request, kind))
            for kind in kinds
            for record in self._queue.oldest(kind, MAX_CANDIDATES_PER_CLASS)
            if record.id not in self._holds and record.id not in self._reservations
        )
        if in_service(self._view):
            draft.moves.extend(self._move_planner.balance(candidates, self._view.now))
        else:
            draft.moves.extend(self._move_planner.evacuate(candidates))

    def _quarantined_workers(self, come: set[str]) -> Collection[str]:
        """Return the workers in quarantine."""
        if not self.options.quarantine:
            return ()
        now = self._view.now
        self._quarantine.sync((self._queue.records_by_id[job] for job in sorted(come)), now)
        usable = {id for id, worker in self._view.workers_by_id.items() if worker.usable}
        return self._quarantine.quarantined(usable, now)

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a zone that goes out stops them."""
        return drain_order(view)

    def ended(self, record: JobRecord) -> None:
        """Learn from a job that ended."""
        self._run_times.observe(record)
        self._quarantine.ended(record)

    def _refuse_infeasible(self, draft: DecisionBuilder, come: set[str]) -> None:
        """Refuse jobs that no zone can ever run, as far as the configuration tells."""
        configuration = self._view.configuration
        if self._checked_configuration is not configuration:
            self._checked_configuration = configuration
            come = set(self._queue.records_by_id)
        for job in sorted(come):
            record = self._queue.records_by_id[job]
            kind = self._queue.equivalence_class_of(record)
            if record.placement is None and not self._feasibility.feasible_zones(
                record.request, kind
            ):
                draft.refusals.append(Refusal(job, NeverFits.code, _infeasibility_detail(kind)))
                self._queue.remove(job)
