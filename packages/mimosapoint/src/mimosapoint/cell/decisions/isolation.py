"""Placement of units that are suspected of crashing their workers.

They run where no run of another unit might crash the worker, so that a further crash tells who is
at fault, and where the least work is lost with it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from mimosapoint.cell.decisions.crash_suspects import find_suspects
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.placing import needs_one_rack
from mimosapoint.cell.decisions.preemption_cost import lost_core_seconds
from mimosapoint.cell.decisions.units import Unit

__all__ = ["keep_clear", "place_isolated"]

MAX_CLEARED_SHARE = 1 / 8
"""Largest share of the usable workers that get no new runs in one decision because a suspect unit
waits for them; the others go on serving everyone else."""


def place_isolated(
    placement_state: PlacementState, unit: Unit, pool: str, window: timedelta
) -> list[CandidateWorker] | None:
    """Return a worker for each task of a suspect unit, or ``None`` if too few are clear.

    :param placement_state: capacity that is available in this decision.
    :param unit: the unit.
    :param pool: service whose workers may run the unit.
    :param window: time for which a run has to work to be no suspect.
    """
    crashed_ids = _crashed_worker_ids(unit)
    best: list[CandidateWorker] | None = None
    best_harm = 0.0
    for domain in _domains(placement_state, unit, pool):
        clear = [each for each in domain if each.accepts(unit, pool) and _is_clear(each, window)]
        harm_by_candidate = {each: _harm(each) for each in clear}
        # Crashes of different workers tell more than those of one.
        order = {
            each: (each.worker.id in crashed_ids, harm_by_candidate[each], each.instability)
            for each in clear
        }
        chosen = _choose(sorted(clear, key=order.get), unit, lambda each: each.fit_count(unit))
        if chosen is None:
            continue
        harm = sum(harm_by_candidate[each] for each in set(chosen))
        if best is None or harm < best_harm:
            best, best_harm = chosen, harm
    return best


def keep_clear(placement_state: PlacementState, unit: Unit, pool: str) -> None:
    """Let the workers that a suspect unit needs get no new runs in this decision.

    Those come first whose newest run is the oldest. The same ones are then chosen in the next
    decisions, too, as the others get new runs.
    """
    most = max(1, int(len(placement_state.candidates) * MAX_CLEARED_SHARE))
    cleared = sum(each.is_isolated for each in placement_state.candidates)
    for domain in _domains(placement_state, unit, pool):
        candidates = [each for each in domain if each.accepts(unit, pool)]
        chosen = _choose(
            sorted(candidates, key=_newest_run),
            unit,
            lambda each: each.fit_count(unit, each.worker.registration.capacity),
        )
        if chosen is not None and cleared + len(set(chosen)) <= most:
            for candidate in chosen:
                candidate.is_isolated = True
            return


def _domains(
    placement_state: PlacementState, unit: Unit, pool: str
) -> list[Iterable[CandidateWorker]]:
    if needs_one_rack(placement_state, unit, pool):
        return list(placement_state.candidates_by_rack.values())
    return [placement_state.candidates]


def _choose(
    candidates: Iterable[CandidateWorker],
    unit: Unit,
    fit_count: Callable[[CandidateWorker], int],
) -> list[CandidateWorker] | None:
    chosen: list[CandidateWorker] = []
    for candidate in candidates:
        chosen += [candidate] * min(fit_count(candidate), unit.size - len(chosen))
        if len(chosen) == unit.size:
            return chosen
    return None


def _is_clear(candidate: CandidateWorker, window: timedelta) -> bool:
    return (
        not candidate.started_units and next(find_suspects(candidate.worker, window), None) is None
    )


def _crashed_worker_ids(unit: Unit) -> set[str]:
    """Return the ids of the workers that may have crashed under the unit."""
    crashes = unit.job.progress.crashes
    return {crash.worker for task in unit.tasks for crash in crashes.get(task.key, ())}


def _harm(candidate: CandidateWorker) -> float:
    """Return the core-seconds of work that a crash of the worker would lose."""
    units = {run.unit for run in candidate.worker.task_runs_by_key.values()}
    return sum(lost_core_seconds(unit, candidate.now) for unit in units if unit is not None)


def _newest_run(candidate: CandidateWorker) -> float:
    runs = candidate.worker.task_runs_by_key.values()
    return max((run.unit.since.timestamp() for run in runs if run.unit is not None), default=0.0)
