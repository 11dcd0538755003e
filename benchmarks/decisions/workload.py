"""Seeded random workloads like those of the two sites."""

import random
from datetime import datetime, timedelta, timezone

import attrs
from mimosapoint.configuration import Configuration
from mimosapoint.model import Adjacency, JobClass, JobRequest

from benchmarks.decisions.sites import task_resources

__all__ = ["START", "Arrival", "WorkloadSource", "agency_workload", "arrivals", "selat_workload"]

START = datetime(2026, 1, 5, tzinfo=timezone.utc)
"""Simulated time at which a run begins."""

MAX_RUN_TIME_ERROR = 10.0
"""Largest factor between the declared and the true run time of a job."""


@attrs.frozen
class WorkloadSource:
    """Source of the jobs of one service.

    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: class of its jobs.
    :param gangs: pairs of gang size and accelerators for each task, chosen with equal probability.
    :param run_seconds_range: shortest and longest true run time, in seconds.
    :param per_hour: mean number of jobs in an hour, at uniformly distributed times.
    :param bursts: number of jobs of each burst.
    :param burst_seconds: length of a burst, in seconds.
    :param deadline_after: seconds from the arrival to the deadline; 0 for jobs without one.
    :param interruptible_share: probability that a job is interruptible.
    """

    workspace: str
    service: str
    job_class: JobClass
    gangs: tuple[tuple[int, int], ...]
    run_seconds_range: tuple[float, float]
    per_hour: float = 0.0
    bursts: tuple[int, ...] = ()
    burst_seconds: float = 300.0
    deadline_after: float = 0.0
    interruptible_share: float = 1.0


@attrs.frozen
class Arrival:
    """Arrival of a job.

    :param at: seconds from the start of the run.
    :param zone: availability zone that accepts it.
    :param request: request of the caller.
    :param run_seconds: true run time, in seconds.
    :param cancel_at: seconds from the start at which the caller cancels, or ``None``.
    """

    at: float
    zone: str
    request: JobRequest
    run_seconds: float
    cancel_at: float | None = None


URGENT, NORMAL, DEFERRABLE = JobClass.URGENT, JobClass.NORMAL, JobClass.DEFERRABLE


def agency_workload() -> tuple[WorkloadSource, ...]:
    """Return the agency's sources: storm bulletins, nightly bursts, thumbnails, long renders."""
    return (
        WorkloadSource("civil-protection", "bulletins", URGENT, ((1, 1), (2, 1), (4, 1)), (15, 60),
                       10, (60, 90), 400, 120, 0.3),
        WorkloadSource("regional-offices", "rebuilds", DEFERRABLE, ((1, 2), (2, 2), (2, 8)),
                       (200, 900), 20, (60, 90), 600),
        WorkloadSource("editors", "thumbnails", NORMAL, ((1, 0), (1, 1)), (8, 60), 500, (), 0, 300,
                       0.5),
        WorkloadSource("archive", "renders", NORMAL, ((2, 8), (4, 8), (16, 2)), (900, 3000), 5,
                       (4,), 600, 0, 0.8),
    )  # fmt: skip


def selat_workload() -> tuple[WorkloadSource, ...]:
    """Return Selat's sources: reshuffles after delays, checks, long plans, nightly studies."""
    return (
        WorkloadSource("ops-desks", "reshuffles", URGENT, ((2, 2), (4, 2), (1, 4)), (20, 90), 8,
                       (30, 40, 30), 300, 300, 0.3),
        WorkloadSource("apron", "checks", NORMAL, ((1, 1), (1, 0)), (5, 40), 400, (200,), 300, 120,
                       0.0),
        WorkloadSource("planning", "plans", NORMAL, ((4, 8), (2, 8), (8, 4), (6, 8)), (900, 3600),
                       3, (5,), 900, 0, 0.8),
        WorkloadSource("studies", "nights", DEFERRABLE, ((1, 4), (2, 4), (1, 8), (2, 8)),
                       (300, 1500), 20, (40,), 600),
    )  # fmt: skip


def _request(
    source: WorkloadSource, number: int, at: float, seconds: float, rng: random.Random
) -> JobRequest:
    gang, accelerators = rng.choice(source.gangs)
    if rng.random() < 0.003:
        gang *= 40
    bias = MAX_RUN_TIME_ERROR ** random.Random(source.service).uniform(-0.7, 0.7)
    error_factor = min(
        MAX_RUN_TIME_ERROR, max(1 / MAX_RUN_TIME_ERROR, bias * 10 ** rng.gauss(0, 0.25))
    )
    finish_by = (
        START + timedelta(seconds=at + source.deadline_after) if source.deadline_after else None
    )
    return JobRequest(
        source.workspace,
        source.service,
        f"{source.service}-{number}",
        source.job_class,
        gang,
        task_resources(accelerators),
        Adjacency.RACK if gang > 1 else Adjacency.AVAILABILITY_ZONE,
        run_time=seconds / error_factor,
        repeatable=rng.random() < 0.7,
        interruptible=rng.random() < source.interruptible_share,
        finish_by=finish_by,
    )


def _times(source: WorkloadSource, duration: float, rng: random.Random) -> list[float]:
    times = [rng.uniform(0, duration) for _ in range(round(source.per_hour * duration / 3600))]
    for size in source.bursts:
        begin = rng.uniform(0.1 * duration, 0.8 * duration)
        times.extend(begin + rng.uniform(0, source.burst_seconds) for _ in range(size))
    return times


def arrivals(
    sources: tuple[WorkloadSource, ...], configuration: Configuration, duration: float, seed: int
) -> list[Arrival]:
    """Return the jobs of a run in the order of their arrival.

    Within 5 s after one random time, callers cancel about a tenth of the jobs of the 20 minutes
    before it.

    :param duration: length of the period in which jobs arrive, in seconds.
    :param seed: seed of all random choices.
    """
    rng = random.Random(seed)
    zones = sorted(configuration.zones_by_id)
    cancellations_at = rng.uniform(0.3 * duration, 0.7 * duration)
    found = []
    for source in sources:
        for number, at in enumerate(sorted(_times(source, duration, rng))):
            seconds = rng.uniform(*source.run_seconds_range)
            request = _request(source, number, at, seconds, rng)
            cancelled = cancellations_at - 1200 < at < cancellations_at and rng.random() < 0.1
            cancel_at = cancellations_at + rng.uniform(0, 5) if cancelled else None
            found.append(Arrival(at, rng.choice(zones), request, seconds, cancel_at))
    return sorted(found, key=lambda arrival: arrival.at)
