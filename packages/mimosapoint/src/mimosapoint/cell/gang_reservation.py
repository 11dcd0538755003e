"""Room that is kept free for a gang that waits, so that smaller work does not starve it."""

from collections.abc import Callable

from mimosapoint.cell.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.units import TaskRun, Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["reserve_for_gang"]


def reserve_for_gang(
    room: PlacementState, unit: Unit, pool: str, one_rack: bool, is_lower: Callable[[Unit], bool]
) -> bool:
    """Keep the workers on which the unit will fit first, and tell whether there are such.

    What the unit needs is taken from the room of these workers, which may leave less than
    nothing there, so that nothing else is placed on them.

    :param one_rack: whether the unit has to stay within a rack.
    :param is_lower: whether another unit gives way to this one.
    """
    groups = list(room.candidates_by_rack.values()) if one_rack else [room.candidates]
    candidates = [
        _GangHosts([spot for spot in group if spot.accepts(unit, pool)], unit) for group in groups
    ]
    for counts_as_free in (
        lambda assignment: assignment.unit is None or is_lower(assignment.unit),
        lambda assignment: True,
    ):
        # The group with the most room now comes first, so the first that will do is the best.
        for group in sorted(candidates, key=lambda each: each.times_now, reverse=True):
            chosen = group.choose(unit, counts_as_free)
            if chosen is not None:
                room.reserve(chosen, unit)
                return True
    return False


class _GangHosts:
    """Workers on which a unit may be placed together, those with the most room first.

    :param spots: the workers.
    :param unit: the unit.
    """

    def __init__(self, spots: list[CandidateWorker], unit: Unit):
        times_by_spot = {spot: spot.fit_count(unit) for spot in spots}
        self.times_now = sum(times_by_spot.values())
        self._spots = sorted(spots, key=times_by_spot.__getitem__, reverse=True)

    def choose(
        self, unit: Unit, counts_as_free: Callable[[TaskRun], bool]
    ) -> list[CandidateWorker] | None:
        """Return a spot for each task, or ``None`` when the unit will not fit."""
        chosen: list[CandidateWorker] = []
        for spot in self._spots:
            times = spot.fit_count(unit, _future_free(spot, counts_as_free))
            chosen += [spot] * min(times, unit.size - len(chosen))
            if len(chosen) == unit.size:
                return chosen
        return None


def _future_free(
    spot: CandidateWorker, counts_as_free: Callable[[TaskRun], bool]
) -> ResourceAmounts:
    free = spot.free
    for assignment in spot.session.task_runs_by_key.values():
        if counts_as_free(assignment):
            free += assignment.amounts
    return free
