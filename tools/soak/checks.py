"""Checks of what workers and callers observed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from mimosapoint.memory import RunRecord, RunSimulation
from mimosapoint.testing.crash_checks import crash_violations
from mimosapoint.testing.quota_checks import quota_violations
from mimosapoint.testing.run_checks import run_violations
from mimosapoint.workload import CellConfiguration, ResourceAmounts, RunEnd

from tools.soak.callers import Callers
from tools.soak.configurations import WORKSPACE, Configurations
from tools.soak.connections import Request
from tools.soak.cut_requests import cut_requests
from tools.soak.disturbances import Disturbance, calm_spans
from tools.soak.end_checks import ENDS, ends_without_cause, removable_at_by_job
from tools.soak.site import CONFIGURATION_MS, SoakSite
from tools.soak.standstill import WaitingJob, standing_jobs
from tools.soak.zones import Zones

__all__ = [
    "calm_times",
    "ends_taken_back",
    "find_violations",
    "outdated_replies",
    "run_reply_contradictions",
    "starts_above_cap",
    "starts_after_told_end",
    "starts_in_withdrawn_zones",
    "unknown_jobs",
]

CONFIGURATION_SECONDS = CONFIGURATION_MS / 1000

WITHDRAWAL_SECONDS = CONFIGURATION_SECONDS + 1.0
"""Time from a withdrawal to the last start: a start may take effect a second after its order. The
same holds for starts under an earlier cap."""

START_SECONDS_BY_END = {"complete": 0.0, "failed": 0.0, "cancelled": WITHDRAWAL_SECONDS}
"""Time from the reply that tells an end to the last start of the job."""

DOWN_SECONDS = 2.0
"""Time for which a worker that has crashed does not reply."""

HANDLED = 200
"""Stands for every status of a request whose queue and key are known."""

HANDLED_STATUSES = (200, 409, 410)


def find_violations(site: SoakSite, callers: Callers) -> list[str]:
    """Return contradictions of what was observed to the promises."""
    simulation = site.simulation
    requests = callers.connections.requests
    return [
        *([] if callers.accepted_at_by_job else ["no job was accepted"]),
        *run_violations(simulation.history, simulation.over_capacity_workers),
        *crash_violations(simulation.history),
        *run_reply_contradictions(simulation.history, callers.refused, callers.cancelled),
        *unknown_jobs(requests, callers.accepted_at_by_job),
        *starts_after_told_end(simulation.history, requests),
        *ends_taken_back(requests),
        *outdated_replies(requests, site.configurations),
        *starts_in_withdrawn_zones(simulation, site.zones),
        *starts_above_cap(simulation.history, site.configurations, callers.workspace_of),
        *ends_without_cause(simulation.history, requests),
        *cut_requests(requests, site.planned_work, [*site.disturbances, *_shortages(site)]),
        *_standing_jobs(site, callers),
    ]


def calm_times(site: SoakSite) -> list[tuple[float, float]]:
    """Return the times without disturbances in which nodes served, begin and end of each.

    Crashes of workers are disturbances, and so is a shortage of processor time.
    """
    crashes = [
        Disturbance("crash", record.ended_at, record.ended_at + DOWN_SECONDS)
        for record in site.simulation.history
        if record.end is RunEnd.LOST
    ]
    disturbances = [*site.disturbances, *_shortages(site), *crashes]
    return list(calm_spans(disturbances, site.ready_at, site.stopped_at))


def _shortages(site: SoakSite) -> list[Disturbance]:
    delays = [*site.log.lags, *site.log.waits]
    return [Disturbance("shortage", at - seconds, at) for at, seconds in delays]


def _standing_jobs(site: SoakSite, callers: Callers) -> list[str]:
    simulation = site.simulation
    requests = callers.connections.requests
    excluded = {request.job for request in requests if request.method == "DELETE"}
    excluded |= {request.job for request in requests if request.state == "failed"}
    jobs = [
        WaitingJob(site.jobs[job], accepted_at)
        for job, accepted_at in callers.accepted_at_by_job.items()
        if job not in excluded
    ]
    return standing_jobs(
        jobs,
        simulation.history,
        callers.workspace_of,
        dict.fromkeys(simulation.workers_by_id, site.profile.worker_capacity),
        site.configurations.caps_in_force,
        calm_times(site),
    )


def run_reply_contradictions(
    history: Iterable[RunRecord], refused: set[str], cancelled: set[str]
) -> list[str]:
    """Return jobs that ran though refused, or run though cancelled.

    :param history: the runs.
    :param refused: jobs that each reply refused.
    :param cancelled: jobs whose cancellation was confirmed.
    """
    started = {record.task.job for record in history}
    running = {record.task.job for record in history if record.ended_at is None}
    return [
        *(f"{job} ran though it was refused" for job in sorted(started & refused)),
        *(f"{job} runs on though cancelled" for job in sorted(running & cancelled)),
    ]


def unknown_jobs(requests: Iterable[Request], accepted_at_by_job: dict[str, float]) -> list[str]:
    """Return replies that a job is unknown to requests sent after its acceptance.

    A job may be removed some time after its end.
    """
    requests = list(requests)
    removable_at = removable_at_by_job(requests)
    return [
        f"{request.job} is accepted and unknown to node {request.node}"
        for request in requests
        if request.status == 410
        and request.sent_at > accepted_at_by_job.get(request.job, float("inf"))
        and request.replied_at < removable_at.get(request.job, float("inf"))
    ]


def starts_after_told_end(history: Iterable[RunRecord], requests: Iterable[Request]) -> list[str]:
    """Return runs that started after a node had told that their job has ended.

    A worker that has lost the end of a task does not excuse a start after that.
    """
    told_by_job = _first_told_ends(requests)
    return [
        f"{record.task} started as run {record.run} on {record.worker} at {record.started_at:.3f},"
        f" and node {told.node} had told {told.state} at {told.replied_at:.3f}"
        for record in history
        for told in told_by_job.get(record.task.job, ())
        if record.started_at > told.replied_at + START_SECONDS_BY_END[told.state]
    ]


def ends_taken_back(requests: Iterable[Request]) -> list[str]:
    """Return replies that contradict an end told before their request was sent."""
    requests = list(requests)
    told_by_job, removable_at = _first_told_ends(requests), removable_at_by_job(requests)
    return [
        f"node {request.node} told {request.state or 'unknown'} of {request.job} at"
        f" {request.replied_at:.3f}, asked at {request.sent_at:.3f}, and node {told.node} had told"
        f" {told.state} at {told.replied_at:.3f}"
        for request in requests
        if request.state
        or (request.status == 410 and request.replied_at < removable_at.get(request.job, 0.0))
        for told in told_by_job.get(request.job, ())
        if request.sent_at > told.replied_at and request.state != told.state
    ]


def _first_told_ends(requests: Iterable[Request]) -> dict[str, list[Request]]:
    """Return the first request, by its reply, that told each kind of end, by job."""
    told_by_job: dict[str, dict[str, Request]] = {}
    for request in sorted(requests, key=lambda each: each.replied_at):
        if request.state in ENDS:
            told_by_job.setdefault(request.job, {}).setdefault(request.state, request)
    return {job: list(told.values()) for job, told in told_by_job.items()}


def outdated_replies(requests: Iterable[Request], configurations: Configurations) -> list[str]:
    """Return replies that no version allows which may be in force at the time of the request.

    These are the version that was confirmed ``CONFIGURATION_SECONDS`` before it was sent, and all
    later ones until the reply.
    """
    violations = []
    for request in requests:
        status = HANDLED if request.status in HANDLED_STATUSES else request.status
        if status not in (HANDLED, 401, 404):
            continue
        since = request.sent_at - CONFIGURATION_SECONDS
        versions = configurations.in_force(since, request.replied_at)
        if status not in {_status_under(version, request) for version in versions}:
            numbers = ", ".join(str(version.version) for version in versions)
            violations.append(
                f"{request.method} of {request.job} in {request.queue} with {request.key} at node "
                f"{request.node} got {request.status}, which version {numbers} does not allow"
            )
    return violations


def _status_under(version: CellConfiguration, request: Request) -> int:
    if request.queue not in version.queues_by_name:
        return 404
    return HANDLED if version.find_workspace(request.key) else 401


def starts_in_withdrawn_zones(simulation: RunSimulation, zones: Zones) -> list[str]:
    """Return runs that started in a zone later than ``WITHDRAWAL_SECONDS`` after its withdrawal."""
    violations = []
    for record in simulation.history:
        zone = simulation.workers_by_id[record.worker].registration.zone
        for began, ended in zones.withdrawals_by_zone.get(zone, ()):
            if began + WITHDRAWAL_SECONDS < record.started_at < (ended or float("inf")):
                seconds = record.started_at - began
                violations.append(
                    f"{record.task} started {seconds:.1f} s after {zone} was withdrawn"
                )
    return violations


def starts_above_cap(
    history: Iterable[RunRecord],
    configurations: Configurations,
    workspace_of: Callable[[str], str] = lambda job: WORKSPACE,
) -> list[str]:
    """Return starts that brought a workspace above each cap that may have been in force.

    The limit is the cap itself. Users allow a tenth and one task more.

    :param workspace_of: returns the workspace of a job.
    """

    def caps_in_force(workspace: str, at: float) -> list[ResourceAmounts]:
        return configurations.caps_in_force(workspace, at - WITHDRAWAL_SECONDS, at)

    return quota_violations(history, workspace_of, caps_in_force)
