"""Ways in which a waiting gang gets room."""

import heapq
from datetime import timedelta

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._draft import Draft
from mimosapoint.scheduling._queue import Kind
from mimosapoint.scheduling._reserving import KeepingReservations
from mimosapoint.scheduling._vectors import Vector, fits, least
from mimosapoint.scheduling.places import Need, amounts, groups
from mimosapoint.scheduling.reclaim import plan_claim, plan_urgent

__all__ = ["Placing"]

TRIES = 12
"""Kinds of jobs that may turn out not to fit before a decision ends."""

PROMOTED_AFTER = timedelta(minutes=20)
"""Wait after which a job counts as one class more urgent, but never as urgent."""


class Placing(KeepingReservations):
    """Places waiting gangs on homes, on lent room and by reclaim."""

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
