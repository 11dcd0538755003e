"""Decides which units start where, and which are stopped for others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime, timedelta

import attrs

from mimosapoint.cell.gang_reservation import reserve_for_gang
from mimosapoint.cell.placement_state import PlacementState
from mimosapoint.cell.placing import fits_one_rack, place
from mimosapoint.cell.preemption import choose_victims
from mimosapoint.cell.units import Unit, UnitState
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.workload import URGENT_PRIORITY, CellConfiguration, UnitId

__all__ = ["Plan", "Planner", "Start", "Stop"]

RESERVATION_TTL = timedelta(milliseconds=1500)
"""Time for which room that is being freed is kept for the unit that needs it; above the
longest stop of both sites, 400 ms, and the worker's answers."""

MAX_RESERVED_GANGS = 2
"""Most waiting gangs for which room is kept at once; more would leave too much of it idle."""

RECLAIM_DELAY = timedelta(milliseconds=800)
"""Time after which a covered job goes before all others and stops urgent work that borrows; a third
of the time in which guarantees must be met, 2.7 s, so that a stop and a start fit into the rest."""


@attrs.frozen
class Start:
    """A unit to start.

    :param unit: the unit.
    :param sessions: a worker for each of its tasks.
    """

    unit: Unit
    sessions: tuple[WorkerSession, ...]


@attrs.frozen
class Stop:
    """A unit whose runs are stopped.

    :param unit: the unit.
    :param reason: why.
    """

    unit: Unit
    reason: str


@attrs.define
class Plan:
    """What to do now.

    :param starts: units to start.
    :param stops: units to stop.
    :param next_decision_at: time at which another decision is due; ``None`` for none.
    :param task_count: number of tasks that start.
    """

    starts: list[Start] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    next_decision_at: datetime | None = None
    task_count: int = 0

    def start(self, unit: Unit, links: tuple[WorkerSession, ...]) -> None:
        """Add a unit to start."""
        self.starts.append(Start(unit, links))
        self.task_count += len(links)


@attrs.define
class _Reservation:
    """Room that is being freed for a unit."""

    workers: list[str]
    until: datetime


@attrs.define
class _Victims:
    """Units that may be stopped.

    :param lower_priority: units of other priorities, for any urgent unit.
    :param borrowing: urgent units that no guarantee covers, for those that one does.
    """

    lower_priority: list[Unit]
    borrowing: list[Unit]

    @classmethod
    def classify(
        cls, active: Iterable[Unit], catalog: CellConfiguration, covered: frozenset[str]
    ) -> _Victims:
        """Return those among the units that have runs."""
        stoppable = [
            unit
            for unit in active
            if unit.state is UnitState.ACTIVE and not unit.stop_reason and unit.end is None
        ]
        victims = cls([], [])
        for unit in stoppable:
            if catalog.priority_of(unit.job.record) > URGENT_PRIORITY:
                victims.lower_priority.append(unit)
            elif unit.id.job not in covered:
                victims.borrowing.append(unit)
        return victims

    def remove(self, unit: Unit) -> None:
        """Take out a unit that is being stopped."""
        victims = self.lower_priority if unit in self.lower_priority else self.borrowing
        victims.remove(unit)


class Planner:
    """Makes decisions; it remembers the room that is being freed for urgent units.

    :param admits: whether so many starts may be ordered beside those that are planned already.
    """

    def __init__(self, admits: Callable[[int, int], bool] = lambda starts, planned: True) -> None:
        self._admits = admits
        self._reservations: dict[UnitId, _Reservation] = {}

    def plan(
        self,
        waiting: Iterable[Unit],
        active: Iterable[Unit],
        links: Iterable[WorkerSession],
        catalog: CellConfiguration,
        now: datetime,
        covered: frozenset[str] = frozenset(),
    ) -> Plan:
        """Return the starts and stops of one decision.

        :param waiting: units that may start.
        :param active: units that have runs.
        :param links: workers that may take new work.
        :param covered: jobs that the guarantees of their workspaces cover.
        """
        plan = Plan()
        room = PlacementState(links, now)
        order = list(waiting)
        self._drop_expired_reservations(order, now)
        order.sort(key=lambda unit: self._rank(unit, catalog, now, covered))
        victims: _Victims | None = None
        blocked: set[tuple] = set()
        held = 0
        for unit in order:
            pool = catalog.pool_of(unit.job.record)
            shape = _fit_key(unit)
            if shape in blocked:
                continue
            spots = place(room, unit, pool)
            if spots is not None:
                if not self._admits(unit.size, plan.task_count):
                    # Later units wait as well, or small ones would keep large gangs out.
                    break
                room.reserve(spots, unit)
                self._reservations.pop(unit.id, None)
                plan.start(unit, tuple(spot.session for spot in spots))
            elif catalog.priority_of(unit.job.record) == URGENT_PRIORITY:
                if victims is None:
                    victims = _Victims.classify(active, catalog, covered)
                owed = _is_guarantee_due(unit, covered, now)
                self._preempt(plan, room, unit, pool, victims, owed, now)
            else:
                blocked.add(shape)
                if held < MAX_RESERVED_GANGS and _needs_reservation(unit):
                    held += 1
                    priority = catalog.priority_of(unit.job.record)
                    reserve_for_gang(
                        room,
                        unit,
                        pool,
                        unit.step.rack_local and fits_one_rack(room, unit, pool),
                        lambda other, priority=priority: catalog.priority_of(other.job.record)
                        > priority,
                    )
        return plan

    def has_reservation(self, unit: UnitId) -> bool:
        """Tell whether room is being freed for the unit."""
        return unit in self._reservations

    def _rank(
        self, unit: Unit, catalog: CellConfiguration, now: datetime, covered: frozenset[str]
    ) -> tuple:
        """Return the sort key of a waiting unit: urgent first, then by latest start in time.

        What a guarantee covers and has waited for long comes before all others. Units for which
        room is being freed come before others of their priority, which would take that room, and
        in the order in which they came.
        """
        job = unit.job
        latest_start = job.soft_deadline(unit.id.occurrence) - job.critical_path
        is_holder = unit.id in self._reservations
        return (
            catalog.priority_of(unit.job.record),
            not _is_guarantee_due(unit, covered, now),
            not is_holder,
            not is_holder and latest_start < now,
            unit.since if is_holder else latest_start,
            unit.id.job,
            unit.id.step,
            unit.id.index,
        )

    def _preempt(
        self,
        plan: Plan,
        room: PlacementState,
        unit: Unit,
        pool: str,
        victims: _Victims,
        owed: bool,
        now: datetime,
    ) -> None:
        """Reserve room that is being freed, or free some."""
        reservation = self._reservations.get(unit.id)
        spots_by_worker = {spot.session.id: spot for spot in room.candidates}
        if reservation is None:
            found = choose_victims(room, unit, pool, victims.lower_priority, now)
            if found is None and owed and victims.borrowing:
                everything = victims.lower_priority + victims.borrowing
                found = choose_victims(room, unit, pool, everything, now)
            if found is None:
                return
            for victim in found.victims:
                victims.remove(victim)
                plan.stops.append(Stop(victim, f"room-for-{unit.id}"))
            workers = [spot.session.id for spot in found.candidates]
            reservation = _Reservation(workers, now + RESERVATION_TTL)
            self._reservations[unit.id] = reservation
        kept = [
            spots_by_worker[worker] for worker in reservation.workers if worker in spots_by_worker
        ]
        room.reserve(kept, unit)
        if plan.next_decision_at is None or reservation.until < plan.next_decision_at:
            plan.next_decision_at = reservation.until

    def _drop_expired_reservations(self, waiting: list[Unit], now: datetime) -> None:
        wanted = {unit.id for unit in waiting}
        for unit_id, reservation in list(self._reservations.items()):
            if unit_id not in wanted or reservation.until <= now:
                del self._reservations[unit_id]


def _fit_key(unit: Unit) -> tuple:
    """Return what decides whether a unit fits; of units that look alike, one tells for all."""
    step = unit.step
    size = unit.size
    spread = (unit.id.job, unit.id.occurrence) if step.spread_limit else None
    return (unit.job.record.queue, size, step.amounts, step.label, step.rack_local, spread)


def _needs_reservation(unit: Unit) -> bool:
    """Tell whether smaller work could starve the unit."""
    return unit.step.gang


def _is_guarantee_due(unit: Unit, covered: frozenset[str], now: datetime) -> bool:
    """Tell whether the unit's guarantee would soon be broken."""
    return unit.id.job in covered and now - unit.job.seen_at >= RECLAIM_DELAY
