"""Reservations for large gangs that wait long, kept from one decision to the next."""

from datetime import timedelta

import attrs

from mimosapoint.model import JobClass, JobRecord
from mimosapoint.scheduling._draft import Draft
from mimosapoint.scheduling._holding import Holding
from mimosapoint.scheduling._ledger import Entry
from mimosapoint.scheduling._queue import Kind
from mimosapoint.scheduling._vectors import fits, least, times
from mimosapoint.scheduling.homes import Home
from mimosapoint.scheduling.reservations import Reservation, find_reservation, gives_way, press
from mimosapoint.scheduling.run_times import RunTimes

__all__ = ["KeepingReservations"]

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


class KeepingReservations(Holding):
    """Makes, reviews and uses reservations."""

    def __init__(self) -> None:
        super().__init__()
        self._run_times = RunTimes()

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
