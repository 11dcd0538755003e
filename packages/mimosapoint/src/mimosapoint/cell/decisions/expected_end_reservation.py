"""Reservation of capacity for a waiting gang by the expected ends of present runs, and backfill."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from datetime import datetime, timedelta

import attrs

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.expected_end import expected_remaining
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["Reservations"]

ESTIMATE_MARGIN = 2
"""Factor on the estimate of a unit that may pass a reservation; callers' estimates are off by up to
nine tenths, so that a run takes less than twice its estimate."""


@attrs.define
class _Reservation:
    """Capacity reserved for a gang.

    :param workers: a worker for each of its tasks.
    :param amounts: resources of each task.
    :param due: time at which all of it is expected to be free.
    """

    workers: list[CandidateWorker]
    amounts: ResourceAmounts
    due: datetime


@attrs.define
class Reservations:
    """Reservations of one decision.

    :param placement_state: capacity that is available in this decision.
    :param context: time of the decision and expected run times.
    """

    placement_state: PlacementState
    context: DecisionContext
    _reservations: list[_Reservation] = attrs.field(factory=list)
    _remaining_by_run: dict = attrs.field(factory=dict)

    def reserve(self, unit: Unit, pool: str, single_rack: bool) -> datetime | None:
        """Reserve the workers on which the unit is expected to fit first.

        :param unit: the waiting gang.
        :param pool: service whose workers may run the gang.
        :param single_rack: whether the gang must be placed within one rack.
        :return: time at which the unit is expected to fit; ``None`` if it will not.
        """
        state = self.placement_state
        domains = state.candidates_by_rack.values() if single_rack else [state.candidates]
        found = [
            chosen
            for domain in domains
            if (chosen := self._first_fit(domain, unit, pool)) is not None
        ]
        if not found:
            return None
        wait, workers = min(found, key=lambda each: each[0])
        state.deduct(workers, unit)
        due = self.context.now + wait
        self._reservations.append(_Reservation(workers, unit.step.amounts, due))
        return due

    def passed_by(self, unit: Unit) -> tuple[int, ...]:
        """Return the numbers of the reservations before which the unit surely ends."""
        if unit.step.long_running or not unit.step.estimate:
            return ()
        end = self.context.now + ESTIMATE_MARGIN * self.context.durations.expected(unit)
        return tuple(n for n, each in enumerate(self._reservations) if end <= each.due)

    def lend(self, numbers: Iterable[int], sign: int = 1) -> None:
        """Add reserved capacity to the free capacity (sign 1), or subtract it again (sign -1)."""
        for number in numbers:
            reservation = self._reservations[number]
            for candidate in reservation.workers:
                candidate.free += reservation.amounts.scaled(sign)

    def _first_fit(
        self, domain: Iterable[CandidateWorker], unit: Unit, pool: str
    ) -> tuple[timedelta, list[CandidateWorker]] | None:
        """Return the expected wait until a domain holds the unit, and a worker for each task."""
        places = (
            (wait, number, candidate)
            for number, candidate in enumerate(domain)
            if candidate.accepts(unit, pool)
            for wait in self._waits(candidate, unit)
        )
        chosen = heapq.nsmallest(unit.size, places, key=lambda place: place[:2])
        if len(chosen) < unit.size:
            return None
        return chosen[-1][0], [candidate for _, _, candidate in chosen]

    def _waits(self, candidate: CandidateWorker, unit: Unit) -> list[timedelta]:
        """Return the expected wait for each task of the unit that the worker can hold."""
        free = candidate.free
        waits = [timedelta(0)] * candidate.fit_count(unit, free)
        ends = [(self._remaining(task_run), task_run.amounts) for task_run in _runs(candidate)]
        durations = self.context.durations
        ends += [(durations.expected(each), each.step.amounts) for each in candidate.started_units]
        ends.sort(key=lambda end: end[0])
        for remaining, amounts in ends:
            free += amounts
            waits += [remaining] * (candidate.fit_count(unit, free) - len(waits))
        return waits

    def _remaining(self, task_run) -> timedelta:
        if task_run not in self._remaining_by_run:
            remaining = timedelta(0)
            if task_run.unit is not None and not task_run.stopping:
                context = self.context
                remaining = expected_remaining(task_run, context.now, context.durations)
            self._remaining_by_run[task_run] = remaining
        return self._remaining_by_run[task_run]


def _runs(candidate: CandidateWorker):
    return candidate.worker.task_runs_by_key.values()
