"""Choice of victims for a preemptor, which is an urgent unit."""

from __future__ import annotations

import attrs

from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.preemption_cost import Harm, VictimCost
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import ResourceAmounts

__all__ = ["PreemptionPlan", "choose_victims"]


@attrs.frozen
class PreemptionPlan:
    """Victims of a preemption and the workers on which the preemptor is then placed.

    :param victims: units to stop.
    :param candidates: worker for each task of the preemptor once the victims have stopped.
    :param cost_by_victim: preemption cost of each victim.
    """

    victims: tuple[Unit, ...]
    candidates: tuple[CandidateWorker, ...]
    cost_by_victim: dict[Unit, VictimCost]

    @property
    def rank(self) -> tuple[float, float]:
        """Core-seconds lost by units that the stop makes late, and by the others."""
        lost = [0.0, 0.0]
        for cost in self.cost_by_victim.values():
            lost[cost.harm is not Harm.MADE_LATE] += cost.core_seconds
        return tuple(lost)


def choose_victims(
    placement_state: PlacementState,
    unit: Unit,
    pool: str,
    cost_by_unit: dict[Unit, VictimCost],
) -> PreemptionPlan | None:
    """Return the cheapest preemption found that lets the unit fit, or ``None``.

    :param placement_state: capacity that is available in this decision.
    :param unit: the preemptor.
    :param pool: service whose workers may run the preemptor.
    :param cost_by_unit: preemption cost of each unit that may be stopped.
    """
    victims = sorted(cost_by_unit, key=lambda each: cost_by_unit[each].rank)
    single_rack = unit.step.gang and unit.step.rack_local
    domains = (
        list(placement_state.candidates_by_rack.values())
        if single_rack
        else [placement_state.candidates]
    )
    best: PreemptionPlan | None = None
    for search in _VictimSearch.for_domains(domains, unit, pool, victims):
        plan = search.find_cheapest(cost_by_unit)
        if plan and (best is None or plan.rank < best.rank):
            best = plan
    return best


class _VictimSearch:
    """Search for victims in one topology domain.

    :param candidates: workers of the domain that accept the unit.
    :param unit: the preemptor.
    """

    def __init__(self, candidates: list[CandidateWorker], unit: Unit):
        self.candidates_by_worker = {candidate.worker.id: candidate for candidate in candidates}
        self._unit = unit
        self._free_by_worker = {candidate.worker.id: candidate.free for candidate in candidates}
        self._fit_count_by_worker = {
            candidate.worker.id: candidate.fit_count(unit) for candidate in candidates
        }
        self._total_fit_count = sum(self._fit_count_by_worker.values())
        self._freed_by_victim: dict[Unit, list[tuple[str, ResourceAmounts]]] = {}

    @classmethod
    def for_domains(
        cls, domains: list[list[CandidateWorker]], unit: Unit, pool: str, victims: list[Unit]
    ) -> list[_VictimSearch]:
        """Return a search for each domain with the victims that run there, in the given order."""
        searches = [
            cls([candidate for candidate in candidates if candidate.accepts(unit, pool)], unit)
            for candidates in domains
        ]
        search_by_worker = {
            worker: search for search in searches for worker in search.candidates_by_worker
        }
        for victim in victims:
            for task_run in victim.task_runs_by_task.values():
                search = search_by_worker.get(task_run.worker.id)
                if search is not None:
                    freed_amounts = search._freed_by_victim.setdefault(victim, [])
                    freed_amounts.append((task_run.worker.id, task_run.amounts))
        return searches

    def find_cheapest(self, cost_by_unit: dict[Unit, VictimCost]) -> PreemptionPlan | None:
        """Add the cheapest victims until the unit fits, then drop those that are not needed.

        :return: the preemption, or ``None`` if all victims together do not suffice.
        """
        chosen: list[Unit] = []
        for victim in self._freed_by_victim:
            if self._fits():
                break
            self._apply_victim(victim, 1)
            chosen.append(victim)
        if not self._fits():
            return None
        by_cost = sorted(chosen, key=lambda each: cost_by_unit[each].rank, reverse=True)
        for victim in by_cost:
            self._apply_victim(victim, -1)
            if self._fits():
                chosen.remove(victim)
            else:
                self._apply_victim(victim, 1)
        costs = {victim: cost_by_unit[victim] for victim in chosen}
        return PreemptionPlan(tuple(costs), self._choose_candidates(), costs)

    def _fits(self) -> bool:
        return self._total_fit_count >= self._unit.size

    def _apply_victim(self, victim: Unit, sign: int) -> None:
        """Add the capacity that the victim frees (sign 1), or subtract it again (sign -1)."""
        for worker, amounts in self._freed_by_victim[victim]:
            free = self._free_by_worker[worker] + amounts.scaled(sign)
            fit_count = self.candidates_by_worker[worker].fit_count(self._unit, free)
            self._free_by_worker[worker] = free
            self._total_fit_count += fit_count - self._fit_count_by_worker[worker]
            self._fit_count_by_worker[worker] = fit_count

    def _choose_candidates(self) -> tuple[CandidateWorker, ...]:
        chosen: list[CandidateWorker] = []
        for worker, fit_count in self._fit_count_by_worker.items():
            chosen += [self.candidates_by_worker[worker]] * min(
                fit_count, self._unit.size - len(chosen)
            )
        return tuple(chosen)
