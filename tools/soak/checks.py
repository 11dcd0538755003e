"""Checks of what workers and callers observed."""

from __future__ import annotations

from collections.abc import Iterable

from mimosapoint.memory import RunRecord, RunSimulation
from mimosapoint.testing.crash_checks import crash_violations
from mimosapoint.testing.quota_checks import quota_violations
from mimosapoint.testing.run_checks import run_violations
from mimosapoint.workload import CellConfiguration, ResourceAmounts

from tools.soak.callers import Callers
from tools.soak.configurations import Configurations
from tools.soak.connections import Request
from tools.soak.site import CONFIGURATION_MS, SoakSite
from tools.soak.zones import Zones

__all__ = [
    "find_violations",
    "outdated_replies",
    "run_reply_contradictions",
    "starts_above_cap",
    "starts_in_withdrawn_zones",
    "unknown_jobs",
]

CONFIGURATION_SECONDS = CONFIGURATION_MS / 1000

WITHDRAWAL_SECONDS = CONFIGURATION_SECONDS + 1.0
"""Time from a withdrawal to the last start: a start may take effect a second after its order. The
same holds for starts under an earlier cap."""

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
        *outdated_replies(requests, site.configurations),
        *starts_in_withdrawn_zones(simulation, site.zones),
        *starts_above_cap(simulation.history, site.configurations),
    ]


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
    """Return replies that a job is unknown to requests sent after its acceptance."""
    return [
        f"{request.job} is accepted and unknown to node {request.node}"
        for request in requests
        if request.status == 410
        and request.sent_at > accepted_at_by_job.get(request.job, float("inf"))
    ]


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


def starts_above_cap(history: Iterable[RunRecord], configurations: Configurations) -> list[str]:
    """Return starts that brought the workspace above each cap that may have been in force.

    The limit is the cap itself. Users allow a tenth and one task more.
    """

    def caps_in_force(workspace: str, at: float) -> list[ResourceAmounts]:
        versions = configurations.in_force(at - WITHDRAWAL_SECONDS, at)
        return [each.cap for version in versions for each in version.tenants]

    return quota_violations(history, lambda job: "t", caps_in_force)
