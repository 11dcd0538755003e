"""Choice of workers for a unit that fits."""

from mimosapoint.cell.room import Room, Spot
from mimosapoint.cell.units import Unit

__all__ = ["fits_one_rack", "place"]


def place(room: Room, unit: Unit, pool: str) -> list[Spot] | None:
    """Return a spot for each task of the unit, or ``None`` when it does not fit.

    A gang that wants one rack spans several only when none can hold it.

    :param pool: service whose workers may run it.
    """
    step = unit.step
    if not step.gang:
        return _place_task(room, unit, pool)
    best: list[Spot] | None = None
    best_score: tuple[float, ...] = ()
    for rack, spots in room.spots_by_rack.items():
        counts = _counts(spots, unit, pool)
        left = sum(counts.values()) - step.count
        if left < 0:
            continue
        score = (bool(step.data_rack) and rack != step.data_rack, left)
        if best is None or score < best_score:
            best, best_score = _fill(counts, step.count), score
    if best is not None or (step.rack_local and fits_one_rack(room, unit, pool)):
        return best
    counts = _counts(room.spots, unit, pool)
    return _fill(counts, step.count) if sum(counts.values()) >= step.count else None


def fits_one_rack(room: Room, unit: Unit, pool: str) -> bool:
    """Tell whether a gang fits into one rack when nothing else runs there."""
    for spots in room.spots_by_rack.values():
        total = sum(
            spot.times(unit, spot.link.registration.capacity)
            for spot in spots
            if spot.serves(unit, pool)
        )
        if total >= unit.size:
            return True
    return False


def _place_task(room: Room, unit: Unit, pool: str) -> list[Spot] | None:
    step = unit.step
    best = None
    best_score: tuple[float, ...] = ()
    for spot in room.spots:
        if not spot.serves(unit, pool) or spot.times(unit) < 1:
            continue
        left = spot.free - step.amounts
        score = (
            spot.link.health.is_suspect,
            bool(step.data_rack) and spot.rack != step.data_rack,
            left.accelerators,
            left.cpu_millis,
        )
        if best is None or score < best_score:
            best, best_score = spot, score
    return [best] if best else None


def _counts(spots: list[Spot], unit: Unit, pool: str) -> dict[Spot, int]:
    counts = {}
    for spot in spots:
        if spot.serves(unit, pool):
            times = spot.times(unit)
            if times:
                counts[spot] = times
    return counts


def _fill(counts: dict[Spot, int], wanted: int) -> list[Spot]:
    """Return spots for the tasks: the fullest workers first, which keeps empty ones whole."""
    chosen: list[Spot] = []
    for spot, times in sorted(counts.items(), key=lambda item: _emptiness(item[0])):
        chosen += [spot] * min(times, wanted - len(chosen))
        if len(chosen) == wanted:
            break
    return chosen


def _emptiness(spot: Spot) -> tuple[bool, int, int]:
    return (spot.link.health.is_suspect, spot.free.accelerators, spot.free.cpu_millis)
