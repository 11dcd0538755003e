"""Carrying out of plans: reclaims, room held for claimants, assignments."""

from datetime import timedelta

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._draft import Draft, Hold, Options
from mimosapoint.scheduling._ledger import Ledger
from mimosapoint.scheduling._queue import Kind, WaitingQueue
from mimosapoint.scheduling._vectors import Vector, fits
from mimosapoint.scheduling.reclaim import Plan
from mimosapoint.scheduling.reservations import Reservation
from mimosapoint.scheduling.view import Assignment, Reclaim, ZoneView

__all__ = ["Holding"]

HOLD_SLACK = 3.0
"""Seconds beyond the grace for which reclaimed room is kept for its claimant."""

URGENT_GRACE = 1.0
"""Most seconds that a borrower gets to checkpoint when urgent work waits."""


class Holding:
    """State of a policy between decisions, and the steps that change it."""

    options = Options()

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._queue = WaitingQueue()
        self._holds: dict[str, Hold] = {}
        self._reservations: dict[str, Reservation] = {}
        self._blocked: set[Kind] = set()
        self._view: ZoneView | None = None

    def _use_holds(self, draft: Draft) -> None:
        """Place the gangs whose room has come free, and give up late plans."""
        for job, hold in list(self._holds.items()):
            record = self._queue.records_by_id.get(job)
            if record is None or self._view.now > hold.until or not self._intact(hold):
                self._drop_hold(job)
            elif self._free_for(hold.plan.taken):
                self._drop_hold(job)
                plan = hold.plan
                self._assign(draft, record, plan.workers, plan.taken, plan.guarantee)

    def _intact(self, hold: Hold) -> bool:
        return all(worker in self._ledger.free for worker in hold.plan.taken)

    def _free_for(self, taken: dict[str, Vector]) -> bool:
        return all(fits(amount, self._ledger.free[worker]) for worker, amount in taken.items())

    def _drop_hold(self, job: str) -> None:
        hold = self._holds.pop(job)
        self._ledger.release(hold.workspace, hold.plan.taken, hold.firm)
        self._blocked.clear()

    def _drop_holds(self) -> None:
        for job in list(self._holds):
            self._drop_hold(job)

    def _may_borrow(self, kind: Kind) -> bool:
        workspace = self._view.configuration.workspaces_by_id.get(kind.workspace)
        return workspace is None or workspace.may_borrow

    def _carry_out(self, draft: Draft, record: JobRecord, plan: Plan) -> bool:
        """Stop the victims and keep the room for the claimant."""
        self._drop_reservation(record.id)
        longest = 0.0
        for victim in plan.victims:
            grace = self._grace(victim.record, record)
            longest = max(longest, grace)
            draft.reclaims.append(Reclaim(victim.record.id, record.id, grace))
            self._ledger.stop(victim)
        firm = plan.guarantee is not None or not record.request.interruptible
        until = self._view.now + timedelta(seconds=longest + HOLD_SLACK)
        workspace = record.request.workspace
        self._holds[record.id] = Hold(plan, workspace, firm, until)
        self._ledger.hold(workspace, plan.taken, firm)
        return True

    def _grace(self, victim: JobRecord, claimant: JobRecord) -> float:
        workspace = self._view.configuration.workspaces_by_id.get(victim.request.workspace)
        grace = workspace.grace if workspace is not None else 0.0
        if self.options.classes and claimant.request.job_class is JobClass.URGENT:
            return min(grace, URGENT_GRACE)
        return grace

    def _assign(
        self,
        draft: Draft,
        record: JobRecord,
        workers: tuple[str, ...],
        taken: dict[str, Vector],
        guarantee: str | None,
    ) -> None:
        self._drop_reservation(record.id)
        draft.assignments.append(Assignment(record.id, workers, guarantee))
        firm = guarantee is not None or not record.request.interruptible
        self._ledger.place(record.request.workspace, taken, firm)
        self._queue.remove(record.id)

    def _drop_reservation(self, job: str) -> None:
        found = self._reservations.pop(job, None)
        if found is not None:
            self._ledger.unreserve(found.taken)
            self._blocked.clear()
