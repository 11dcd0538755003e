"""Why a unit waits, as far as the owner can tell now."""

from collections.abc import Iterable
from datetime import datetime
from enum import Enum

import attrs

from mimosapoint.cell.placement_state import PlacementState
from mimosapoint.cell.placing import place
from mimosapoint.cell.units import Unit
from mimosapoint.cell.worker_session import WorkerSession

__all__ = ["WaitReason", "WaitExplanation", "explain_capacity"]


class WaitReason(Enum):
    """Why a unit waits."""

    CONFIGURATION_OLD = "configuration-old"
    """The owner has not confirmed the configuration lately and starts nothing."""
    EARLIER_OWNER = "earlier-owner"
    """An earlier owner may have started it on a worker that has not answered yet."""
    LAST_RUN = "last-run"
    """Its last run is still being stopped."""
    ROOM_BEING_FREED = "room-being-freed"
    """Others are being stopped for it."""
    NO_WORKER = "no-worker"
    """No worker of the service has the label that it needs."""
    WORKERS_UNUSABLE = "workers-unusable"
    """The workers that could run it are silent, draining, put aside or in a withdrawn zone."""
    NEVER_FITS = "never-fits"
    """It would not fit if nothing else ran."""
    NO_ROOM = "no-room"
    """Other work has the room."""
    NEXT = "next"
    """It fits and starts with one of the next decisions."""


@attrs.frozen
class WaitExplanation:
    """Why a unit waits.

    :param reason: the reason.
    :param detail: for people.
    """

    reason: WaitReason
    detail: str


def explain_capacity(
    unit: Unit,
    pool: str,
    links: Iterable[WorkerSession],
    usable: Iterable[WorkerSession],
    now: datetime,
) -> WaitExplanation:
    """Tell how the unit and the room on the workers compare.

    :param links: every worker.
    :param usable: those that may get new work.
    """
    step = unit.step
    offering = sum(spot.matches(unit, pool) for spot in PlacementState(links, now).candidates)
    if not offering:
        label = f" with label {step.label}" if step.label else ""
        return WaitExplanation(WaitReason.NO_WORKER, f"no worker of {pool}{label}")
    room = PlacementState(usable, now)
    spots = [spot for spot in room.candidates if spot.accepts(unit, pool)]
    if not spots:
        return WaitExplanation(
            WaitReason.WORKERS_UNUSABLE, f"none of {offering} workers takes new work"
        )
    most = sum(spot.fit_count(unit, spot.session.registration.capacity) for spot in spots)
    need = f"{unit.size} of {step.amounts.cpu_millis} millicores, {step.amounts.memory_mb} MB, "
    need += f"{step.amounts.accelerators} accelerators"
    if most < unit.size:
        return WaitExplanation(
            WaitReason.NEVER_FITS, f"needs {need}; {most} would fit on empty workers"
        )
    if place(room, unit, pool) is not None:
        return WaitExplanation(WaitReason.NEXT, f"needs {need}; they fit")
    fits = sum(spot.fit_count(unit) for spot in spots)
    within = " within one rack" if step.gang and step.rack_local else ""
    return WaitExplanation(
        WaitReason.NO_ROOM, f"needs {need}{within}; {fits} fit now on {len(spots)} workers"
    )
