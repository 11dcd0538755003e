"""Choice of the runs to stop for a unit of the first priority."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime

import attrs

from mimosapoint.cell.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["PreemptionPlan", "choose_victims", "preemption_cost"]

RESTART_COST_SECONDS = 1.0
"""Time that a stopped unit loses beside its work, in seconds: the stop itself, 0.2 to 0.4 s, the
restore, 0.1 to 0.6 s, and some wait for room."""


@attrs.frozen
class PreemptionPlan:
    """Units to stop, and where the unit then goes.

    :param victims: units to stop.
    :param candidates: spot for each task of the unit, once the victims are gone.
    :param cost: work that is lost, in core-seconds.
    """

    victims: tuple[Unit, ...]
    candidates: tuple[CandidateWorker, ...]
    cost: float


def preemption_cost(unit: Unit, now: datetime) -> float:
    """Return what a stop of the unit loses, in core-seconds.

    Each earlier stop makes another one dearer, so that no unit is stopped again and again.
    """
    step = unit.step
    elapsed = max(0.0, (now - unit.since).total_seconds())
    seconds = RESTART_COST_SECONDS + (0.0 if step.checkpoints else elapsed)
    return seconds * step.amounts.weighted_cores * unit.size * (1 + unit.preemptions)


def choose_victims(
    room: PlacementState, unit: Unit, pool: str, preemptible: Iterable[Unit], now: datetime
) -> PreemptionPlan | None:
    """Return the cheapest eviction that makes room for the unit, or ``None``.

    :param preemptible: units that may be stopped.
    """
    losses_by_unit = {victim: preemption_cost(victim, now) for victim in preemptible}
    victims = sorted(losses_by_unit, key=losses_by_unit.__getitem__)
    one_rack = unit.step.gang and unit.step.rack_local
    groups = list(room.candidates_by_rack.values()) if one_rack else [room.candidates]
    best: PreemptionPlan | None = None
    for group in _VictimSearch.all_of(groups, unit, pool, victims):
        found = group.find_cheapest(losses_by_unit)
        if found and (best is None or found.cost < best.cost):
            best = found
    return best


class _VictimSearch:
    """Workers that may hold a unit together, with the room that victims would free there.

    :param spots: the workers.
    :param unit: the unit that needs room.
    """

    def __init__(self, spots: list[CandidateWorker], unit: Unit):
        self.spots_by_worker = {spot.session.id: spot for spot in spots}
        self._unit = unit
        self._free_by_worker = {spot.session.id: spot.free for spot in spots}
        self._times_by_worker = {spot.session.id: spot.fit_count(unit) for spot in spots}
        self._total = sum(self._times_by_worker.values())
        self._gains_by_victim: dict[Unit, list[tuple[str, ResourceAmounts]]] = {}

    @classmethod
    def all_of(
        cls, groups: list[list[CandidateWorker]], unit: Unit, pool: str, victims: list[Unit]
    ) -> list[_VictimSearch]:
        """Return the groups, each with the victims that run on its workers, in their order."""
        found = [
            cls([spot for spot in spots if spot.accepts(unit, pool)], unit) for spots in groups
        ]
        group_by_worker = {worker: group for group in found for worker in group.spots_by_worker}
        for victim in victims:
            for assignment in victim.task_runs_by_task.values():
                group = group_by_worker.get(assignment.session.id)
                if group is not None:
                    gains = group._gains_by_victim.setdefault(victim, [])
                    gains.append((assignment.session.id, assignment.amounts))
        return found

    def find_cheapest(self, losses_by_unit: dict[Unit, float]) -> PreemptionPlan | None:
        """Return the cheapest victims first, without those that turn out not to be needed."""
        chosen: list[Unit] = []
        for victim in self._gains_by_victim:
            if self._fits():
                break
            self._apply_victim(victim, 1)
            chosen.append(victim)
        if not self._fits():
            return None
        for victim in sorted(chosen, key=losses_by_unit.__getitem__, reverse=True):
            self._apply_victim(victim, -1)
            if self._fits():
                chosen.remove(victim)
            else:
                self._apply_victim(victim, 1)
        return PreemptionPlan(
            tuple(chosen), self._fill(), sum(losses_by_unit[victim] for victim in chosen)
        )

    def _fits(self) -> bool:
        return self._total >= self._unit.size

    def _apply_victim(self, victim: Unit, sign: int) -> None:
        """Add the room that the victim frees, or take it away again."""
        for worker, amounts in self._gains_by_victim[victim]:
            free = self._free_by_worker[worker] + amounts.scaled(sign)
            times = self.spots_by_worker[worker].fit_count(self._unit, free)
            self._free_by_worker[worker] = free
            self._total += times - self._times_by_worker[worker]
            self._times_by_worker[worker] = times

    def _fill(self) -> tuple[CandidateWorker, ...]:
        filled: list[CandidateWorker] = []
        for worker, times in self._times_by_worker.items():
            filled += [self.spots_by_worker[worker]] * min(times, self._unit.size - len(filled))
        return tuple(filled)
