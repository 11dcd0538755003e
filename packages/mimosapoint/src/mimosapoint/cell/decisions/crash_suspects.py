"""Runs that may have crashed their worker."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import WorkerCrash

if TYPE_CHECKING:
    from mimosapoint.cell.worker_loss import WorkerLoss
    from mimosapoint.ports import WorkerRegistration

__all__ = ["find_suspects", "find_unexplained", "is_domain_lost", "is_given_up"]

STARTS_TOLERATED = 2
"""Starts of a task that the users tolerate after the crashes at which it may be given up."""


def find_suspects(worker: Worker, window: timedelta) -> Iterator[TaskRun]:
    """Yield the runs that may crash the worker: ordered, and not proven to outlive the window.

    :param worker: the worker.
    :param window: time for which a run has to work to be no suspect.
    """
    for task_run in worker.task_runs_by_key.values():
        if task_run.is_ordered and task_run.proven_time < window:
            yield task_run


def find_unexplained(loss: WorkerLoss, others: Iterable[WorkerLoss]) -> WorkerLoss | None:
    """Return a loss at the same moment that no run can have caused, or ``None``.

    It shows that a worker was lost for another reason, such as a loss of power, and that this
    reason may have hit the given worker, too. Outside the zone of the given worker one such loss
    may be a coincidence.

    :param loss: loss of the worker in question.
    :param others: present or last loss of each worker.
    """
    found = [
        other
        for other in others
        if other is not loss
        and not other.is_planned
        and not other.suspects
        and loss.may_be_simultaneous(other)
    ]
    zone = loss.worker.registration.zone
    in_zone = [other for other in found if other.worker.registration.zone == zone]
    return in_zone[0] if in_zone else found[0] if len(found) > 1 else None


def is_domain_lost(
    loss: WorkerLoss,
    others: Iterable[WorkerLoss],
    registrations: Iterable[WorkerRegistration],
) -> bool:
    """Return whether the whole rack or zone of a worker was lost at the same moment.

    Tasks that crash their workers hardly hit every one of them at once. Known suspects on the
    others, or the same unit, explain it all the same.

    :param loss: loss of the worker in question.
    :param others: present or last loss of each worker.
    :param registrations: registrations of all workers.
    """
    lost_by_id = {each.worker.id: each for each in others if loss.may_be_simultaneous(each)}
    units = {run.unit for run in loss.suspects}
    own, registrations = loss.worker.registration, list(registrations)
    for domain in (
        {each.id for each in registrations if each.rack and each.rack == own.rack} - {own.id},
        {each.id for each in registrations if each.zone == own.zone} - {own.id},
    ):
        if domain and domain <= lost_by_id.keys():
            lost = [lost_by_id[worker] for worker in domain]
            if not all(
                each.has_known_suspect or units & {run.unit for run in each.suspects}
                for each in lost
            ):
                return True
    return False


def is_given_up(crashes: Sequence[WorkerCrash], max_worker_crashes: int) -> bool:
    """Return whether a task is given up.

    No task is given up whose every crash may have been caused by another task beside it, unless
    there are more of them than the users tolerate even so.

    :param crashes: crashes that it may have caused.
    :param max_worker_crashes: number of crashes at which it is given up; a conclusive one counts
        twice.
    """
    weight = sum(crash.weight for crash in crashes)
    if weight < max_worker_crashes:
        return False
    return (
        any(crash.is_sole for crash in crashes) or weight >= max_worker_crashes + STARTS_TOLERATED
    )
