"""Bound of the time for which a job stands still beside ample room.

A unit may fit and yet not start: capacity or quota is reserved for a gang, or its gang waits for a
single rack. That is worth a short wait. Once it has lasted, one unit of each job of which nothing
runs is placed before anything is reserved, so that what was reserved is reduced by little. Urgent
units come before that: nothing is reserved against them, and what is held for them stays theirs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from datetime import datetime, timedelta

from mimosapoint.cell.decisions._decision import fit_key
from mimosapoint.cell.decisions.ample_room import AmpleRoom, stands_still
from mimosapoint.cell.decisions.placement_state import CandidateWorker, PlacementState
from mimosapoint.cell.decisions.placing import Placement, fit_counts
from mimosapoint.cell.decisions.units import Unit

__all__ = ["let_span", "next_overdue", "overdue_units", "place_overdue"]


def overdue_units(
    ordered: Iterable[Unit], room: AmpleRoom, now: datetime, max_standstill: timedelta
) -> Iterator[Unit]:
    """Yield the units that have waited beside ample room for too long, of jobs without runs.

    :param ordered: the waiting units, in the order in which they are placed.
    :param room: services and workspaces with ample room.
    :param now: present time.
    :param max_standstill: longest permitted wait.
    """
    if not room:
        return
    stands_by_job: dict[str, bool] = {}
    for unit in ordered:
        since = room.since(unit)
        if since is None or now - max(since, unit.since) < max_standstill:
            continue
        stands = stands_by_job.get(unit.id.job)
        if stands is None:
            stands = stands_by_job[unit.id.job] = stands_still(unit.job)
        if stands:
            yield unit


def next_overdue(
    waiting: Iterable[Unit], room: AmpleRoom, now: datetime, max_standstill: timedelta
) -> datetime | None:
    """Return when the next waiting unit will have waited for too long; ``None`` if none will."""
    if not room:
        return None
    times = (
        max(since, unit.since) + max_standstill
        for unit in waiting
        if (since := room.since(unit)) is not None
    )
    return min((time for time in times if time > now), default=None)


def place_overdue(
    placement_state: PlacementState, unit: Unit, pool: str, place: Placement
) -> list[CandidateWorker] | None:
    """Return a worker for each task of an overdue unit, if need be one with a suspect of a crash.

    The next crash of that worker says less about the suspect, and ends the run of the unit, too.

    :param placement_state: capacity that is available in this decision.
    :param unit: the unit, against which there is no evidence.
    :param pool: service whose workers may run the unit.
    :param place: rule that chooses the workers.
    """
    chosen = place(placement_state, unit, pool)
    isolated = [each for each in placement_state.candidates if each.is_isolated]
    if chosen is not None or not isolated:
        return chosen
    for candidate in isolated:
        candidate.is_isolated = False
    chosen = place(placement_state, unit, pool)
    for candidate in isolated:
        candidate.is_isolated = True
    return chosen


def let_span(
    placement_state: PlacementState, overdue: Iterable[Unit], pool_of: Callable[[Unit], str]
) -> None:
    """Let overdue gangs that should be in one rack span racks that together hold them twice over.

    :param placement_state: capacity that is available in this decision.
    :param overdue: units that have waited for too long.
    :param pool_of: returns the service whose workers may run a unit.
    """
    spans_by_key: dict[tuple, bool] = {}
    for unit in overdue:
        if not unit.step.rack_local:
            continue
        key = fit_key(unit)
        if key not in spans_by_key:
            counts = fit_counts(placement_state.candidates, unit, pool_of(unit))
            spans_by_key[key] = sum(counts.values()) >= 2 * unit.size
        if spans_by_key[key]:
            placement_state.spanning_ids.add(unit.id)
