"""Plans that make room for a gang by stopping others."""

from collections.abc import Callable, Iterable
from datetime import datetime

import attrs

from mimosapoint.model import JobClass
from mimosapoint.scheduling._vectors import ResourceVector, minimum, subtract
from mimosapoint.scheduling._zone_state import RunningJob, ZoneState
from mimosapoint.scheduling.guarantee_allocations import GuaranteeAllocation
from mimosapoint.scheduling.placement_search import (
    GangDemand,
    first_fit,
    gang_resources,
    topology_domains,
)
from mimosapoint.scheduling.victims import pick_victims

__all__ = ["PreemptionPlan", "plan_guarantee_claim", "plan_urgent_preemption"]

MAX_DOMAINS_COMPARED = 6
"""Parts of a zone for which victims are compared."""


@attrs.frozen
class PreemptionPlan:
    """Where a gang goes and who gives way.

    :param workers: worker of each task.
    :param resources_by_worker: what the gang takes on each worker.
    :param victims: gangs to stop.
    :param guarantee: id of the guarantee that is claimed, or ``None``.
    """

    workers: tuple[str, ...]
    resources_by_worker: dict[str, ResourceVector]
    victims: tuple[RunningJob, ...]
    guarantee: str | None = None

    def cost(self, now: datetime) -> tuple[float, int]:
        """Return lost work and number of victims."""
        return (sum(victim.lost_work(now) for victim in self.victims), len(self.victims))


def _plan(
    ledger: ZoneState,
    need: GangDemand,
    room: dict[str, ResourceVector],
    now: datetime,
    may_stop: Callable[[RunningJob], bool],
    guarantee: str | None = None,
) -> PreemptionPlan | None:
    coming = {worker: ledger.future_available(worker) for worker in room}
    ordered = sorted(room, key=lambda worker: (coming[worker][::-1], worker), reverse=True)
    parts = topology_domains(need.adjacency, ordered, ledger.rack_by_id)
    workers = first_fit(need, room, parts)
    if workers is None:
        return None
    taken = gang_resources(need, workers)
    short = {worker: subtract(amount, coming[worker]) for worker, amount in taken.items()}
    candidates = [e for w in taken for e in ledger.victims_on(w) if may_stop(e)]
    victims = pick_victims(short, candidates, now)
    return None if victims is None else PreemptionPlan(workers, taken, tuple(victims), guarantee)


def plan_guarantee_claim(
    ledger: ZoneState, need: GangDemand, homes: Iterable[GuaranteeAllocation], now: datetime
) -> PreemptionPlan | None:
    """Return the cheapest plan that puts the gang into one of the homes.

    :param homes: homes of its workspace.
    :param now: time of the decision.
    """
    plans = []
    for home in homes:
        room = ledger.guarantees.claimable(home)
        plans.append(
            _plan(ledger, need, room, now, lambda _: True, home.guarantee_instance.guarantee)
        )
    return min((p for p in plans if p is not None), key=lambda p: p.cost(now), default=None)


def _less_urgent(entry: RunningJob) -> bool:
    return entry.record.request.job_class is not JobClass.URGENT


def plan_urgent_preemption(
    ledger: ZoneState, need: GangDemand, workspace: str, non_preemptible: bool, now: datetime
) -> PreemptionPlan | None:
    """Return the cheapest plan found that puts an urgent gang in place of less urgent borrowers.

    :param workspace: id of its workspace.
    :param non_preemptible: whether the gang can't be stopped, so that homes of others are barred to it.
    :param now: time of the decision.
    """
    room = {worker: ledger.available_after_preemption(worker) for worker in ledger.rack_by_id}
    if non_preemptible:
        allowed = ledger.guarantees.non_preemptible_limit
        room = {w: minimum(amount, allowed(workspace, w)) for w, amount in room.items()}
    plans = []
    for part in _candidate_domains(ledger, need, room):
        part_room = {worker: room[worker] for worker in part}
        plans.append(_plan(ledger, need, part_room, now, _less_urgent))
    return min((p for p in plans if p is not None), key=lambda p: p.cost(now), default=None)


def _candidate_domains(
    ledger: ZoneState, need: GangDemand, room: dict[str, ResourceVector]
) -> list[list[str]]:
    """Return a few parts that could hold the gang, those with most coming room first."""
    parts = [part for part in ledger.domains(need.adjacency) if first_fit(need, room, [part])]
    parts.sort(key=lambda part: -sum(ledger.future_available(worker)[3] for worker in part))
    return parts[:MAX_DOMAINS_COMPARED]
