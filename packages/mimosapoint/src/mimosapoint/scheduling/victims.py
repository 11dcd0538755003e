"""Choice of the running gangs that give way."""

from collections.abc import Iterable
from datetime import datetime

from mimosapoint.scheduling._vectors import ZERO, ResourceVector, fits, minimum, subtract
from mimosapoint.scheduling._zone_state import RunningJob

__all__ = ["pick_victims"]

LOST_WORK_STEP = 60.0
"""Accelerator-seconds of lost work that count as a difference."""


def pick_victims(
    deficit: dict[str, ResourceVector], candidates: Iterable[RunningJob], now: datetime
) -> list[RunningJob] | None:
    """Return whole gangs whose room covers what is short, or ``None`` when all of them do not.

    Least lost work goes first, then most room freed on the workers in question, then fewest gangs.

    :param deficit: resources missing on each worker.
    :param candidates: gangs that may be stopped.
    :param now: time of the decision.
    """
    left = {worker: amount for worker, amount in deficit.items() if max(amount) > 0}
    pool = {entry.record.id: entry for entry in candidates}
    ordered = sorted(pool.values(), key=lambda entry: _cost(entry, left, now))
    chosen: list[RunningJob] = []
    for entry in ordered:
        if not left:
            break
        if _useful_resources(entry, left):
            chosen.append(entry)
            left = _remaining_deficit(left, entry)
    return None if left else _prune_redundant(deficit, chosen, now)


def _useful_resources(entry: RunningJob, left: dict[str, ResourceVector]) -> int:
    """Return one number for the missing room that a gang would free."""
    room = 0
    for worker, amount in entry.resources_by_worker.items():
        missing = left.get(worker)
        if missing is not None:
            freed = minimum(amount, missing)
            room += 1000 * max(0, freed[3]) + sum(max(0, part) for part in freed[:3])
    return room


def _cost(entry: RunningJob, left: dict[str, ResourceVector], now: datetime) -> tuple:
    useful = max(1, _useful_resources(entry, left))
    lost = entry.lost_work(now) * 1000 / useful
    return (lost // LOST_WORK_STEP, -useful, len(entry.record.placement.workers), entry.record.id)


def _remaining_deficit(
    left: dict[str, ResourceVector], victim: RunningJob
) -> dict[str, ResourceVector]:
    found = {}
    for worker, amount in left.items():
        rest = subtract(amount, victim.resources_by_worker.get(worker, ZERO))
        if max(rest) > 0:
            found[worker] = rest
    return found


def _prune_redundant(
    short: dict[str, ResourceVector], chosen: list[RunningJob], now: datetime
) -> list[RunningJob]:
    """Leave out gangs that the others make needless, costliest first."""
    kept = list(chosen)
    for entry in sorted(chosen, key=lambda entry: -entry.lost_work(now)):
        others = [other for other in kept if other is not entry]
        if _covers(others, short):
            kept = others
    return kept


def _covers(victims: list[RunningJob], short: dict[str, ResourceVector]) -> bool:
    for worker, amount in short.items():
        for victim in victims:
            amount = subtract(amount, victim.resources_by_worker.get(worker, ZERO))
        if not fits(amount, ZERO):
            return False
    return True
