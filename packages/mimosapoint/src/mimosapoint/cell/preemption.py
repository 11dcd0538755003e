"""Choice of the runs to stop for a unit of the first priority."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime

import attrs

from mimosapoint.cell.room import Room, Spot
from mimosapoint.cell.units import Unit
from mimosapoint.workload import Amounts

__all__ = ["Eviction", "choose_victims", "loss_of"]

RESTART_SECONDS = 1.0
"""Time that a stopped unit loses beside its work, in seconds: the stop itself, 0.2 to 0.4 s, the
restore, 0.1 to 0.6 s, and some wait for room."""


@attrs.frozen
class Eviction:
    """Units to stop, and where the unit then goes.

    :param victims: units to stop.
    :param spots: spot for each task of the unit, once the victims are gone.
    :param loss: work that is lost, in core-seconds.
    """

    victims: tuple[Unit, ...]
    spots: tuple[Spot, ...]
    loss: float


def loss_of(unit: Unit, now: datetime) -> float:
    """Return what a stop of the unit loses, in core-seconds.

    Each earlier stop makes another one dearer, so that no unit is stopped again and again.
    """
    step = unit.step
    elapsed = max(0.0, (now - unit.since).total_seconds())
    seconds = RESTART_SECONDS + (0.0 if step.checkpoints else elapsed)
    return seconds * step.amounts.cores * unit.size * (1 + unit.stops)


def choose_victims(
    room: Room, unit: Unit, pool: str, candidates: Iterable[Unit], now: datetime
) -> Eviction | None:
    """Return the cheapest eviction that makes room for the unit, or ``None``.

    :param candidates: units that may be stopped.
    """
    losses_by_unit = {victim: loss_of(victim, now) for victim in candidates}
    victims = sorted(losses_by_unit, key=losses_by_unit.__getitem__)
    one_rack = unit.step.gang and unit.step.rack_local
    groups = list(room.spots_by_rack.values()) if one_rack else [room.spots]
    best: Eviction | None = None
    for group in _Group.all_of(groups, unit, pool, victims):
        found = group.evict(losses_by_unit)
        if found and (best is None or found.loss < best.loss):
            best = found
    return best


class _Group:
    """Workers that may hold a unit together, with the room that victims would free there.

    :param spots: the workers.
    :param unit: the unit that needs room.
    """

    def __init__(self, spots: list[Spot], unit: Unit):
        self.spots_by_worker = {spot.link.id: spot for spot in spots}
        self._unit = unit
        self._free_by_worker = {spot.link.id: spot.free for spot in spots}
        self._times_by_worker = {spot.link.id: spot.times(unit) for spot in spots}
        self._total = sum(self._times_by_worker.values())
        self._gains_by_victim: dict[Unit, list[tuple[str, Amounts]]] = {}

    @classmethod
    def all_of(
        cls, groups: list[list[Spot]], unit: Unit, pool: str, victims: list[Unit]
    ) -> list[_Group]:
        """Return the groups, each with the victims that run on its workers, in their order."""
        found = [cls([spot for spot in spots if spot.serves(unit, pool)], unit) for spots in groups]
        group_by_worker = {worker: group for group in found for worker in group.spots_by_worker}
        for victim in victims:
            for assignment in victim.assignments_by_task.values():
                group = group_by_worker.get(assignment.link.id)
                if group is not None:
                    gains = group._gains_by_victim.setdefault(victim, [])
                    gains.append((assignment.link.id, assignment.amounts))
        return found

    def evict(self, losses_by_unit: dict[Unit, float]) -> Eviction | None:
        """Return the cheapest victims first, without those that turn out not to be needed."""
        chosen: list[Unit] = []
        for victim in self._gains_by_victim:
            if self._fits():
                break
            self._add(victim, 1)
            chosen.append(victim)
        if not self._fits():
            return None
        for victim in sorted(chosen, key=losses_by_unit.__getitem__, reverse=True):
            self._add(victim, -1)
            if self._fits():
                chosen.remove(victim)
            else:
                self._add(victim, 1)
        return Eviction(
            tuple(chosen), self._fill(), sum(losses_by_unit[victim] for victim in chosen)
        )

    def _fits(self) -> bool:
        return self._total >= self._unit.size

    def _add(self, victim: Unit, sign: int) -> None:
        """Add the room that the victim frees, or take it away again."""
        for worker, amounts in self._gains_by_victim[victim]:
            free = self._free_by_worker[worker] + amounts.scaled(sign)
            times = self.spots_by_worker[worker].times(self._unit, free)
            self._free_by_worker[worker] = free
            self._total += times - self._times_by_worker[worker]
            self._times_by_worker[worker] = times

    def _fill(self) -> tuple[Spot, ...]:
        filled: list[Spot] = []
        for worker, times in self._times_by_worker.items():
            filled += [self.spots_by_worker[worker]] * min(times, self._unit.size - len(filled))
        return tuple(filled)
