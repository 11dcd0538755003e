"""Order in which waiting units of one priority start."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mimosapoint.cell.decisions.context import DecisionContext
from mimosapoint.cell.decisions.deadline_class import (
    DeadlineClass,
    classify_end,
    soft_deadline,
    worthless_after,
)
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.workload import URGENT_PRIORITY

__all__ = ["StartOrder", "find_start_order", "start_order", "start_order_names"]

StartOrder = Callable[[Unit, DecisionContext], tuple[Any, ...]]
"""Returns the sort key of a waiting unit among those of its priority."""

_orders_by_name: dict[str, StartOrder] = {}


def start_order(name: str) -> Callable[[StartOrder], StartOrder]:
    """Register a start order under a name that settings may state."""

    def register(order: StartOrder) -> StartOrder:
        _orders_by_name[name] = order
        return order

    return register


def start_order_names() -> tuple[str, ...]:
    """Return the names of all start orders."""
    return tuple(sorted(_orders_by_name))


def find_start_order(name: str) -> StartOrder:
    """Return the start order with a name.

    :raises KeyError: there is none.
    """
    return _orders_by_name[name]


@start_order("latest-start")
def latest_start(unit: Unit, context: DecisionContext) -> tuple[Any, ...]:
    """Order by the latest start that is in time; units that can no longer end in time come last.

    The soft deadline follows the expected duration: by an estimate that is far too short, a gang
    that has to start again would count as late while its caller still has time.
    """
    durations = context.durations
    latest = soft_deadline(unit, durations) - durations.time_needed(unit)
    return (latest < context.now, latest)


AGING_FACTOR = 2
"""A worthless unit waits at most this multiple of the time for which its result was of use before
it precedes the others of its priority."""


@start_order("least-cost")
def least_cost(unit: Unit, context: DecisionContext) -> tuple[Any, ...]:
    """Order by what a delay costs callers.

    Urgent units that can be in time are ordered by their latest start, as their deadlines leave
    little slack. Others are ordered by the work that their job still needs: a job counts once all
    its tasks are done, so that jobs with little left release capacity soonest. Worthless units come
    last, until they have aged.
    """
    now, durations = context.now, context.durations
    due = unit.job.due(unit.id.occurrence)
    if now >= due + AGING_FACTOR * (worthless_after(unit, durations) - due):
        return (-1, due.timestamp())
    path = durations.time_needed(unit)
    deadline_class = classify_end(unit, now + path, durations)
    if deadline_class is DeadlineClass.WORTHLESS:
        return (deadline_class, unit.job.remaining_work(unit.id.occurrence))
    if context.configuration.priority_of(unit.job.record) != URGENT_PRIORITY:
        return (DeadlineClass.IN_TIME, unit.job.remaining_work(unit.id.occurrence))
    if deadline_class is DeadlineClass.IN_TIME:
        latest = soft_deadline(unit, durations) - path
        return (deadline_class, latest.timestamp())
    return (deadline_class, unit.job.remaining_work(unit.id.occurrence))
