"""Decisions of a cell: which units start where, which are stopped, and for which reasons.

The modules take plain values and call no worker and no store, so that loads can be tested without
a network.
"""

from mimosapoint.cell.decisions.planner import Plan, Planner, Start, Stop
from mimosapoint.cell.decisions.steady_placing import place_steadily
from mimosapoint.cell.decisions.units import Job, TaskRun, Unit, UnitState
from mimosapoint.cell.decisions.worker import Worker

__all__ = [
    "Job",
    "Plan",
    "Planner",
    "Start",
    "Stop",
    "TaskRun",
    "Unit",
    "UnitState",
    "Worker",
    "place_steadily",
]
