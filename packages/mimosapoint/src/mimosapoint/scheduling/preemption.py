"""Planning of preemptions: where a gang goes and which running gangs are stopped for it."""

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
"""Topology domains whose preemption costs are compared."""


@attrs.frozen
class PreemptionPlan:
    """Placement of a gang and the victims preempted for it.

    :param workers: worker of each task.
    :param resources_by_worker: resources that the gang takes on each worker.
    :param victims: running gangs to preempt.
    :param guarantee: id of the guarantee that is claimed, or ``None``.
    """

    workers: tuple[str, ...]
    resources_by_worker: dict[str, ResourceVector]
    victims: tuple[RunningJob, ...]
    guarantee: str | None = None

    def cost(self, now: datetime) -> tuple[float, int]:
        """Return the lost work in accelerator-seconds and the number of victims."""
        return (sum(victim.lost_work(now) for victim in self.victims), len(self.victims))


def _plan(
    zone_state: ZoneState,
    demand: GangDemand,
    available: dict[str, ResourceVector],
    now: datetime,
    may_preempt: Callable[[RunningJob], bool],
    guarantee: str | None = None,
) -> PreemptionPlan | None:
    future_available = {worker: zone_state.future_available(worker) for worker in available}
    ordered = sorted(
        available, key=lambda worker: (future_available[worker][::-1], worker), reverse=True
    )
    domains = topology_domains(demand.adjacency, ordered, zone_state.rack_by_id)
    workers = first_fit(demand, available, domains)
    if workers is None:
        return None
    resources_by_worker = gang_resources(demand, workers)
    deficit = {
        worker: subtract(amount, future_available[worker])
        for worker, amount in resources_by_worker.items()
    }
    candidates = [
        running_job
        for w in resources_by_worker
        for running_job in zone_state.victims_on(w)
        if may_preempt(running_job)
    ]
    victims = pick_victims(deficit, candidates, now)
    return (
        None
        if victims is None
        else PreemptionPlan(workers, resources_by_worker, tuple(victims), guarantee)
    )


def plan_guarantee_claim(
    zone_state: ZoneState,
    demand: GangDemand,
    allocations: Iterable[GuaranteeAllocation],
    now: datetime,
) -> PreemptionPlan | None:
    """Return the cheapest plan that places the gang on one of the allocations, or ``None``.

    :param allocations: guarantee allocations of its workspace.
    :param now: time of the decision.
    """
    plans = []
    for allocation in allocations:
        available = zone_state.guarantees.claimable(allocation)
        plans.append(
            _plan(
                zone_state,
                demand,
                available,
                now,
                lambda _: True,
                allocation.guarantee_instance.guarantee,
            )
        )
    return min(
        (plan for plan in plans if plan is not None), key=lambda plan: plan.cost(now), default=None
    )


def _is_not_urgent(running_job: RunningJob) -> bool:
    return running_job.record.request.job_class is not JobClass.URGENT


def plan_urgent_preemption(
    zone_state: ZoneState, demand: GangDemand, workspace: str, non_preemptible: bool, now: datetime
) -> PreemptionPlan | None:
    """Return the cheapest plan found that preempts borrowers that are not urgent, or ``None``.

    :param workspace: id of its workspace.
    :param non_preemptible: whether the urgent gang may not be preempted, so that it must stay
        off the guarantee allocations of others.
    :param now: time of the decision.
    """
    available = {
        worker: zone_state.available_after_preemption(worker) for worker in zone_state.rack_by_id
    }
    if non_preemptible:
        limit = zone_state.guarantees.non_preemptible_limit
        available = {w: minimum(amount, limit(workspace, w)) for w, amount in available.items()}
    plans = []
    for domain in _candidate_domains(zone_state, demand, available):
        available_in_domain = {worker: available[worker] for worker in domain}
        plans.append(_plan(zone_state, demand, available_in_domain, now, _is_not_urgent))
    return min(
        (plan for plan in plans if plan is not None), key=lambda plan: plan.cost(now), default=None
    )


def _candidate_domains(
    zone_state: ZoneState, demand: GangDemand, available: dict[str, ResourceVector]
) -> list[list[str]]:
    """Return a few domains that could hold the gang, most future available accelerators first."""
    domains = [
        domain
        for domain in zone_state.domains(demand.adjacency)
        if first_fit(demand, available, [domain])
    ]
    domains.sort(
        key=lambda domain: -sum(zone_state.future_available(worker)[3] for worker in domain)
    )
    return domains[:MAX_DOMAINS_COMPARED]
