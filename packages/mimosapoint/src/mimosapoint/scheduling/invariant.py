"""Check that a decision leaves every unclaimed guarantee within reach."""

from collections import Counter
from collections.abc import Mapping

from mimosapoint.model import JobRecord
from mimosapoint.scheduling._vectors import ZERO, Vector, fits, minus, most, plus, vector
from mimosapoint.scheduling.homes import Home, find_home, units_of
from mimosapoint.scheduling.places import Need, amounts
from mimosapoint.scheduling.view import Decision, ZoneView

__all__ = ["invariant_broken"]


def _after(view: ZoneView, decision: Decision) -> list[tuple[JobRecord, tuple, str | None]]:
    """Return the jobs that hold workers after the decision, with workers and guarantee."""
    found = [
        (record, record.placement.workers, record.placement.guarantee)
        for record in view.running_by_id.values()
    ]
    waiting = {record.id: record for record in view.waiting}
    for assignment in decision.assignments:
        found.append((waiting[assignment.job], assignment.workers, assignment.guarantee))
    return found


def _usage(jobs: list[tuple[JobRecord, tuple, str | None]]) -> dict[str, Vector]:
    used: dict[str, Vector] = {}
    for record, workers, _ in jobs:
        for worker, amount in amounts(Need.of(record.request), workers).items():
            used[worker] = plus(used.get(worker, ZERO), amount)
    return used


def _overfull(view: ZoneView, jobs: list) -> list[str]:
    placed = _usage(jobs)
    return [
        f"{id} holds more than it has"
        for id, worker in sorted(view.workers_by_id.items())
        if worker.usable and not fits(placed.get(id, ZERO), vector(worker.capacity))
    ]


def invariant_broken(
    view: ZoneView, decision: Decision, homes: Mapping[tuple, Home]
) -> tuple[str, ...]:
    """Return what the decision breaks, one line for each fault.

    The homes are the witness: homes and the work that can't be stopped fit together, and a unit
    without a home has no room for one.

    :param homes: homes that the policy keeps, by workspace, guarantee and index.
    """
    jobs = _after(view, decision)
    faults = _overfull(view, jobs)
    room = {id: vector(w.capacity) for id, w in view.workers_by_id.items() if w.usable}
    rack_by_id = {id: view.workers_by_id[id].rack for id in sorted(room)}
    for home in homes.values():
        if not all(worker in room for worker in home.amounts):
            faults.append(f"{home.unit.key} lies on a lost worker")
    strays = _take_promised(jobs, homes, room)
    faults.extend(
        f"{id} is promised twice" for id, left in sorted(room.items()) if not fits(ZERO, left)
    )
    return tuple(faults) + _homeless(view, homes, strays, room, rack_by_id)


def _take_promised(jobs: list, homes: Mapping[tuple, Home], room: dict) -> Counter:
    """Take homes and firm work out of the room; return claims outside homes.

    On each worker a workspace takes the larger of its homes and its firm work.
    """
    kept: dict[tuple[str, str], Vector] = {}
    for home in homes.values():
        for worker, amount in home.amounts.items():
            key = (home.unit.workspace, worker)
            kept[key] = plus(kept.get(key, ZERO), amount)
    firm: dict[tuple[str, str], Vector] = {}
    strays: Counter = Counter()
    for record, workers, guarantee in jobs:
        workspace = record.request.workspace
        if guarantee is None and record.request.interruptible:
            continue
        for worker, amount in amounts(Need.of(record.request), workers).items():
            firm[workspace, worker] = plus(firm.get((workspace, worker), ZERO), amount)
        if guarantee is not None and any((workspace, worker) not in kept for worker in workers):
            strays[workspace, guarantee] += 1
    for workspace, worker in kept.keys() | firm.keys():
        key = (workspace, worker)
        if worker in room:
            room[worker] = minus(room[worker], most(kept.get(key, ZERO), firm.get(key, ZERO)))
    return strays


def _homeless(
    view: ZoneView, homes: Mapping[tuple, Home], strays: Counter, room: dict, rack_by_id: dict
) -> tuple[str, ...]:
    faults = []
    for unit in units_of(view.configuration, view.zone):
        if unit.key in homes:
            continue
        if strays[unit.key[:2]] > 0:
            strays[unit.key[:2]] -= 1
        elif find_home(unit, room, rack_by_id) is not None:
            faults.append(f"{unit.key} has no home though one fits")
    return tuple(faults)
