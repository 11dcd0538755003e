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
    victims = sorted(candidates, key=lambda victim: loss_of(victim, now))
    groups = (
        list(room.spots_by_rack.values())
        if unit.step.gang and unit.step.rack_local
        else [room.spots]
    )
    best: Eviction | None = None
    for spots in groups:
        usable = [spot for spot in spots if spot.serves(unit, pool)]
        found = _evict_within(usable, unit, victims, now)
        if found and (best is None or found.loss < best.loss):
            best = found
    return best


def _evict_within(
    spots: list[Spot], unit: Unit, victims: list[Unit], now: datetime
) -> Eviction | None:
    spots_by_worker = {spot.link.id: spot for spot in spots}
    free_by_worker = {spot.link.id: spot.free for spot in spots}
    chosen: list[Unit] = []
    for victim in victims:
        if _count(spots, unit, free_by_worker) >= unit.size:
            break
        gains = _gains(victim, spots_by_worker)
        if gains:
            _add(free_by_worker, gains, 1)
            chosen.append(victim)
    if _count(spots, unit, free_by_worker) < unit.size:
        return None
    for victim in sorted(chosen, key=lambda each: loss_of(each, now), reverse=True):
        gains = _gains(victim, spots_by_worker)
        _add(free_by_worker, gains, -1)
        if _count(spots, unit, free_by_worker) >= unit.size:
            chosen.remove(victim)
        else:
            _add(free_by_worker, gains, 1)
    filled = _fill(spots, unit, free_by_worker)
    return Eviction(tuple(chosen), filled, sum(loss_of(each, now) for each in chosen))


def _count(spots: list[Spot], unit: Unit, free_by_worker: dict[str, Amounts]) -> int:
    return sum(spot.times(unit, free_by_worker[spot.link.id]) for spot in spots)


def _gains(victim: Unit, spots_by_worker: dict[str, Spot]) -> list[tuple[str, Amounts]]:
    return [
        (assignment.link.id, assignment.amounts)
        for assignment in victim.assignments_by_task.values()
        if assignment.link.id in spots_by_worker
    ]


def _add(free_by_worker: dict[str, Amounts], gains: list[tuple[str, Amounts]], sign: int) -> None:
    for worker, amounts in gains:
        free_by_worker[worker] += amounts.scaled(sign)


def _fill(spots: list[Spot], unit: Unit, free_by_worker: dict[str, Amounts]) -> tuple[Spot, ...]:
    filled: list[Spot] = []
    for spot in spots:
        times = spot.times(unit, free_by_worker[spot.link.id])
        filled += [spot] * min(times, unit.size - len(filled))
    return tuple(filled)
