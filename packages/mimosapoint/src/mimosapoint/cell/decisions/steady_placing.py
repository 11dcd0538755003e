"""Placement that avoids unstable workers and keeps free capacity usable for later shapes."""

from __future__ import annotations

from mimosapoint.cell.decisions.deadline_class import soft_deadline
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.placing import fit_counts, needs_one_rack, placement
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker_pace import SPEED_SPREAD
from mimosapoint.workload import URGENT_PRIORITY

__all__ = ["place_steadily"]

SPEED_CLASS = 0.1
"""Width of the classes of worker speeds: a third of their spread, so that the speed does not decide
between workers that are known to differ little."""


@placement("steady")
def place_steadily(
    placement_state: PlacementState, unit: Unit, pool: str
) -> list[CandidateWorker] | None:
    """Return a candidate worker for each task of the unit, or ``None`` if it does not fit.

    Units whose latest start is close get fast workers, and gangs among them workers of similar
    speed, as a gang runs at the pace of its slowest one. Gangs, and units as long as the lease of a
    worker, are placed on unstable workers only as far as nothing else fits. A shorter run usually
    ends even if its worker falls silent.

    :param placement_state: capacity that is available in this decision.
    :param unit: the unit.
    :param pool: service whose workers may run the unit.
    """
    score = _Score(placement_state, unit)
    if needs_one_rack(placement_state, unit, pool):
        return _place_in_rack(placement_state, unit, pool, score)
    return score.choose(fit_counts(placement_state.candidates, unit, pool))


def _place_in_rack(
    placement_state: PlacementState, unit: Unit, pool: str, score: _Score
) -> list[CandidateWorker] | None:
    best: list[CandidateWorker] | None = None
    best_score: tuple[float, ...] = ()
    for candidates in placement_state.candidates_by_rack.values():
        counts = fit_counts(candidates, unit, pool)
        chosen = score.choose(counts)
        if chosen is None:
            continue
        rack_score = (*score.of_gang(chosen), sum(counts.values()))
        if best is None or rack_score < best_score:
            best, best_score = chosen, rack_score
    return best


class _Score:
    """Scores of candidates for one unit; lower ones are better.

    :param placement_state: capacity that is available in this decision.
    :param unit: the unit.
    """

    def __init__(self, placement_state: PlacementState, unit: Unit):
        self._mix = placement_state.demand_mix
        self._unit = unit
        durations = placement_state.durations
        self._expected = durations.expected(unit)
        needed = durations.time_needed(unit)
        slack = soft_deadline(unit, durations) - needed - placement_state.now
        # Within these bounds the speed of the workers decides whether the job ends in time.
        self._is_tight = (
            unit.job.record.priority == URGENT_PRIORITY
            or -SPEED_SPREAD / 2 * needed <= slack <= SPEED_SPREAD * needed
        )

    def choose(self, counts: dict[CandidateWorker, int]) -> list[CandidateWorker] | None:
        """Return a candidate for each task of the unit, or ``None`` if it does not fit.

        :param counts: number of tasks that fit, by candidate.
        """
        size = self._unit.size
        if sum(counts.values()) < size:
            return None
        if self._is_tight and not self._unit.step.data_rack:
            counts = self._fast_enough(counts)
        if size == 1:
            return [min(counts, key=lambda candidate: self.of(candidate, 1))]
        scores = {
            candidate: self.of(candidate, min(fit_count, size))
            for candidate, fit_count in counts.items()
        }
        chosen: list[CandidateWorker] = []
        for candidate in sorted(counts, key=scores.__getitem__):
            chosen += [candidate] * min(counts[candidate], size - len(chosen))
            if len(chosen) == size:
                break
        return chosen

    def _fast_enough(self, counts: dict[CandidateWorker, int]) -> dict[CandidateWorker, int]:
        """Return the fastest candidates that suffice, down to a common class of speed.

        Stable candidates alone are considered if they suffice.
        """
        size = self._unit.size
        stable = {each: counts[each] for each in counts if not self._instability(each)}
        if sum(stable.values()) >= size:
            counts = stable
        count_by_class: dict[int, int] = {}
        for candidate, count in counts.items():
            speed = _speed_class(candidate)
            count_by_class[speed] = count_by_class.get(speed, 0) + count
        total = 0
        for slowest in sorted(count_by_class, reverse=True):
            total += count_by_class[slowest]
            if total >= size:
                break
        return {each: counts[each] for each in counts if _speed_class(each) >= slowest}

    def of(self, candidate: CandidateWorker, count: int) -> tuple:
        """Return the score of a candidate for a number of tasks of the unit.

        Of equally good ones the slower is better, as a faster one may be needed for other units.
        Candidates that are equal otherwise are sorted by rack, so that a gang spans few of them.
        """
        worker, step, free = candidate.worker, self._unit.step, candidate.free
        cost = self._mix.cost(free, step.amounts, count, worker.registration.capacity)
        return (
            worker.health.has_recent_failure,
            bool(step.data_rack) and candidate.rack != step.data_rack,
            self._instability(candidate),
            cost / count,
            _speed_class(candidate),
            free.accelerators,
            free.cpu_millis,
            candidate.rack,
        )

    def of_gang(self, chosen: list[CandidateWorker]) -> tuple[float, ...]:
        """Return the score of a placement of the whole gang."""
        step = self._unit.step
        count_by_candidate = {candidate: chosen.count(candidate) for candidate in set(chosen)}
        cost = sum(
            self._mix.cost(
                candidate.free, step.amounts, count, candidate.worker.registration.capacity
            )
            for candidate, count in count_by_candidate.items()
        )
        away = bool(step.data_rack) and chosen[0].rack != step.data_rack
        return (
            sum(candidate.worker.health.has_recent_failure for candidate in chosen),
            away,
            sum(self._instability(candidate) for candidate in chosen),
            cost,
            len(count_by_candidate),
        )

    def _instability(self, candidate: CandidateWorker) -> int:
        is_long = self._expected >= candidate.worker.stability.lease
        return candidate.instability if self._unit.step.gang or is_long else 0


def _speed_class(candidate: CandidateWorker) -> int:
    return round(candidate.worker.pace.speed / SPEED_CLASS)
