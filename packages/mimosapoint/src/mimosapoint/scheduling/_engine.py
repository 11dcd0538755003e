"""The course of a decision, shared by the generations of the policy."""

import heapq
from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._ledger import Ledger
from mimosapoint.scheduling._queue import Kind, WaitingQueue, class_rank
from mimosapoint.scheduling._vectors import Vector, fits, least
from mimosapoint.scheduling.drain import drain_order
from mimosapoint.scheduling.homes import Home
from mimosapoint.scheduling.moves import Mover
from mimosapoint.scheduling.places import Need, amounts, first_place, groups
from mimosapoint.scheduling.reclaim import Plan, plan_claim, plan_urgent
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.view import Assignment, Decision, Move, Reclaim, Refusal, ZoneView

__all__ = ["Draft", "Engine", "Hold", "Options"]

TRIES = 12
"""Kinds of jobs that may turn out not to fit before a decision ends."""

PLACEMENTS = 32
"""Gangs placed in one decision."""

PER_KIND_MOVED = 8
"""Jobs of a kind that are offered to other zones at once."""

RECLAIMS = 8
"""Gangs stopped in one decision before it ends."""

HOLD_SLACK = 3.0
"""Seconds beyond the grace for which reclaimed room is kept for its claimant."""

URGENT_GRACE = 1.0
"""Most seconds that a borrower gets to checkpoint when urgent work waits."""

PROMOTED_AFTER = timedelta(minutes=20)
"""Wait after which a job counts as one class more urgent, but never as urgent."""


@attrs.frozen
class Options:
    """What a generation of the policy does.

    :param classes: whether classes are served in order and urgent work may reclaim.
    :param moves: whether waiting jobs are offered to other zones.
    :param place: chooses workers for a gang.
    """

    classes: bool = False
    moves: bool = False
    place: Callable[..., tuple[str, ...] | None] = first_place


@attrs.frozen
class Hold:
    """Room kept for a gang until those who give way are gone.

    :param plan: where the gang goes.
    :param workspace: id of its workspace.
    :param firm: whether the gang will be one that can't be stopped.
    :param until: time at which the plan is given up.
    """

    plan: Plan
    workspace: str
    firm: bool
    until: datetime


@attrs.define
class Draft:
    """A decision while it is made."""

    assignments: list[Assignment] = attrs.field(factory=list)
    reclaims: list[Reclaim] = attrs.field(factory=list)
    moves: list[Move] = attrs.field(factory=list)
    refusals: list[Refusal] = attrs.field(factory=list)
    unfinished: bool = False

    @property
    def full(self) -> bool:
        """Whether the decision has become large enough."""
        return len(self.assignments) >= PLACEMENTS or len(self.reclaims) >= RECLAIMS

    def finish(self) -> Decision:
        """Return the decision."""
        return Decision(
            tuple(self.assignments),
            tuple(self.reclaims),
            tuple(self.moves),
            tuple(self.refusals),
            self.unfinished,
        )


class Engine:
    """Places gangs on homes and on lent room, and reclaims what was lent."""

    options = Options()

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._queue = WaitingQueue()
        self._holds: dict[str, Hold] = {}
        self._blocked: set[Kind] = set()
        self._mover = Mover()
        self._view: ZoneView | None = None

    @property
    def homes_by_unit(self) -> dict[tuple, Home]:
        """Homes at the last decision, by workspace, guarantee and index."""
        return dict(self._ledger.guarantees.homes)

    def decide(self, view: ZoneView) -> Decision:
        """Return what to do now; the view is not changed."""
        self._view = view
        self._ledger.sync(view)
        come = self._queue.sync(view.waiting)
        if self.options.moves:
            self._mover.sync(view, come, self._queue.records_by_id)
        if self._ledger.settled:
            self._holds.clear()
        draft = Draft()
        if in_service(view):
            self._use_holds(draft)
            if self._ledger.grown:
                self._blocked.clear()
            self._place_waiting(draft)
        else:
            self._drop_holds()
        if self.options.moves and self._mover.due(view.now):
            self._offer_moves(draft)
        return draft.finish()

    def _offer_moves(self, draft: Draft) -> None:
        """Offer jobs that can't start here to other zones, the most urgent kinds first."""
        heap: list = []
        for kind in self._queue.kinds():
            self._push(heap, kind)
        kinds = [entry[-1] for entry in sorted(heap, key=lambda entry: entry[:-1])]
        records = (r for k in kinds for r in self._queue.oldest(k, PER_KIND_MOVED))
        if not in_service(self._view):
            draft.moves.extend(self._mover.leave(records))
            return
        blocked = (r for r in records if r.id not in self._holds)
        draft.moves.extend(self._mover.balance(blocked, self._view.now))

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a zone that goes out stops them."""
        return drain_order(view)

    def ended(self, record: JobRecord) -> None:
        """Learn nothing."""

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

    def _order(self, kind: Kind, record: JobRecord) -> tuple:
        if not self.options.classes:
            return (0, record.submitted_at, record.id)
        rank = class_rank(kind.job_class)
        if rank > 1 and self._view.now - record.submitted_at > PROMOTED_AFTER:
            rank -= 1
        return (rank, record.submitted_at, record.id)

    def _place_waiting(self, draft: Draft) -> None:
        """Try the oldest job of each kind; a kind that does not fit is left until room comes."""
        heap = []
        for kind in self._queue.kinds():
            if kind not in self._blocked:
                self._push(heap, kind)
        tries = 0
        while heap and tries < TRIES and not draft.full:
            kind = heapq.heappop(heap)[-1]
            record = self._queue.head(kind)
            if record.id in self._holds or self._try(draft, record, kind):
                self._queue.remove(record.id)
                self._push(heap, kind)
            else:
                self._blocked.add(kind)
                tries += 1
        draft.unfinished = bool(heap)

    def _push(self, heap: list, kind: Kind) -> None:
        record = self._queue.head(kind)
        if record is not None:
            heapq.heappush(heap, (*self._order(kind, record), kind))

    def _try(self, draft: Draft, record: JobRecord, kind: Kind) -> bool:
        """Place a gang or begin to make room for it."""
        homes = self._ledger.guarantees.homes_of(kind.workspace)
        return (
            self._claim_open(draft, record, kind.need, homes)
            or self._borrow(draft, record, kind)
            or self._claim_by_reclaim(draft, record, kind.need, homes)
            or self._urgent_reclaim(draft, record, kind)
        )

    def _find(self, need: Need, room: dict[str, Vector]) -> tuple[str, ...] | None:
        if len(room) == len(self._ledger.rack_by_id):
            return self.options.place(need, room, self._ledger.parts(need.adjacency))
        parts = groups(need.adjacency, room, self._ledger.rack_by_id)
        return self.options.place(need, room, parts)

    def _claim_open(self, draft: Draft, record: JobRecord, need: Need, homes: list) -> bool:
        ledger = self._ledger
        for home in homes:
            room = ledger.guarantees.claim_room(home)
            room = {worker: least(room[worker], ledger.open[worker]) for worker in room}
            workers = self._find(need, room)
            if workers is not None:
                taken = amounts(need, workers)
                self._assign(draft, record, workers, taken, home.unit.guarantee)
                return True
        return False

    def _borrow(self, draft: Draft, record: JobRecord, kind: Kind) -> bool:
        if not self._may_borrow(kind):
            return False
        workers = self._find(kind.need, self._ledger.firm_room(kind.workspace))
        if workers is None and kind.interruptible:
            workers = self._find(kind.need, self._ledger.open)
        if workers is None:
            return False
        self._assign(draft, record, workers, amounts(kind.need, workers), None)
        return True

    def _may_borrow(self, kind: Kind) -> bool:
        workspace = self._view.configuration.workspaces_by_id.get(kind.workspace)
        return workspace is None or workspace.may_borrow

    def _claim_by_reclaim(self, draft: Draft, record: JobRecord, need: Need, homes: list) -> bool:
        plan = plan_claim(self._ledger, need, homes, self._view.now)
        return plan is not None and self._carry_out(draft, record, plan)

    def _urgent_reclaim(self, draft: Draft, record: JobRecord, kind: Kind) -> bool:
        if not self.options.classes or kind.job_class is not JobClass.URGENT:
            return False
        if not self._may_borrow(kind):
            return False
        firm = not kind.interruptible
        plan = plan_urgent(self._ledger, kind.need, kind.workspace, firm, self._view.now)
        return plan is not None and self._carry_out(draft, record, plan)

    def _carry_out(self, draft: Draft, record: JobRecord, plan: Plan) -> bool:
        """Stop the victims and keep the room for the claimant."""
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
        draft.assignments.append(Assignment(record.id, workers, guarantee))
        firm = guarantee is not None or not record.request.interruptible
        self._ledger.place(record.request.workspace, taken, firm)
        self._queue.remove(record.id)
