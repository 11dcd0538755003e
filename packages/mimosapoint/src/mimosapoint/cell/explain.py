"""Explanation of why a unit waits, from the current state of the owner."""

from collections.abc import Iterable
from datetime import datetime
from enum import Enum

import attrs

from mimosapoint.cell.decisions.placement_state import PlacementState
from mimosapoint.cell.decisions.placing import place
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker

__all__ = ["WaitReason", "WaitExplanation", "explain_capacity"]


class WaitReason(Enum):
    """Reason why a unit waits."""

    OWNERSHIP_LOST = "ownership-lost"
    """The node does not hold the ownership any more."""
    CONFIGURATION_OLD = "configuration-old"
    """The configuration was not confirmed within the freshness bound."""
    INBOX_OLD = "inbox-old"
    """Accepted and cancelled jobs were not read within the freshness bound."""
    REGISTRATIONS_OLD = "registrations-old"
    """The workers' registrations were not read within the freshness bound."""
    EARLIER_OWNER = "earlier-owner"
    """An earlier owner may have started it on a worker whose runs are not known yet."""
    LAST_RUN = "last-run"
    """Its last run is still being stopped, or may have failed on a worker that is silent."""
    QUOTA = "quota"
    """It would exceed the cap of its workspace together with what the workspace uses now."""
    QUOTA_NEVER_FITS = "quota-never-fits"
    """It alone exceeds the cap of its workspace."""
    QUOTA_UNKNOWN = "quota-unknown"
    """What its capped workspace uses is not known: runs on some workers, or the jobs of some runs,
    are unknown."""
    ROOM_BEING_FREED = "room-being-freed"
    """Victims are being stopped for it."""
    NO_WORKER = "no-worker"
    """No worker of the service has the label that it needs."""
    WORKERS_UNUSABLE = "workers-unusable"
    """The workers that could run it are silent, draining, quarantined or in a withdrawn zone."""
    NEVER_FITS = "never-fits"
    """It would not fit even on empty workers."""
    NO_ROOM = "no-room"
    """Runs and ordered starts of other units occupy the capacity."""
    SUSPECT = "suspect"
    """Workers have crashed under it, and no worker is free of runs that might crash it, too."""
    RESERVED = "reserved"
    """It fits, but capacity or quota is reserved for gangs that wait."""
    NEXT = "next"
    """It fits into the free capacity, capacity holds of other units aside."""


@attrs.frozen
class WaitExplanation:
    """Explanation of why a unit waits.

    :param reason: the reason.
    :param detail: human-readable details.
    """

    reason: WaitReason
    detail: str


def explain_capacity(
    unit: Unit,
    pool: str,
    workers: Iterable[Worker],
    usable_workers: Iterable[Worker],
    now: datetime,
) -> WaitExplanation:
    """Explain a wait by comparing the demand of the unit with the capacity of the workers.

    :param unit: the waiting unit.
    :param pool: service whose workers may run the unit.
    :param workers: all workers.
    :param usable_workers: the workers that may get new work.
    :param now: time of the explanation.
    """
    step = unit.step
    matching_workers = sum(
        candidate.matches(unit, pool) for candidate in PlacementState(workers, now).candidates
    )
    if not matching_workers:
        label = f" with label {step.label}" if step.label else ""
        return WaitExplanation(WaitReason.NO_WORKER, f"no worker of {pool}{label}")
    placement_state = PlacementState(usable_workers, now)
    candidates = [
        candidate for candidate in placement_state.candidates if candidate.accepts(unit, pool)
    ]
    if not candidates:
        return WaitExplanation(
            WaitReason.WORKERS_UNUSABLE, f"none of {matching_workers} workers takes new work"
        )
    max_fit_count = sum(
        candidate.fit_count(unit, candidate.worker.registration.capacity)
        for candidate in candidates
    )
    needs = f"{unit.size} of {step.amounts.cpu_millis} millicores, {step.amounts.memory_mb} MB, "
    needs += f"{step.amounts.accelerators} accelerators"
    if max_fit_count < unit.size:
        return WaitExplanation(
            WaitReason.NEVER_FITS, f"needs {needs}; {max_fit_count} would fit on empty workers"
        )
    if unit.is_suspect:
        return WaitExplanation(
            WaitReason.SUSPECT,
            f"may have crashed a worker; needs {needs} without others",
        )
    if place(placement_state, unit, pool) is not None:
        return WaitExplanation(WaitReason.NEXT, f"needs {needs}; they fit")
    current_fit_count = sum(candidate.fit_count(unit) for candidate in candidates)
    rack_note = " within one rack" if step.gang and step.rack_local else ""
    return WaitExplanation(
        WaitReason.NO_ROOM,
        f"needs {needs}{rack_note}; {current_fit_count} fit now on {len(candidates)} workers",
    )
