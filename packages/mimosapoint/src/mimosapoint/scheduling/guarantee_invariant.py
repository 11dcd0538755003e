"""Check that every unclaimed guarantee remains claimable after a decision."""

from collections import Counter
from collections.abc import Mapping

from mimosapoint.model import JobRecord
from mimosapoint.scheduling._vectors import (
    ZERO,
    ResourceVector,
    add,
    fits,
    maximum,
    subtract,
    to_vector,
)
from mimosapoint.scheduling.guarantee_allocations import (
    GuaranteeAllocation,
    find_allocation,
    instances_in_zone,
)
from mimosapoint.scheduling.placement_search import GangDemand, gang_resources
from mimosapoint.scheduling.view import Decision, ZoneView

__all__ = ["invariant_violations"]


def _jobs_after(view: ZoneView, decision: Decision) -> list[tuple[JobRecord, tuple, str | None]]:
    """Return the jobs that hold workers after the decision, with workers and guarantee."""
    found = [
        (record, record.placement.workers, record.placement.guarantee)
        for record in view.running_by_id.values()
    ]
    waiting = {record.id: record for record in view.waiting}
    for assignment in decision.assignments:
        found.append((waiting[assignment.job], assignment.workers, assignment.guarantee))
    return found


def _usage(jobs: list[tuple[JobRecord, tuple, str | None]]) -> dict[str, ResourceVector]:
    used: dict[str, ResourceVector] = {}
    for record, workers, _ in jobs:
        for worker, amount in gang_resources(GangDemand.of(record.request), workers).items():
            used[worker] = add(used.get(worker, ZERO), amount)
    return used


def _overcommitted_workers(view: ZoneView, jobs: list) -> list[str]:
    used = _usage(jobs)
    return [
        f"{id} is overcommitted by jobs"
        for id, worker in sorted(view.workers_by_id.items())
        if worker.usable and not fits(used.get(id, ZERO), to_vector(worker.capacity))
    ]


def invariant_violations(
    view: ZoneView, decision: Decision, allocations: Mapping[tuple, GuaranteeAllocation]
) -> tuple[str, ...]:
    """Return one line for each violation of the guarantee invariant by a decision.

    The allocations prove that the guarantees are claimable: together with the non-preemptible
    work they fit on the usable workers, and an instance without an allocation is already claimed
    or fits nowhere.

    :param allocations: allocations of the policy, by workspace, guarantee and index.
    """
    jobs = _jobs_after(view, decision)
    violations = _overcommitted_workers(view, jobs)
    available = {id: to_vector(w.capacity) for id, w in view.workers_by_id.items() if w.usable}
    rack_by_id = {id: view.workers_by_id[id].rack for id in sorted(available)}
    for allocation in allocations.values():
        if not all(worker in available for worker in allocation.resources_by_worker):
            violations.append(
                f"{allocation.guarantee_instance.key} is allocated on an unusable worker"
            )
    outside_claims = _deduct_commitments(jobs, allocations, available)
    violations.extend(
        f"{id} is committed beyond its capacity"
        for id, left in sorted(available.items())
        if not fits(ZERO, left)
    )
    return tuple(violations) + _unallocated_instances(
        view, allocations, outside_claims, available, rack_by_id
    )


def _deduct_commitments(
    jobs: list, allocations: Mapping[tuple, GuaranteeAllocation], available: dict
) -> Counter:
    """Deduct allocations and non-preemptible work, and count claims outside the allocations.

    On each worker, the maximum of a workspace's allocations and its non-preemptible work is
    deducted.
    """
    allocated: dict[tuple[str, str], ResourceVector] = {}
    for allocation in allocations.values():
        for worker, amount in allocation.resources_by_worker.items():
            key = (allocation.guarantee_instance.workspace, worker)
            allocated[key] = add(allocated.get(key, ZERO), amount)
    non_preemptible: dict[tuple[str, str], ResourceVector] = {}
    outside_claims: Counter = Counter()
    for record, workers, guarantee in jobs:
        workspace = record.request.workspace
        if guarantee is None and record.request.interruptible:
            continue
        for worker, amount in gang_resources(GangDemand.of(record.request), workers).items():
            non_preemptible[workspace, worker] = add(
                non_preemptible.get((workspace, worker), ZERO), amount
            )
        if guarantee is not None and any(
            (workspace, worker) not in allocated for worker in workers
        ):
            outside_claims[workspace, guarantee] += 1
    for workspace, worker in allocated.keys() | non_preemptible.keys():
        key = (workspace, worker)
        if worker in available:
            available[worker] = subtract(
                available[worker], maximum(allocated.get(key, ZERO), non_preemptible.get(key, ZERO))
            )
    return outside_claims


def _unallocated_instances(
    view: ZoneView,
    allocations: Mapping[tuple, GuaranteeAllocation],
    outside_claims: Counter,
    available: dict,
    rack_by_id: dict,
) -> tuple[str, ...]:
    violations = []
    for instance in instances_in_zone(view.configuration, view.zone):
        if instance.key in allocations:
            continue
        if outside_claims[instance.key[:2]] > 0:
            outside_claims[instance.key[:2]] -= 1
        elif find_allocation(instance, available, rack_by_id) is not None:
            violations.append(f"{instance.key} has no allocation though one fits")
    return tuple(violations)
