"""What a policy knows of its availability zone between decisions."""

from collections.abc import Collection, Iterator
from datetime import datetime

import attrs

from mimosapoint.model import Adjacency, JobClass, JobRecord, JobState
from mimosapoint.scheduling._guarantees import FirmWork, Guarantees
from mimosapoint.scheduling._vectors import ZERO, Vector, fits, minus, plus, vector
from mimosapoint.scheduling.homes import units_of
from mimosapoint.scheduling.places import Need, amounts, groups
from mimosapoint.scheduling.view import ZoneView

__all__ = ["Entry", "Ledger"]


@attrs.define
class Entry:
    """A job that holds workers.

    :param record: its record.
    :param amounts: what it holds on each worker.
    :param kept_at: time of its last checkpoint, or of its start.
    """

    record: JobRecord
    amounts: dict[str, Vector]
    kept_at: datetime | None

    @property
    def stopping(self) -> bool:
        """Whether its room will be free soon."""
        return self.record.state is JobState.STOPPING

    @property
    def claim(self) -> bool:
        """Whether it runs on a guarantee of its workspace."""
        return self.record.placement.guarantee is not None

    @property
    def firm(self) -> bool:
        """Whether it can't be stopped for others."""
        return self.claim or not self.record.request.interruptible

    def lost_work(self, now: datetime) -> float:
        """Return the accelerator-seconds that a stop without a checkpoint would lose."""
        request = self.record.request
        since = (now - self.kept_at).total_seconds() if self.kept_at else 0.0
        return since * request.gang * max(request.shape.accelerators, 0.1)


class Ledger:
    """Room and running jobs of an availability zone, kept up to date by differences."""

    def __init__(self) -> None:
        self.guarantees = Guarantees()
        self.rack_by_id: dict[str, str] = {}
        self.free: dict[str, Vector] = {}
        self.entries: dict[str, Entry] = {}
        self.grown = True
        self.settled = False
        self.open: dict[str, Vector] = {}
        self.unreserved: dict[str, Vector] = {}
        self._reserved: dict[str, Vector] = {}
        self._parts: dict[Adjacency, list[list[str]]] = {}
        self._lent: dict[str, Vector] = {}
        self._held: dict[str, Vector] = {}
        self._stopping: dict[str, Vector] = {}
        self._jobs_on: dict[str, set[str]] = {}
        self._pending: list[tuple[str, dict[str, Vector]]] = []
        self._configuration = None
        self._firm_left = False

    def sync(self, view: ZoneView, avoided: Collection[str] = ()) -> None:
        """Take in the view; avoided workers count as lost, though their jobs run on.

        Afterwards ``grown`` tells whether room has come, and ``settled`` whether homes were
        found anew, which forgets all held room.
        """
        self.settled = False
        self._undo_pending()
        self._sync_running(view)
        usable = (w for w in view.workers_by_id.values() if w.usable and w.id not in avoided)
        workers = {worker.id: worker.rack for worker in usable}
        changed = self._new_configuration(view) or workers != self.rack_by_id
        if changed or (self._firm_left and not self.guarantees.complete):
            self._settle(view, workers)
        self._firm_left = False
        self._sync_free(view)

    def _new_configuration(self, view: ZoneView) -> bool:
        known, self._configuration = self._configuration, view.configuration
        return known is not view.configuration and known != view.configuration

    def _undo_pending(self) -> None:
        for workspace, taken in self._pending:
            self.guarantees.remove_firm(workspace, taken)
        self._pending.clear()

    def _sync_running(self, view: ZoneView) -> None:
        running = view.running_by_id
        for job in self.entries.keys() - running.keys():
            self._drop(self.entries[job])
        for job, record in running.items():
            entry = self.entries.get(job)
            if entry is None:
                self._add(record)
            elif entry.record is not record:
                self._update(entry, record, view.now)

    def _update(self, entry: Entry, record: JobRecord, now: datetime) -> None:
        if entry.record.placement != record.placement:
            self._drop(entry)
            self._add(record)
            return
        if record.progress != entry.record.progress:
            entry.kept_at = now
        elif entry.kept_at is None:
            entry.kept_at = record.started_at
        self._set_record(entry, record)

    def _set_record(self, entry: Entry, record: JobRecord) -> None:
        self._count(entry, minus)
        entry.record = record
        self._count(entry, plus)

    def _count(self, entry: Entry, combine) -> None:
        """Count a job among those being stopped, or among those that may be."""
        if entry.stopping:
            self._sum(self._stopping, entry.amounts, combine)
        elif not entry.firm and entry.record.request.job_class is not JobClass.URGENT:
            self._sum(self._lent, entry.amounts, combine)

    def stop(self, entry: Entry) -> None:
        """Count a job as being stopped until the next view tells otherwise."""
        self._set_record(entry, attrs.evolve(entry.record, state=JobState.STOPPING))

    def _add(self, record: JobRecord) -> None:
        need = Need.of(record.request)
        entry = Entry(record, amounts(need, record.placement.workers), record.started_at)
        self.entries[record.id] = entry
        for worker in entry.amounts:
            self._jobs_on.setdefault(worker, set()).add(record.id)
        self._count(entry, plus)
        if entry.firm:
            self.guarantees.add_firm(record.request.workspace, entry.amounts)

    def _drop(self, entry: Entry) -> None:
        job = entry.record.id
        del self.entries[job]
        for worker in entry.amounts:
            self._jobs_on[worker].discard(job)
        self._count(entry, minus)
        if entry.firm:
            self.guarantees.remove_firm(entry.record.request.workspace, entry.amounts)
            self._firm_left = True

    @staticmethod
    def _sum(table: dict[str, Vector], delta: dict[str, Vector], combine) -> None:
        for worker, amount in delta.items():
            table[worker] = combine(table.get(worker, ZERO), amount)

    def _settle(self, view: ZoneView, workers: dict[str, str]) -> None:
        self.rack_by_id = dict(sorted(workers.items()))
        capacity = {id: vector(view.workers_by_id[id].capacity) for id in self.rack_by_id}
        units = units_of(view.configuration, view.zone)
        self.guarantees.settle(units, capacity, self.rack_by_id, self._firm_work())
        self._held.clear()
        self._reserved.clear()
        self._parts.clear()
        self.settled = True

    def _firm_work(self) -> Iterator[FirmWork]:
        for entry in self.entries.values():
            if entry.firm:
                record = entry.record
                yield record.request.workspace, record.placement.guarantee, entry.amounts

    def _sync_free(self, view: ZoneView) -> None:
        expected = self.free
        self.free = {id: vector(view.workers_by_id[id].free) for id in self.rack_by_id}
        self.grown = self.settled or any(
            free != expected.get(id) and not fits(free, expected.get(id, ZERO))
            for id, free in self.free.items()
        )
        self.open = dict(self.free)
        for worker, held in self._held.items():
            self.open[worker] = minus(self.open[worker], held)
        self.unreserved = dict(self.open)
        for worker, reserved in self._reserved.items():
            self.unreserved[worker] = minus(self.unreserved[worker], reserved)

    def parts(self, adjacency: Adjacency) -> list[list[str]]:
        """Return the parts of the zone that may hold a gang."""
        found = self._parts.get(adjacency)
        if found is None:
            found = self._parts[adjacency] = groups(adjacency, self.rack_by_id, self.rack_by_id)
        return found

    def place(self, workspace: str, taken: dict[str, Vector], firm: bool) -> None:
        """Take free room for a job; the next view tells whether the owner did."""
        self._sum(self.free, taken, minus)
        self._sum(self.open, taken, minus)
        self._sum(self.unreserved, taken, minus)
        if firm:
            self.guarantees.add_firm(workspace, taken)
            self._pending.append((workspace, taken))

    def hold(self, workspace: str, taken: dict[str, Vector], firm: bool) -> None:
        """Keep room for a job that will be placed soon."""
        self._sum(self._held, taken, plus)
        self._sum(self.open, taken, minus)
        self._sum(self.unreserved, taken, minus)
        if firm:
            self.guarantees.add_firm(workspace, taken)

    def release(self, workspace: str, taken: dict[str, Vector], firm: bool) -> None:
        """Undo :meth:`hold`."""
        self._sum(self._held, taken, minus)
        self._sum(self.open, taken, plus)
        self._sum(self.unreserved, taken, plus)
        if firm:
            self.guarantees.remove_firm(workspace, taken)

    def reserve(self, taken: dict[str, Vector]) -> None:
        """Keep room from ordinary borrowers."""
        self._sum(self._reserved, taken, plus)
        self._sum(self.unreserved, taken, minus)

    def unreserve(self, taken: dict[str, Vector]) -> None:
        """Undo :meth:`reserve`."""
        self._sum(self._reserved, taken, minus)
        self._sum(self.unreserved, taken, plus)

    def coming_room(self, worker: str) -> Vector:
        """Return what is open now or as soon as the jobs being stopped are gone."""
        return plus(self.open[worker], self._stopping.get(worker, ZERO))

    def reclaimable_room(self, worker: str) -> Vector:
        """Return what urgent work may have: coming room and that of less urgent borrowers."""
        return plus(self.coming_room(worker), self._lent.get(worker, ZERO))

    def jobs_on(self, worker: str) -> list[Entry]:
        """Return the jobs that hold room on a worker."""
        return [self.entries[job] for job in self._jobs_on.get(worker, ())]

    def victims_on(self, worker: str) -> list[Entry]:
        """Return the jobs on a worker that may be stopped for others."""
        return [e for e in self.jobs_on(worker) if not e.firm and not e.stopping]
