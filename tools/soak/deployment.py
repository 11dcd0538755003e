"""Load of a site of the size of a deployment, and the order in which its faults come."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
from mimosapoint.workload import CellWorkspace, ResourceAmounts

from tools.soak.profile import FIRST_SILENCE_SEED

__all__ = [
    "DEPLOYMENT_CAPS",
    "JOBS_PER_WORKER_SECOND",
    "PHASES",
    "WORKSPACES",
    "Phase",
    "job_steps",
    "phases_of",
]

JOBS_PER_WORKER_SECOND = 1.5 / 60
"""Accepted jobs use about a third of the workers."""

DEPLOYMENT_CAPS = (128, 96, 160)
"""Caps in accelerators of the workspace whose cap changes; the largest gang needs 52."""

WORKSPACES = tuple(
    CellWorkspace(
        f"workspace-{number}",
        frozenset({f"key-of-workspace-{number}"}),
        cap=ResourceAmounts(accelerators=accelerators),
        weight=weight,
    )
    for number, (accelerators, weight) in enumerate(
        [(192, 3.0), (128, 2.0), (96, 1.0), (96, 1.0), (64, 0.5), (64, 0.5), (64, 0.5)]
        # Workspaces without a cap.
        + [(0, 0.5), (0, 1.0)]
    )
)

GANG_SHARE = 0.1
SINGLE_TASKS_SHARE = 0.15
TWO_STEPS_SHARE = 0.3
"""Share of the jobs of single tasks that have a second, smaller step."""


@attrs.frozen
class Phase:
    """Time in which faults of some kinds begin one after the other.

    :param seconds: time in which faults begin; the phase lasts until they are cleared.
    :param faults: names of the faults; none for a calm time.
    :param gap_seconds: shortest and longest time from one begin to the next.
    """

    seconds: float
    faults: tuple[str, ...] = ()
    gap_seconds: tuple[float, float] = (0.0, 0.0)


CALM = Phase(10.0)

PHASES = (
    CALM,
    Phase(14.0, ("reload-settings", "rolling-stop-of-groups"), (3.0, 8.0)),
    CALM,
    Phase(
        25.0,
        (
            "crash-worker",
            "crash-worker",
            "crash-workers",
            "cut-worker",
            "kill-nodes",
            "kill-nodes",
            "kill-owner",
            "fail-worker",
            "change-workspace-cap",
            "resize-worker",
        ),
        (0.3, 2.0),
    ),
    CALM,
    Phase(0.1, ("lose-power",), (1.0, 1.0)),
)
"""Phases of a run; callers submit until the last one ends."""

SILENT_PHASES = (Phase(14.0, ("silence-everything",), (3.0, 8.0)), CALM)
"""Further phases, before the last two, of seeds in which connections go silent."""


def phases_of(seed: int) -> tuple[Phase, ...]:
    """Return the phases of a run.

    :param seed: seed of the run.
    """
    if seed < FIRST_SILENCE_SEED:
        return PHASES
    return (*PHASES[:-2], *SILENT_PHASES, *PHASES[-2:])


def job_steps(random: Random) -> list[dict[str, Any]]:
    """Return the steps of a job: a gang, many single tasks, or a few urgent ones."""
    kind = random.random()
    if kind < GANG_SHARE:
        return [_step(13, random.choice((1, 2, 4)), random.uniform(6, 10), gang=True)]
    if kind < GANG_SHARE + SINGLE_TASKS_SHARE:
        steps = [_step(39, 1, random.uniform(4, 9), saves_progress=True)]
        if random.random() < TWO_STEPS_SHARE:
            steps.append({**_step(4, 1, 2.0), "after": [0]})
        return steps
    return [_step(random.choice((3, 5)), random.choice((1, 2, 4, 8)), random.uniform(2, 3))]


def _step(count: int, accelerators: int, seconds: float, **more: Any) -> dict[str, Any]:
    return {
        "count": count,
        "cpu": 8000 * accelerators,
        "mem_mb": 8000 * accelerators,
        "gpu": accelerators,
        "estimate_ms": int(1000 * seconds),
        **more,
    }
