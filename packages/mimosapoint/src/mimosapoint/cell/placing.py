"""Choice of workers for a unit that fits."""

from mimosapoint.cell.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.units import Unit

__all__ = ["fits_one_rack", "place"]


def place(room: PlacementState, unit: Unit, pool: str) -> list[CandidateWorker] | None:
    """Return a spot for each task of the unit, or ``None`` when it does not fit.

    A gang that wants one rack spans several only when none can hold it.

    :param pool: service whose workers may run it.
    """
    step = unit.step
    if not step.gang:
        return _place_task(room, unit, pool)
    best: list[CandidateWorker] | None = None
    best_score: tuple[float, ...] = ()
    for rack, spots in room.candidates_by_rack.items():
        counts = _fit_counts(spots, unit, pool)
        left = sum(counts.values()) - step.count
        if left < 0:
            continue
        score = (bool(step.data_rack) and rack != step.data_rack, left)
        if best is None or score < best_score:
            best, best_score = _choose_fullest(counts, step.count), score
    if best is not None or (step.rack_local and fits_one_rack(room, unit, pool)):
        return best
    counts = _fit_counts(room.candidates, unit, pool)
    return _choose_fullest(counts, step.count) if sum(counts.values()) >= step.count else None


def fits_one_rack(room: PlacementState, unit: Unit, pool: str) -> bool:
    """Tell whether a gang fits into one rack when nothing else runs there."""
    for spots in room.candidates_by_rack.values():
        total = sum(
            spot.fit_count(unit, spot.session.registration.capacity)
            for spot in spots
            if spot.accepts(unit, pool)
        )
        if total >= unit.size:
            return True
    return False


def _place_task(room: PlacementState, unit: Unit, pool: str) -> list[CandidateWorker] | None:
    step = unit.step
    best = None
    best_score: tuple[float, ...] = ()
    for spot in room.candidates:
        if not spot.accepts(unit, pool) or spot.fit_count(unit) < 1:
            continue
        left = spot.free - step.amounts
        score = (
            spot.session.health.has_recent_failure,
            bool(step.data_rack) and spot.rack != step.data_rack,
            left.accelerators,
            left.cpu_millis,
        )
        if best is None or score < best_score:
            best, best_score = spot, score
    return [best] if best else None


def _fit_counts(spots: list[CandidateWorker], unit: Unit, pool: str) -> dict[CandidateWorker, int]:
    counts = {}
    for spot in spots:
        if spot.accepts(unit, pool):
            times = spot.fit_count(unit)
            if times:
                counts[spot] = times
    return counts


def _choose_fullest(counts: dict[CandidateWorker, int], wanted: int) -> list[CandidateWorker]:
    """Return spots for the tasks: the fullest workers first, which keeps empty ones whole."""
    chosen: list[CandidateWorker] = []
    for spot, times in sorted(counts.items(), key=lambda item: _packing_key(item[0])):
        chosen += [spot] * min(times, wanted - len(chosen))
        if len(chosen) == wanted:
            break
    return chosen


def _packing_key(spot: CandidateWorker) -> tuple[bool, int, int]:
    return (spot.session.health.has_recent_failure, spot.free.accelerators, spot.free.cpu_millis)
