"""Room that is drained for large gangs which would starve otherwise."""

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
    """Workers on which a gang is going to run once their present work has ended.

    :param workspace: id of the gang's workspace.
    :param rank: place of its class in the order, urgent first.
    :param workers: worker of each task.
    :param resources_by_worker: what the gang takes on each worker.
    :param ready_at: time at which the room is expected to be free.
    :param made_at: time at which the workers were chosen.
    :param blocks_claims_until: time until which newer claims of the workspace keep off.
    """

    workspace: str
    rank: int
    workers: tuple[str, ...]
    resources_by_worker: dict[str, ResourceVector]
    ready_at: datetime
    made_at: datetime
    blocks_claims_until: datetime


def _task_ready_delays(
    ledger: ZoneState,
    worker: str,
    need: GangDemand,
    most: int,
    remaining: Callable[[RunningJob], float],
) -> list[float]:
    """Return after how many seconds a worker has room for one task, for two and so on."""
    found: list[float] = []
    room = ledger.unreserved[worker]
    ends = sorted(
        (remaining(entry), entry.resources_by_worker[worker]) for entry in ledger.jobs_on(worker)
    )
    seconds = 0.0
    for after, amount in [(0.0, (0, 0, 0, 0)), *ends]:
        seconds = max(seconds, after)
        room = add(room, amount)
        while len(found) < most and fits(scale(need.task_vector, len(found) + 1), room):
            found.append(seconds)
    return found


def find_reservation(
    ledger: ZoneState,
    kind: EquivalenceClass,
    limit: Callable[[str], int],
    remaining: Callable[[RunningJob], float],
    now: datetime,
) -> Reservation | None:
    """Return the workers that will be free for a gang first, or ``None`` when none ever will.

    :param limit: returns how many tasks of the gang a worker may hold.
    :param remaining: returns the seconds that a running job still needs.
    :param now: time of the decision.
    """
    need = kind.need
    best: list[tuple[float, str]] | None = None
    for part in ledger.domains(need.adjacency):
        waits = [
            (seconds, worker)
            for worker in part
            for seconds in _task_ready_delays(ledger, worker, need, limit(worker), remaining)
        ]
        chosen = sorted(waits)[: need.gang]
        if len(chosen) == need.gang and (best is None or chosen[-1][0] < best[-1][0]):
            best = chosen
    if best is None:
        return None
    workers = tuple(sorted(worker for _, worker in best))
    ready_at = now + timedelta(seconds=best[-1][0])
    taken = gang_resources(need, workers)
    return Reservation(kind.workspace, kind.rank, workers, taken, ready_at, now, now)


def may_be_preempted_by(entry: RunningJob, kind: EquivalenceClass) -> bool:
    """Tell whether a running gang may be stopped for a starving one."""
    request = entry.record.request
    size = request.gang * request.shape.accelerators
    smaller = size <= kind.need.accelerators
    return not entry.non_preemptible and smaller and class_rank(request.job_class) >= kind.rank


def plan_reservation_preemption(
    ledger: ZoneState, kind: EquivalenceClass, found: Reservation, now: datetime
) -> PreemptionPlan | None:
    """Return a plan that stops the borrowers on reserved room, or ``None`` when others stay.

    Only gangs that are neither larger nor of a more urgent class give way.
    """
    room = {worker: ledger.future_available(worker) for worker in found.resources_by_worker}
    if not kind.interruptible:
        allowed = ledger.guarantees.non_preemptible_limit
        limit = {worker: allowed(kind.workspace, worker) for worker in found.resources_by_worker}
        if not all(
            fits(amount, limit[worker]) for worker, amount in found.resources_by_worker.items()
        ):
            return None
    short = {
        worker: subtract(amount, room[worker])
        for worker, amount in found.resources_by_worker.items()
    }
    candidates = [
        e
        for w in found.resources_by_worker
        for e in ledger.victims_on(w)
        if may_be_preempted_by(e, kind)
    ]
    victims = pick_victims(short, candidates, now)
    return (
        None
        if victims is None
        else PreemptionPlan(found.workers, found.resources_by_worker, tuple(victims))
    )
