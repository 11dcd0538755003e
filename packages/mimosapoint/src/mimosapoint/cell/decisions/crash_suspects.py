"""Runs that may have crashed their worker."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta
from typing import TYPE_CHECKING

from mimosapoint.cell.decisions.units import TaskRun
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.cell.decisions.worker_loss import WorkerLoss
from mimosapoint.workload import WorkerCrash

if TYPE_CHECKING:
    from mimosapoint.ports import WorkerRegistration

__all__ = ["find_suspects", "find_unexplained", "is_mass_loss", "is_given_up"]

MANY_LOSSES = 4
"""Losses at the same moment, beside that of the worker in question, from which they have a common
cause even if there were suspects on each of the workers. Rarely do as many tasks crash their first
workers within one long poll."""

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


def is_mass_loss(
    loss: WorkerLoss,
    others: Iterable[WorkerLoss],
    registrations: Iterable[WorkerRegistration],
) -> bool:
    """Return whether a worker was lost with many, or with its whole rack or zone, at once.

    Tasks that crash their workers hardly hit as many of them at the same moment. Losses of workers
    with known suspects, or with runs of the same unit, have an explanation and do not count.

    :param loss: loss of the worker in question.
    :param others: present or last loss of each worker.
    :param registrations: registrations of all workers.
    """
    lost_by_id = {each.worker.id: each for each in others if loss.may_be_simultaneous(each)}
    units = {run.unit for run in loss.suspects}
    own, registrations = loss.worker.registration, list(registrations)
    unrelated_ids = {
        worker
        for worker, each in lost_by_id.items()
        if not each.is_planned
        and not each.has_known_suspect
        and not units & {run.unit for run in each.suspects}
    } - {own.id}
    if len(unrelated_ids) >= MANY_LOSSES:
        return True
    for domain in (
        {each.id for each in registrations if each.rack and each.rack == own.rack} - {own.id},
        {each.id for each in registrations if each.zone == own.zone} - {own.id},
    ):
        if domain and domain <= lost_by_id.keys():
            if domain & unrelated_ids:
                return True
    return False


MIN_CRASHED_WORKERS = 2
"""Workers that must have crashed under a task before its job may be shown as failed, as the users
ask. A worker that is only silent may have been cut off, and its runs may go on."""


def is_given_up(crashes: Sequence[WorkerCrash], max_worker_crashes: int) -> bool:
    """Return whether a task is given up.

    No task is given up whose every crash may have been caused by another task beside it, or under
    which fewer than two workers are known to have crashed, unless more workers have been lost than
    the users tolerate even so. A crash that another task has caused counts for that limit only.

    :param crashes: crashes that it may have caused.
    :param max_worker_crashes: number of crashes at which it is given up; a conclusive one counts
        twice.
    """
    weight = sum(crash.weight for crash in crashes)
    is_proven = any(crash.is_sole and not crash.is_explained for crash in crashes)
    crashed_workers = {crash.worker for crash in crashes if crash.is_certain}
    if weight >= max_worker_crashes and is_proven and len(crashed_workers) >= MIN_CRASHED_WORKERS:
        return True
    losses = len(crashes)
    if len(crashed_workers) >= MIN_CRASHED_WORKERS:
        losses = sum(max(1, crash.weight) for crash in crashes)
    return losses >= max_worker_crashes + STARTS_TOLERATED
