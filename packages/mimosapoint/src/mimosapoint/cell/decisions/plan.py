"""The result of one decision."""

from __future__ import annotations

from datetime import datetime

import attrs

from mimosapoint.cell.decisions.quotas import QuotaObstacle
from mimosapoint.cell.decisions.units import Unit
from mimosapoint.cell.decisions.worker import Worker
from mimosapoint.workload import UnitId

__all__ = ["Plan", "Start", "Stop"]


@attrs.frozen
class Start:
    """A unit to start.

    :param unit: the unit.
    :param workers: a worker for each of its tasks.
    """

    unit: Unit
    workers: tuple[Worker, ...]


@attrs.frozen
class Stop:
    """A unit whose runs are to be stopped.

    :param unit: the unit.
    :param reason: reason of the stop, for logs.
    :param log_fields: values that decided the stop, for logs.
    :param kind: reason without ids, for metrics.
    :param harm: harm to the caller of the unit, for metrics.
    """

    unit: Unit
    reason: str
    log_fields: dict[str, object] = attrs.field(factory=dict, eq=False)
    kind: str = ""
    harm: str = ""


@attrs.define
class Plan:
    """Starts and stops of one decision.

    :param starts: units to start.
    :param stops: units to stop.
    :param next_decision_at: time by which another decision is due; ``None`` if none is.
    :param task_count: number of tasks in ``starts``.
    :param quota_obstacles: waiting units that the quotas of their workspaces do not admit.
    :param overdue_ids: started units of jobs that stood still for too long.
    :param reserving_room: gangs for which capacity of workers is reserved.
    :param reserving_quota_by_workspace: gang for which the quota of a workspace is reserved.
    """

    starts: list[Start] = attrs.field(factory=list)
    stops: list[Stop] = attrs.field(factory=list)
    next_decision_at: datetime | None = None
    task_count: int = 0
    quota_obstacles: dict[UnitId, QuotaObstacle] = attrs.field(factory=dict)
    overdue_ids: set[UnitId] = attrs.field(factory=set)
    reserving_room: list[Unit] = attrs.field(factory=list)
    reserving_quota_by_workspace: dict[str, Unit] = attrs.field(factory=dict)

    def start(self, unit: Unit, workers: tuple[Worker, ...]) -> None:
        """Add a unit to start."""
        self.starts.append(Start(unit, workers))
        self.task_count += len(workers)

    def decide_again_by(self, time: datetime) -> None:
        """Request another decision at a time, or earlier."""
        if self.next_decision_at is None or time < self.next_decision_at:
            self.next_decision_at = time
