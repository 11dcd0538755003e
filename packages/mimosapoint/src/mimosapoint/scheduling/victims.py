"""Choice of the victims of a preemption."""

from collections.abc import Iterable
from datetime import datetime

from mimosapoint.scheduling._vectors import ZERO, ResourceVector, fits, minimum, subtract
from mimosapoint.scheduling._zone_state import RunningJob

__all__ = ["pick_victims"]

LOST_WORK_STEP_SECONDS = 60.0
"""Step to which the lost work per freed accelerator is rounded down, in accelerator-seconds per
accelerator, so that small differences don't decide."""


def pick_victims(
    deficit: dict[str, ResourceVector], candidates: Iterable[RunningJob], now: datetime
) -> list[RunningJob] | None:
    """Return gangs whose resources cover the deficit, or ``None`` when all candidates do not.

    Gangs are stopped whole. They are chosen by least lost work for the missing resources that
    they free, then by most missing resources freed, then by fewest tasks.

    :param deficit: resources missing on each worker.
    :param candidates: gangs that may be preempted.
    :param now: time of the decision.
    """
    remaining_deficit = {worker: amount for worker, amount in deficit.items() if max(amount) > 0}
    candidates_by_id = {running_job.record.id: running_job for running_job in candidates}
    ordered = sorted(
        candidates_by_id.values(),
        key=lambda running_job: _cost(running_job, remaining_deficit, now),
    )
    chosen: list[RunningJob] = []
    for running_job in ordered:
        if not remaining_deficit:
            break
        if _useful_resources(running_job, remaining_deficit):
            chosen.append(running_job)
            remaining_deficit = _remaining_deficit(remaining_deficit, running_job)
    return None if remaining_deficit else _prune_redundant(deficit, chosen, now)


def _useful_resources(running_job: RunningJob, remaining_deficit: dict[str, ResourceVector]) -> int:
    """Return a score of the missing resources that a gang would free.

    Accelerators weigh 1000 times as much as slots, cores and GiB of memory.
    """
    useful = 0
    for worker, amount in running_job.resources_by_worker.items():
        missing = remaining_deficit.get(worker)
        if missing is not None:
            freed = minimum(amount, missing)
            useful += 1000 * max(0, freed[3]) + sum(max(0, quantity) for quantity in freed[:3])
    return useful


def _cost(
    running_job: RunningJob, remaining_deficit: dict[str, ResourceVector], now: datetime
) -> tuple:
    useful = max(1, _useful_resources(running_job, remaining_deficit))
    lost = running_job.lost_work(now) * 1000 / useful
    return (
        lost // LOST_WORK_STEP_SECONDS,
        -useful,
        len(running_job.record.placement.workers),
        running_job.record.id,
    )


def _remaining_deficit(
    deficit: dict[str, ResourceVector], victim: RunningJob
) -> dict[str, ResourceVector]:
    found = {}
    for worker, amount in deficit.items():
        missing = subtract(amount, victim.resources_by_worker.get(worker, ZERO))
        if max(missing) > 0:
            found[worker] = missing
    return found


def _prune_redundant(
    deficit: dict[str, ResourceVector], chosen: list[RunningJob], now: datetime
) -> list[RunningJob]:
    """Drop gangs without which the others still cover the deficit, most lost work first."""
    kept = list(chosen)
    for running_job in sorted(chosen, key=lambda running_job: -running_job.lost_work(now)):
        others = [other for other in kept if other is not running_job]
        if _covers(others, deficit):
            kept = others
    return kept


def _covers(victims: list[RunningJob], deficit: dict[str, ResourceVector]) -> bool:
    for worker, amount in deficit.items():
        for victim in victims:
            amount = subtract(amount, victim.resources_by_worker.get(worker, ZERO))
        if not fits(amount, ZERO):
            return False
    return True
