"""Whether the result of a unit's job would be in time, late but of use, or worthless."""

from __future__ import annotations

from datetime import datetime
from enum import IntEnum

from mimosapoint.cell.decisions.durations import Durations
from mimosapoint.cell.decisions.units import Unit

__all__ = ["DeadlineClass", "classify_end", "soft_deadline", "worthless_after"]

WORTHLESS_FACTOR = 3
"""A late result keeps some of its payoff up to this multiple of the time allowed for it."""


class DeadlineClass(IntEnum):
    """What the result of a job is worth to its caller."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


def soft_deadline(unit: Unit, durations: Durations) -> datetime:
    """Return the soft deadline of the unit's job by its expected duration.

    By an estimate that is far too short, a job would count as late while its caller has time.
    """
    return unit.job.soft_deadline(unit.id.occurrence, durations.critical_path(unit.job))


def classify_end(unit: Unit, end: datetime, durations: Durations) -> DeadlineClass:
    """Return the deadline class of the unit's job if it ends at the given time."""
    if end <= soft_deadline(unit, durations):
        return DeadlineClass.IN_TIME
    is_of_use = end <= worthless_after(unit, durations)
    return DeadlineClass.LATE if is_of_use else DeadlineClass.WORTHLESS


def worthless_after(unit: Unit, durations: Durations) -> datetime:
    """Return the latest end at which the result of the unit's job is of any use."""
    due = unit.job.due(unit.id.occurrence)
    return due + WORTHLESS_FACTOR * (soft_deadline(unit, durations) - due)
