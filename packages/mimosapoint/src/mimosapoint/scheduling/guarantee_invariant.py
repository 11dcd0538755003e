"""Check that a decision leaves every unclaimed guarantee within reach."""

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
    placed = _usage(jobs)
    return [
        f"{id} holds more than it has"
        for id, worker in sorted(view.workers_by_id.items())
        if worker.usable and not fits(placed.get(id, ZERO), to_vector(worker.capacity))
    ]


def invariant_violations(
    view: ZoneView, decision: Decision, allocations: Mapping[tuple, GuaranteeAllocation]
) -> tuple[str, ...]:
    """Return what the decision breaks, one line for each fault.

    The homes are the witness: homes and the work that can't be stopped fit together, and a unit
    without a home has no room for one.

    :param allocations: homes that the policy keeps, by workspace, guarantee and index.
    """
    jobs = _jobs_after(view, decision)
    faults = _overcommitted_workers(view, jobs)
    room = {id: to_vector(w.capacity) for id, w in view.workers_by_id.items() if w.usable}
    rack_by_id = {id: view.workers_by_id[id].rack for id in sorted(room)}
    for home in allocations.values():
        if not all(worker in room for worker in home.resources_by_worker):
            faults.append(f"{home.guarantee_instance.key} lies on a lost worker")
    strays = _deduct_commitments(jobs, allocations, room)
    faults.extend(
        f"{id} is promised twice" for id, left in sorted(room.items()) if not fits(ZERO, left)
    )
    return tuple(faults) + _unallocated_instances(view, allocations, strays, room, rack_by_id)


def _deduct_commitments(
    jobs: list, homes: Mapping[tuple, GuaranteeAllocation], room: dict
) -> Counter:
    """Take homes and firm work out of the room; return claims outside homes.

    On each worker a workspace takes the larger of its homes and its firm work.
    """
    kept: dict[tuple[str, str], ResourceVector] = {}
    for home in homes.values():
        for worker, amount in home.resources_by_worker.items():
            key = (home.guarantee_instance.workspace, worker)
            kept[key] = add(kept.get(key, ZERO), amount)
    firm: dict[tuple[str, str], ResourceVector] = {}
    strays: Counter = Counter()
    for record, workers, guarantee in jobs:
        workspace = record.request.workspace
        if guarantee is None and record.request.interruptible:
            continue
        for worker, amount in gang_resources(GangDemand.of(record.request), workers).items():
            firm[workspace, worker] = add(firm.get((workspace, worker), ZERO), amount)
        if guarantee is not None and any((workspace, worker) not in kept for worker in workers):
            strays[workspace, guarantee] += 1
    for workspace, worker in kept.keys() | firm.keys():
        key = (workspace, worker)
        if worker in room:
            room[worker] = subtract(room[worker], maximum(kept.get(key, ZERO), firm.get(key, ZERO)))
    return strays


def _unallocated_instances(
    view: ZoneView,
    homes: Mapping[tuple, GuaranteeAllocation],
    outside_claims: Counter,
    room: dict,
    rack_by_id: dict,
) -> tuple[str, ...]:
    faults = []
    for unit in instances_in_zone(view.configuration, view.zone):
        if unit.key in homes:
            continue
        if outside_claims[unit.key[:2]] > 0:
            outside_claims[unit.key[:2]] -= 1
        elif find_allocation(unit, room, rack_by_id) is not None:
            faults.append(f"{unit.key} has no home though one fits")
    return tuple(faults)
