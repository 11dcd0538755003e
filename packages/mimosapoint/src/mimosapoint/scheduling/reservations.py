"""Planning of reservations for large gangs, which a stream of small jobs would starve."""

from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from mimosapoint.scheduling._vectors import ResourceVector, add, fits, scale, subtract
from mimosapoint.scheduling._waiting_queue import EquivalenceClass, class_rank
from mimosapoint.scheduling._zone_state import RunningJob, ZoneState
from mimosapoint.scheduling.placement_search import GangDemand, gang_resources
from mimosapoint.scheduling.preemption import PreemptionPlan
from mimosapoint.scheduling.victims import pick_victims

__all__ = ["Reservation", "find_reservation", "may_be_preempted_by", "plan_reservation_preemption"]


@attrs.frozen
class Reservation:
    """Capacity reserved for a waiting gang until the jobs that use it have ended.

    :param workspace: id of the gang's workspace.
    :param rank: rank of its job class; 0 is urgent.
    :param workers: worker of each task.
    :param resources_by_worker: resources that the gang takes on each worker.
    :param ready_at: time at which the capacity is expected to be free.
    :param made_at: time at which the workers were chosen.
    :param blocks_claims_until: time until which other claims of the workspace on these workers
        are blocked.
    """

    workspace: str
    rank: int
    workers: tuple[str, ...]
    resources_by_worker: dict[str, ResourceVector]
    ready_at: datetime
    made_at: datetime
    blocks_claims_until: datetime


def _task_ready_delays(
    zone_state: ZoneState,
    worker: str,
    demand: GangDemand,
    max_tasks: int,
    remaining: Callable[[RunningJob], float],
) -> list[float]:
    """Return the seconds until a worker fits one task, two tasks and so on."""
    delays: list[float] = []
    available = zone_state.unreserved[worker]
    releases = sorted(
        (remaining(running_job), running_job.resources_by_worker[worker])
        for running_job in zone_state.jobs_on(worker)
    )
    ready_after = 0.0
    for delay, amount in [(0.0, (0, 0, 0, 0)), *releases]:
        ready_after = max(ready_after, delay)
        available = add(available, amount)
        while len(delays) < max_tasks and fits(
            scale(demand.task_vector, len(delays) + 1), available
        ):
            delays.append(ready_after)
    return delays


def find_reservation(
    zone_state: ZoneState,
    equivalence_class: EquivalenceClass,
    limit: Callable[[str], int],
    remaining: Callable[[RunningJob], float],
    now: datetime,
) -> Reservation | None:
    """Return a reservation of the workers that can hold a gang first.

    The result is ``None`` when the gang never fits into any topology domain.

    :param limit: returns how many tasks of the gang a worker may hold.
    :param remaining: returns the seconds that a running job is expected to need still.
    :param now: time of the decision.
    """
    demand = equivalence_class.demand
    best: list[tuple[float, str]] | None = None
    for domain in zone_state.domains(demand.adjacency):
        ready_delays = [
            (ready_after, worker)
            for worker in domain
            for ready_after in _task_ready_delays(
                zone_state, worker, demand, limit(worker), remaining
            )
        ]
        chosen = sorted(ready_delays)[: demand.gang]
        if len(chosen) == demand.gang and (best is None or chosen[-1][0] < best[-1][0]):
            best = chosen
    if best is None:
        return None
    workers = tuple(sorted(worker for _, worker in best))
    ready_at = now + timedelta(seconds=best[-1][0])
    resources_by_worker = gang_resources(demand, workers)
    return Reservation(
        equivalence_class.workspace,
        equivalence_class.rank,
        workers,
        resources_by_worker,
        ready_at,
        now,
        now,
    )


def may_be_preempted_by(running_job: RunningJob, equivalence_class: EquivalenceClass) -> bool:
    """Return whether a gang with a reservation may preempt a running gang."""
    request = running_job.record.request
    size = request.gang * request.shape.accelerators
    not_larger = size <= equivalence_class.demand.accelerators
    return (
        not running_job.non_preemptible
        and not_larger
        and class_rank(request.job_class) >= equivalence_class.rank
    )


def plan_reservation_preemption(
    zone_state: ZoneState,
    equivalence_class: EquivalenceClass,
    reservation: Reservation,
    now: datetime,
) -> PreemptionPlan | None:
    """Return a plan that preempts the borrowers of reserved capacity, or ``None``.

    Victims are neither larger than the gang nor of a more urgent class. There is no plan when
    they do not cover the deficit, or when a non-preemptible gang would exceed what its workspace
    may take on a worker.
    """
    available = {
        worker: zone_state.future_available(worker) for worker in reservation.resources_by_worker
    }
    if not equivalence_class.interruptible:
        limit = zone_state.guarantees.non_preemptible_limit
        limits = {
            worker: limit(equivalence_class.workspace, worker)
            for worker in reservation.resources_by_worker
        }
        if not all(
            fits(amount, limits[worker])
            for worker, amount in reservation.resources_by_worker.items()
        ):
            return None
    deficit = {
        worker: subtract(amount, available[worker])
        for worker, amount in reservation.resources_by_worker.items()
    }
    candidates = [
        running_job
        for worker in reservation.resources_by_worker
        for running_job in zone_state.victims_on(worker)
        if may_be_preempted_by(running_job, equivalence_class)
    ]
    victims = pick_victims(deficit, candidates, now)
    return (
        None
        if victims is None
        else PreemptionPlan(reservation.workers, reservation.resources_by_worker, tuple(victims))
    )
