"""Choice of the running gangs that give way."""

from collections.abc import Iterable
from datetime import datetime

from mimosapoint.scheduling._ledger import Entry
from mimosapoint.scheduling._vectors import ZERO, Vector, fits, least, minus

__all__ = ["pick_victims"]

LOST_WORK_STEP = 60.0
"""Accelerator-seconds of lost work that count as a difference."""


def pick_victims(
    short: dict[str, Vector], candidates: Iterable[Entry], now: datetime
) -> list[Entry] | None:
    """Return whole gangs whose room covers what is short, or ``None`` when all of them do not.

    Least lost work goes first, then most room freed on the workers in question, then fewest gangs.

    :param short: resources missing on each worker.
    :param candidates: gangs that may be stopped.
    :param now: time of the decision.
    """
    left = {worker: amount for worker, amount in short.items() if max(amount) > 0}
    pool = {entry.record.id: entry for entry in candidates}
    ordered = sorted(pool.values(), key=lambda entry: _cost(entry, left, now))
    chosen: list[Entry] = []
    for entry in ordered:
        if not left:
            break
        if _useful(entry, left):
            chosen.append(entry)
            left = _remaining(left, entry)
    return None if left else _without_needless(short, chosen, now)


def _useful(entry: Entry, left: dict[str, Vector]) -> int:
    """Return one number for the missing room that a gang would free."""
    room = 0
    for worker, amount in entry.amounts.items():
        missing = left.get(worker)
        if missing is not None:
            freed = least(amount, missing)
            room += 1000 * max(0, freed[3]) + sum(max(0, part) for part in freed[:3])
    return room


def _cost(entry: Entry, left: dict[str, Vector], now: datetime) -> tuple:
    useful = max(1, _useful(entry, left))
    lost = entry.lost_work(now) * 1000 / useful
    return (lost // LOST_WORK_STEP, -useful, len(entry.record.placement.workers), entry.record.id)


def _remaining(left: dict[str, Vector], victim: Entry) -> dict[str, Vector]:
    found = {}
    for worker, amount in left.items():
        rest = minus(amount, victim.amounts.get(worker, ZERO))
        if max(rest) > 0:
            found[worker] = rest
    return found


def _without_needless(short: dict[str, Vector], chosen: list[Entry], now: datetime) -> list[Entry]:
    """Leave out gangs that the others make needless, costliest first."""
    kept = list(chosen)
    for entry in sorted(chosen, key=lambda entry: -entry.lost_work(now)):
        others = [other for other in kept if other is not entry]
        if _covers(others, short):
            kept = others
    return kept


def _covers(victims: list[Entry], short: dict[str, Vector]) -> bool:
    for worker, amount in short.items():
        for victim in victims:
            amount = minus(amount, victim.amounts.get(worker, ZERO))
        if not fits(amount, ZERO):
            return False
    return True
