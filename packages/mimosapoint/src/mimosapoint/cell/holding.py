"""Room that is kept free for a gang that waits, so that smaller work does not starve it."""

from collections.abc import Callable

from mimosapoint.cell.room import Room, Spot
from mimosapoint.cell.units import Assignment, Unit
from mimosapoint.workload import Amounts

__all__ = ["hold_room"]


def hold_room(
    room: Room, unit: Unit, pool: str, one_rack: bool, is_lower: Callable[[Unit], bool]
) -> bool:
    """Keep the workers on which the unit will fit first, and tell whether there are such.

    What the unit needs is taken from the room of these workers, which may leave less than
    nothing there, so that nothing else is placed on them.

    :param one_rack: whether the unit has to stay within a rack.
    :param is_lower: whether another unit gives way to this one.
    """
    groups = list(room.spots_by_rack.values()) if one_rack else [room.spots]
    for counts_as_free in (
        lambda assignment: assignment.unit is None or is_lower(assignment.unit),
        lambda assignment: True,
    ):
        best: list[Spot] | None = None
        best_now = -1
        for group in groups:
            spots = [spot for spot in group if spot.serves(unit, pool)]
            chosen = _choose(spots, unit, counts_as_free)
            now = sum(spot.times(unit) for spot in spots)
            if chosen is not None and now > best_now:
                best, best_now = chosen, now
        if best is not None:
            room.take(best, unit)
            return True
    return False


def _choose(
    spots: list[Spot], unit: Unit, counts_as_free: Callable[[Assignment], bool]
) -> list[Spot] | None:
    chosen: list[Spot] = []
    for spot in sorted(spots, key=lambda spot: spot.times(unit), reverse=True):
        times = spot.times(unit, _later_free(spot, counts_as_free))
        chosen += [spot] * min(times, unit.size - len(chosen))
        if len(chosen) == unit.size:
            return chosen
    return None


def _later_free(spot: Spot, counts_as_free: Callable[[Assignment], bool]) -> Amounts:
    free = spot.free
    for assignment in spot.link.assignments_by_run.values():
        if counts_as_free(assignment):
            free += assignment.amounts
    return free
