"""What would happen to a described job now, without submitting it."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import attrs

from mimosapoint.cell.decisions.admission import AdmissionDecision
from mimosapoint.cell.decisions.forecast import forecast_start
from mimosapoint.cell.decisions.preemption_cost import lost_core_seconds
from mimosapoint.cell.decisions.units import Job, Unit, UnitState
from mimosapoint.cell.dry_run import DryRun
from mimosapoint.cell.explain import WaitReason, explain_capacity
from mimosapoint.workload import AcceptedJob, JobProgress

if TYPE_CHECKING:
    from mimosapoint.cell.core import CellNode
    from mimosapoint.cell.owner import Owner

__all__ = ["PROBE_JOB_ID", "PreemptedUnit", "WhereReport", "report_where"]

PROBE_JOB_ID = "~"
"""Id of a described job. No caller can choose it, and it comes last among equal units."""

MAX_PROBED_UNITS = 100
"""Most units of a described job in a dry run; more would take the owner longer than a decision."""


NO_START_REASONS = (WaitReason.NEVER_FITS, WaitReason.NO_WORKER, WaitReason.WORKERS_UNUSABLE)
"""Reasons that do not end with the runs of others."""


@attrs.frozen
class PreemptedUnit:
    """A unit that would be stopped.

    :param unit: id of the unit.
    :param queue: its queue.
    :param workspace: its workspace.
    :param lost_core_seconds: cost of the stop.
    """

    unit: str
    queue: str
    workspace: str
    lost_core_seconds: int


@attrs.frozen
class WhereReport:
    """What would happen to a described job.

    What only the owner knows is ``None`` in the report of another node.

    :param answered_from: ``owner`` for a dry run, ``summary`` for the published load summary.
    :param owner: id of the cell's owner; empty for none.
    :param admitted: whether the job would be admitted.
    :param reason: reason of that decision.
    :param retry_after_seconds: time after which a refused caller should try again.
    :param objective_seconds: time within which the job should be done.
    :param useful_seconds: time after which its result is worthless, if the load decided.
    :param expected_start_seconds: time until its first unit starts; ``None`` if unknown.
    :param start_known_from: ``decision`` (it starts now), ``preemption``, ``forecast`` (from the
        estimated ends of runs), ``drain-rate``, ``schedule``, ``quota`` (of its workspace),
        ``no-worker`` (no usable worker could run it even when empty) or ``unknown``.
    :param in_time: whether it would then be done within its objective, by its own estimates.
    :param position: place of its first unit among the waiting units, from 1.
    :param waiting_units: number of the waiting units, with its own.
    :param first_units: number of its units that need not wait for other steps; at most 100.
    :param starting_units: number of these that would start now.
    :param covered: whether the guarantee of its workspace would cover it.
    :param wait: why its first unit would wait; empty if it starts now.
    :param workers: workers of its first unit, one for each task.
    :param preempts: units that would be stopped for it.
    """

    answered_from: str
    owner: str
    admitted: bool
    reason: str
    retry_after_seconds: float | None
    objective_seconds: float
    useful_seconds: float | None
    expected_start_seconds: float | None = None
    start_known_from: str = "unknown"
    in_time: bool | None = None
    position: int | None = None
    waiting_units: int | None = None
    first_units: int | None = None
    starting_units: int | None = None
    covered: bool | None = None
    wait: str | None = None
    workers: tuple[str, ...] | None = None
    preempts: tuple[PreemptedUnit, ...] | None = None


async def report_where(node: CellNode, record: AcceptedJob) -> WhereReport:
    """Return what would happen to a job; nothing is stored and no decision changes.

    :param node: the reporting node; the owner makes a dry run of its planner.
    :param record: the job as it would be accepted.
    """
    decision = await node.gateway.admission.decide(record)
    objective = record.slack_factor * record.critical_path() + record.target
    report = WhereReport(
        "summary",
        node.owner_id,
        decision.admitted,
        decision.reason.value,
        _seconds(decision.retry_after),
        objective.total_seconds(),
        _seconds(decision.useful_time),
    )
    if node.owner is not None:
        report = _add_dry_run(report, node.owner, record)
    if report.start_known_from == "unknown":
        report = _add_drain_rate(report, decision)
    if report.expected_start_seconds is not None:
        end = report.expected_start_seconds + record.critical_path().total_seconds()
        report = attrs.evolve(report, in_time=end <= report.objective_seconds)
    return report


def _add_drain_rate(report: WhereReport, decision: AdmissionDecision) -> WhereReport:
    wait = decision.load.expected_wait if decision.load else None
    if wait is None:
        return report
    return attrs.evolve(
        report, expected_start_seconds=_seconds(wait), start_known_from="drain-rate"
    )


def _add_dry_run(report: WhereReport, owner: Owner, record: AcceptedJob) -> WhereReport:
    now = owner.now()
    units = _make_units(record, now)
    report = attrs.evolve(report, answered_from="owner", first_units=len(units))
    due = record.schedule.due(0) if record.schedule else now
    if due > now:
        return attrs.evolve(
            report,
            expected_start_seconds=_seconds(due - now),
            start_known_from="schedule",
            wait=f"not-due: {due.isoformat()}",
        )
    dry_run = owner.plan_dry_run(units)
    probes = set(units)
    first = next(unit for unit in dry_run.ordered if unit in probes)
    started = [start for start in dry_run.plan.starts if start.unit in probes]
    unit_ids = {unit.id for unit in units}
    stops = [
        stop.unit for stop in dry_run.plan.stops if stop.log_fields.get("claimant") in unit_ids
    ]
    report = attrs.evolve(
        report,
        position=dry_run.ordered.index(first) + 1,
        waiting_units=len(dry_run.ordered),
        starting_units=len(started),
        covered=record.id in dry_run.context.covered,
        preempts=tuple(_preempted(unit, now) for unit in stops),
    )
    if dry_run.obstacle is not None:
        reason = dry_run.obstacle
        return attrs.evolve(report, wait=f"{reason.reason.value}: {reason.detail}")
    if started:
        return attrs.evolve(
            report,
            expected_start_seconds=0.0,
            start_known_from="decision",
            wait="",
            workers=tuple(worker.id for worker in started[0].workers),
        )
    return _add_wait(report, owner, dry_run, first, bool(stops))


def _add_wait(
    report: WhereReport, owner: Owner, dry_run: DryRun, first: Unit, preempts: bool
) -> WhereReport:
    context = dry_run.context
    obstacle = dry_run.plan.quota_obstacles.get(first.id)
    if obstacle is not None:
        # The quota of its workspace delays it, whatever the workers have free.
        return attrs.evolve(
            report, wait=f"{obstacle.reason.value}: {obstacle.detail}", start_known_from="quota"
        )
    pool = context.configuration.pool_of(first.job.record)
    all_workers = [session.worker for session in owner.fleet.sessions_by_id.values()]
    reason = explain_capacity(first, pool, all_workers, dry_run.workers, context.now)
    report = attrs.evolve(report, wait=f"{reason.reason.value}: {reason.detail}")
    if reason.reason in NO_START_REASONS:
        return attrs.evolve(report, start_known_from="no-worker")
    if preempts:
        return attrs.evolve(
            report,
            expected_start_seconds=_seconds(owner.run_stop_time),
            start_known_from="preemption",
        )
    forecast = forecast_start(
        first, dry_run.ordered, owner.job_table.active_units(), dry_run.workers, context
    )
    if forecast is None:
        return report
    return attrs.evolve(
        report,
        expected_start_seconds=_seconds(forecast.at - context.now),
        start_known_from="forecast",
        workers=forecast.workers,
    )


def _make_units(record: AcceptedJob, now: datetime) -> list[Unit]:
    """Return the units that need not wait for other steps, at most :data:`MAX_PROBED_UNITS`."""
    job = Job(record, 2**62, JobProgress(), 0, now)
    units: list[Unit] = []
    for number, step in enumerate(record.steps):
        if step.after:
            continue
        for unit_id in record.units_of(0, number):
            if len(units) == MAX_PROBED_UNITS:
                return units
            units.append(Unit(unit_id, job, UnitState.WAITING, now))
    return units


def _preempted(unit: Unit, now: datetime) -> PreemptedUnit:
    record = unit.job.record
    return PreemptedUnit(
        str(unit.id), record.queue, record.tenant, round(lost_core_seconds(unit, now))
    )


def _seconds(duration: timedelta | None) -> float | None:
    return None if duration is None else round(duration.total_seconds(), 3)
