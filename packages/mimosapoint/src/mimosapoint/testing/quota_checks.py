"""Check of workspaces' caps against the runs that the simulated workers of a cell recorded."""

from collections.abc import Callable, Iterable

from mimosapoint.memory import RunRecord
from mimosapoint.workload import ResourceAmounts

__all__ = ["quota_violations"]

RESOURCES = ("cpu_millis", "memory_mb", "accelerators")


def quota_violations(
    history: Iterable[RunRecord],
    workspace_of: Callable[[str], str],
    caps_in_force: Callable[[str, float], Iterable[ResourceAmounts]],
    overrun: float = 0.0,
    extra_tasks: int = 0,
) -> list[str]:
    """Return the starts that brought the use of a workspace above its cap.

    The highest cap that may be in force counts; a cap of 0 is no limit.

    :param history: every run that a worker accepted, ordered by start.
    :param workspace_of: returns the workspace of a job.
    :param caps_in_force: returns the caps of a workspace that may be in force at a time.
    :param overrun: share of the cap by which the use may exceed it.
    :param extra_tasks: number of tasks, as large as the started one, by which it may exceed it.
    """
    violations = []
    running_by_workspace: dict[str, list[RunRecord]] = {}
    for record in sorted(history, key=lambda record: record.started_at):
        workspace = workspace_of(record.task.job)
        running = [
            each
            for each in running_by_workspace.get(workspace, [])
            if each.ended_at is None or each.ended_at > record.started_at
        ]
        running.append(record)
        running_by_workspace[workspace] = running
        caps = list(caps_in_force(workspace, record.started_at))
        for name in RESOURCES:
            needed = getattr(record.step.amounts, name)
            limits = [getattr(cap, name) for cap in caps]
            if not (needed and limits and all(limits)):
                continue
            used = sum(getattr(each.step.amounts, name) for each in running)
            if used > max(limits) * (1 + overrun) + extra_tasks * needed:
                violations.append(
                    f"{record.task} brings {workspace} to {used} {name} of {max(limits)}"
                )
    return violations
