"""Choice of workers for a unit."""

from __future__ import annotations

from collections.abc import Callable

from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.units import Unit

__all__ = [
    "Placement",
    "find_placement",
    "fit_counts",
    "fits_one_rack",
    "needs_one_rack",
    "place",
    "placement",
    "placement_names",
]

Placement = Callable[[PlacementState, Unit, str], list[CandidateWorker] | None]
"""Returns a candidate worker for each task of a unit, or ``None`` if the unit does not fit. All
placements agree on whether it fits."""

_placements_by_name: dict[str, Placement] = {}


def placement(name: str) -> Callable[[Placement], Placement]:
    """Register a placement under a name that settings may state."""

    def register(function: Placement) -> Placement:
        _placements_by_name[name] = function
        return function

    return register


def placement_names() -> tuple[str, ...]:
    """Return the names of all placements."""
    return tuple(sorted(_placements_by_name))


def find_placement(name: str) -> Placement:
    """Return the placement with a name.

    :raises KeyError: there is none.
    """
    return _placements_by_name[name]


@placement("fullest")
def place(placement_state: PlacementState, unit: Unit, pool: str) -> list[CandidateWorker] | None:
    """Return a candidate worker for each task of the unit, or ``None`` if it does not fit.

    A rack-local gang spans racks only if no rack could hold it even when empty, or if it has waited
    for one for too long.

    :param placement_state: capacity that is available in this decision.
    :param unit: the unit.
    :param pool: service whose workers may run the unit.
    """
    step = unit.step
    if not step.gang:
        return _place_task(placement_state, unit, pool)
    best: list[CandidateWorker] | None = None
    best_score: tuple[float, ...] = ()
    for rack, candidates in placement_state.candidates_by_rack.items():
        counts = fit_counts(candidates, unit, pool)
        remaining = sum(counts.values()) - step.count
        if remaining < 0:
            continue
        score = (bool(step.data_rack) and rack != step.data_rack, remaining)
        if best is None or score < best_score:
            best, best_score = _choose_fullest(counts, step.count), score
    if best is not None or needs_one_rack(placement_state, unit, pool):
        return best
    counts = fit_counts(placement_state.candidates, unit, pool)
    return _choose_fullest(counts, step.count) if sum(counts.values()) >= step.count else None


def needs_one_rack(placement_state: PlacementState, unit: Unit, pool: str) -> bool:
    """Return whether a unit is a gang that has to wait for a rack that holds it."""
    step = unit.step
    if not (step.gang and step.rack_local) or unit.id in placement_state.spanning_ids:
        return False
    return fits_one_rack(placement_state, unit, pool)


def fits_one_rack(placement_state: PlacementState, unit: Unit, pool: str) -> bool:
    """Return whether a gang would fit into one rack if nothing else ran there."""
    for candidates in placement_state.candidates_by_rack.values():
        total = sum(
            candidate.fit_count(unit, candidate.worker.registration.capacity)
            for candidate in candidates
            if candidate.accepts(unit, pool)
        )
        if total >= unit.size:
            return True
    return False


def _place_task(
    placement_state: PlacementState, unit: Unit, pool: str
) -> list[CandidateWorker] | None:
    step = unit.step
    best = None
    best_score: tuple[float, ...] = ()
    for candidate in placement_state.candidates:
        if not candidate.accepts(unit, pool) or candidate.fit_count(unit) < 1:
            continue
        remaining = candidate.free - step.amounts
        score = (
            candidate.worker.health.has_recent_failure,
            bool(step.data_rack) and candidate.rack != step.data_rack,
            remaining.accelerators,
            remaining.cpu_millis,
        )
        if best is None or score < best_score:
            best, best_score = candidate, score
    return [best] if best else None


def fit_counts(
    candidates: list[CandidateWorker], unit: Unit, pool: str
) -> dict[CandidateWorker, int]:
    """Return how many tasks of the unit fit, for each candidate on which any fits."""
    counts = {}
    for candidate in candidates:
        if candidate.accepts(unit, pool):
            fit_count = candidate.fit_count(unit)
            if fit_count:
                counts[candidate] = fit_count
    return counts


def _choose_fullest(counts: dict[CandidateWorker, int], task_count: int) -> list[CandidateWorker]:
    """Return a worker for each task, the fullest first to avoid fragmenting empty ones."""
    chosen: list[CandidateWorker] = []
    for candidate, fit_count in sorted(counts.items(), key=lambda item: _packing_key(item[0])):
        chosen += [candidate] * min(fit_count, task_count - len(chosen))
        if len(chosen) == task_count:
            break
    return chosen


def _packing_key(candidate: CandidateWorker) -> tuple[bool, int, int]:
    return (
        candidate.worker.health.has_recent_failure,
        candidate.free.accelerators,
        candidate.free.cpu_millis,
    )
