"""The course of a decision, shared by the generations of the policy."""

import heapq
from collections.abc import Callable, Collection
from datetime import datetime, timedelta

import attrs

from mimosapoint.configuration import Configuration
from mimosapoint.errors import NeverFits
from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._ledger import Entry, Ledger
from mimosapoint.scheduling._queue import Kind, WaitingQueue
from mimosapoint.scheduling._vectors import Vector, fits, least, times
from mimosapoint.scheduling.drain import drain_order
from mimosapoint.scheduling.homes import Home
from mimosapoint.scheduling.moves import Mover
from mimosapoint.scheduling.never_fits import FitCheck
from mimosapoint.scheduling.places import Need, amounts, first_place, groups
from mimosapoint.scheduling.reclaim import Plan, plan_claim, plan_urgent
from mimosapoint.scheduling.reservations import Reservation, find_reservation, gives_way, press
from mimosapoint.scheduling.run_times import RunTimes
from mimosapoint.scheduling.summary import in_service
from mimosapoint.scheduling.suspects import Suspects
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

LARGE = 16
"""Accelerators from which a gang may get a reservation."""

STARVING_AFTER = {
    JobClass.URGENT: timedelta(minutes=1),
    JobClass.NORMAL: timedelta(minutes=10),
    JobClass.DEFERRABLE: timedelta(minutes=40),
}
"""Wait after which a large gang gets a reservation, by class."""

RESERVATIONS = 1
"""Reservations at once."""

REVIEW_EVERY = timedelta(minutes=1)
"""Age at which a reservation is made anew, perhaps on other workers."""

MOST_BACKFILL = timedelta(minutes=15)
"""Longest time ahead for which reserved room is lent to jobs that should end in time."""

MOST_BARRED = timedelta(minutes=30)
"""Time for which a starving gang keeps newer claims of its own workspace off its workers."""

MOST_DRAIN = 60.0
"""Seconds that borrowers on reserved room may run on before they are stopped."""

PROMOTED_AFTER = timedelta(minutes=20)
"""Wait after which a job counts as one class more urgent, but never as urgent."""


@attrs.frozen
class Options:
    """What a generation of the policy does.

    :param classes: whether classes are served in order and urgent work may reclaim.
    :param moves: whether waiting jobs are offered to other zones.
    :param even: whether they also go where far less work is waited for.
    :param quarantine: whether workers that fail what they start get no work for a while.
    :param refuse: whether jobs that no zone can ever run are refused.
    :param reserve: whether room is drained for large gangs that wait long.
    :param place: chooses workers for a gang.
    """

    classes: bool = False
    moves: bool = False
    even: bool = False
    quarantine: bool = False
    refuse: bool = False
    reserve: bool = False
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


def _hopeless(kind: Kind) -> str:
    need, why = kind.need, "it can't be interrupted" if not kind.interruptible else "its size"
    return (
        f"a gang of {need.gang} within one {need.adjacency.value} never fits beside the "
        f"guarantees of others, given {why}"
    )


class Engine:
    """Places gangs on homes and on lent room, and reclaims what was lent."""

    options = Options()

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._queue = WaitingQueue()
        self._holds: dict[str, Hold] = {}
        self._blocked: set[Kind] = set()
        self._mover = Mover(self.options.even)
        self._fit_check: FitCheck | None = None
        self._checked: Configuration | None = None
        self._run_times = RunTimes()
        self._suspects = Suspects()
        self._reservations: dict[str, Reservation] = {}
        self._view: ZoneView | None = None

    @property
    def homes_by_unit(self) -> dict[tuple, Home]:
        """Homes at the last decision, by workspace, guarantee and index."""
        return dict(self._ledger.guarantees.homes)

    def decide(self, view: ZoneView) -> Decision:
        """Return what to do now; the view is not changed."""
        self._view = view
        come = self._queue.sync(view.waiting)
        self._ledger.sync(view, self._avoided(come))
        if self.options.moves:
            self._mover.sync(view, come, self._queue.records_by_id)
        if self._ledger.settled:
            self._holds.clear()
            self._reservations.clear()
        draft = Draft()
        if self._fit_check is None or self._fit_check.configuration is not view.configuration:
            self._fit_check = FitCheck(view.configuration)
        if self.options.refuse:
            self._refuse_hopeless(draft, come)
        if in_service(view):
            self._use_holds(draft)
            self._use_reservations(draft)
            if self._ledger.grown:
                self._blocked.clear()
            self._place_waiting(draft)
            self._reserve_for_large(draft)
        else:
            self._drop_holds()
            self._drop_reservations()
        if self.options.moves and self._mover.due(view.now):
            self._offer_moves(draft)
        return draft.finish()

    def _offer_moves(self, draft: Draft) -> None:
        """Offer jobs that can't start here to other zones, the most urgent kinds first."""
        heap: list = []
        for kind in self._queue.kinds():
            self._push(heap, kind)
        kinds = [entry[-1] for entry in sorted(heap, key=lambda entry: entry[:-1])]
        zones = self._fit_check.zones
        candidates = (
            (record, zones(record.request, kind))
            for kind in kinds
            for record in self._queue.oldest(kind, PER_KIND_MOVED)
            if record.id not in self._holds and record.id not in self._reservations
        )
        if in_service(self._view):
            draft.moves.extend(self._mover.balance(candidates, self._view.now))
        else:
            draft.moves.extend(self._mover.leave(candidates))

    def _avoided(self, come: set[str]) -> Collection[str]:
        """Return the workers in quarantine."""
        if not self.options.quarantine:
            return ()
        now = self._view.now
        self._suspects.sync((self._queue.records_by_id[job] for job in sorted(come)), now)
        usable = {id for id, worker in self._view.workers_by_id.items() if worker.usable}
        return self._suspects.quarantined(usable, now)

    def drain_order(self, view: ZoneView) -> list[str]:
        """Return the running jobs in the order in which a zone that goes out stops them."""
        return drain_order(view)

    def ended(self, record: JobRecord) -> None:
        """Learn from a job that ended."""
        self._run_times.learn(record)
        self._suspects.ended(record)

    def _refuse_hopeless(self, draft: Draft, come: set[str]) -> None:
        """Refuse jobs that no zone can ever run, as far as the configuration tells."""
        configuration = self._view.configuration
        if self._checked is not configuration:
            self._checked = configuration
            come = set(self._queue.records_by_id)
        for job in sorted(come):
            record = self._queue.records_by_id[job]
            kind = self._queue.kind(record)
            if record.placement is None and not self._fit_check.zones(record.request, kind):
                draft.refusals.append(Refusal(job, NeverFits.code, _hopeless(kind)))
                self._queue.remove(job)

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

    def _use_reservations(self, draft: Draft) -> None:
        """Place the gangs whose reserved room has come free, and press on where it is late."""
        for job, found in list(self._reservations.items()):
            record = self._queue.records_by_id.get(job)
            if job not in self._reservations:
                continue
            if record is None:
                self._drop_reservation(job)
            elif self._fits_reservation(record, found):
                self._drop_reservation(job)
                self._assign(draft, record, found.workers, found.taken, None)
            elif self._view.now >= found.ready_at and self._press(draft, record, found):
                continue
            elif self._view.now >= found.made_at + REVIEW_EVERY:
                self._drop_reservation(job)
                self._reserve(record, self._queue.kind(record))

    def _press(self, draft: Draft, record: JobRecord, found: Reservation) -> bool:
        """Stop the borrowers that delay a gang, when that is enough."""
        plan = press(self._ledger, self._queue.kind(record), found, self._view.now)
        if plan is None:
            return False
        self._drop_reservation(record.id)
        return self._carry_out(draft, record, plan)

    def _fits_reservation(self, record: JobRecord, found: Reservation) -> bool:
        ledger = self._ledger
        room = ledger.open
        if not record.request.interruptible:
            allowed, workspace = ledger.guarantees.firm_room, record.request.workspace
            room = {w: least(room[w], allowed(workspace, w)) for w in found.taken}
        return all(fits(amount, room[worker]) for worker, amount in found.taken.items())

    def _drop_reservation(self, job: str) -> None:
        found = self._reservations.pop(job, None)
        if found is not None:
            self._ledger.unreserve(found.taken)
            self._blocked.clear()

    def _drop_reservations(self) -> None:
        for job in list(self._reservations):
            self._drop_reservation(job)

    def _reserve_for_large(self, draft: Draft) -> None:
        """Reserve room for the oldest large gangs that have waited long."""
        if not self.options.reserve or len(self._reservations) >= RESERVATIONS:
            return
        placed = {assignment.job for assignment in draft.assignments}
        for record, kind in self._starving():
            if record.id in placed or record.id in self._holds or record.id in self._reservations:
                continue
            self._reserve(record, kind)
            if len(self._reservations) >= RESERVATIONS:
                return

    def _starving(self) -> list[tuple[JobRecord, Kind]]:
        """Return the oldest job of each blocked kind of large gangs, longest wait first."""
        found = []
        for kind in self._blocked:
            record = self._queue.head(kind)
            if record is None or not self._may_borrow(kind):
                continue
            large = kind.need.gang * kind.need.vector[3] >= LARGE
            if large and self._view.now - record.submitted_at > STARVING_AFTER[kind.job_class]:
                found.append((record, kind))
        return sorted(found, key=lambda pair: (pair[0].submitted_at, pair[0].id))

    def _reserve(self, record: JobRecord, kind: Kind) -> None:
        found = self._find_reservation(kind)
        if found is not None:
            latest = self._view.now + MOST_BACKFILL
            starving_since = record.submitted_at + STARVING_AFTER[kind.job_class]
            found = attrs.evolve(
                found,
                ready_at=min(found.ready_at, latest),
                bars_claims_until=starving_since + MOST_BARRED,
            )
            self._reservations[record.id] = found
            self._ledger.reserve(found.taken)

    def _find_reservation(self, kind: Kind) -> Reservation | None:
        guarantees, now = self._ledger.guarantees, self._view.now

        def limit(worker: str) -> int:
            if kind.interruptible:
                return kind.need.gang
            return times(kind.need.vector, guarantees.firm_capacity(kind.workspace, worker))

        def remaining(entry: Entry) -> float:
            seconds = self._run_times.remaining(entry.record, now)
            return min(seconds, MOST_DRAIN) if gives_way(entry, kind) else seconds

        return find_reservation(self._ledger, kind, limit, remaining, now)

    def _order(self, kind: Kind, record: JobRecord) -> tuple:
        if not self.options.classes:
            return (0, record.submitted_at, record.id)
        rank = kind.rank
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
        homes = [home for home in homes if not self._kept_for_elder(home, record, kind)]
        return (
            self._claim_open(draft, record, kind.need, homes)
            or self._borrow(draft, record, kind)
            or self._claim_by_reclaim(draft, record, kind.need, homes)
            or self._urgent_reclaim(draft, record, kind)
        )

    def _kept_for_elder(self, home: Home, record: JobRecord, kind: Kind) -> bool:
        """Tell whether an older starving gang of the workspace is going to use a home."""
        return any(
            job != record.id
            and found.workspace == kind.workspace
            and found.rank <= kind.rank
            and found.bars_claims_until > self._view.now
            and not found.taken.keys().isdisjoint(home.amounts)
            for job, found in self._reservations.items()
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
        workers = self._find_lent(kind, self._room_for(record, kind))
        if workers is None:
            return False
        self._assign(draft, record, workers, amounts(kind.need, workers), None)
        return True

    def _room_for(self, record: JobRecord, kind: Kind) -> dict[str, Vector]:
        """Return the open room, with reserved room for work that is urgent or soon over."""
        if not self._reservations or kind.job_class is JobClass.URGENT:
            return self._ledger.open
        end = self._view.now + timedelta(seconds=self._run_times.cautious(record.request))
        if all(end <= reservation.ready_at for reservation in self._reservations.values()):
            return self._ledger.open
        return self._ledger.unreserved

    def _find_lent(self, kind: Kind, room: dict[str, Vector]) -> tuple[str, ...] | None:
        """Return workers beside the homes of others, or on them when the job may be stopped."""
        vector, allowed = kind.need.vector, self._ledger.guarantees.firm_room
        fitting = {worker: free for worker, free in room.items() if fits(vector, free)}
        beside = {w: least(free, allowed(kind.workspace, w)) for w, free in fitting.items()}
        workers = self._find(kind.need, beside)
        if workers is None and kind.interruptible:
            workers = self._find(kind.need, fitting)
        return workers

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
