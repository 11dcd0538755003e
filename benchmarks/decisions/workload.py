"""Seeded workloads in the shapes of the two sites."""

import random
from datetime import datetime, timedelta, timezone

import attrs
from mimosapoint.configuration import Configuration
from mimosapoint.model import Adjacency, JobClass, JobRequest

from benchmarks.decisions.sites import task_resources

__all__ = ["START", "Arrival", "WorkloadSource", "agency_workload", "arrivals", "selat_workload"]

START = datetime(2026, 1, 5, tzinfo=timezone.utc)
"""Time at which a run begins."""

MAX_RUN_TIME_ERROR = 10.0
"""Largest factor between a declared and a true run time."""


@attrs.frozen
class WorkloadSource:
    """One kind of work.

    :param workspace: id of the workspace.
    :param service: id of the service.
    :param job_class: class of its jobs.
    :param gangs: pairs of gang size and accelerators for each task, chosen alike.
    :param run_seconds_range: shortest and longest true run time.
    :param per_hour: jobs that arrive evenly in an hour.
    :param bursts: size of each burst.
    :param burst_seconds: length of a burst.
    :param deadline_after: seconds after which an answer loses its value; 0 when it keeps it.
    :param interruptible_share: share of jobs that may be interrupted.
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
    """A job of a run.

    :param at: seconds from the start of the run.
    :param zone: availability zone that accepts it.
    :param request: what the caller asks for.
    :param run_seconds: true run time.
    :param cancel_at: seconds from the start at which the caller cancels, or ``None``.
    """

    at: float
    zone: str
    request: JobRequest
    run_seconds: float
    cancel_at: float | None = None


URGENT, NORMAL, DEFERRABLE = JobClass.URGENT, JobClass.NORMAL, JobClass.DEFERRABLE


def agency_workload() -> tuple[WorkloadSource, ...]:
    """Return the agency's work: storms, nightly bursts, thumbnails and long renders."""
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
    """Return Selat's work: long plans, reshuffles after delays, checks and night studies."""
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
    kind: WorkloadSource, number: int, at: float, seconds: float, rng: random.Random
) -> JobRequest:
    gang, accelerators = rng.choice(kind.gangs)
    if rng.random() < 0.003:
        gang *= 40
    bias = MAX_RUN_TIME_ERROR ** random.Random(kind.service).uniform(-0.7, 0.7)
    wrong = min(MAX_RUN_TIME_ERROR, max(1 / MAX_RUN_TIME_ERROR, bias * 10 ** rng.gauss(0, 0.25)))
    finish_by = START + timedelta(seconds=at + kind.deadline_after) if kind.deadline_after else None
    return JobRequest(
        kind.workspace,
        kind.service,
        f"{kind.service}-{number}",
        kind.job_class,
        gang,
        task_resources(accelerators),
        Adjacency.RACK if gang > 1 else Adjacency.AVAILABILITY_ZONE,
        run_time=seconds / wrong,
        repeatable=rng.random() < 0.7,
        interruptible=rng.random() < kind.interruptible_share,
        finish_by=finish_by,
    )


def _times(kind: WorkloadSource, length: float, rng: random.Random) -> list[float]:
    times = [rng.uniform(0, length) for _ in range(round(kind.per_hour * length / 3600))]
    for size in kind.bursts:
        begin = rng.uniform(0.1 * length, 0.8 * length)
        times.extend(begin + rng.uniform(0, kind.burst_seconds) for _ in range(size))
    return times


def arrivals(
    kinds: tuple[WorkloadSource, ...], configuration: Configuration, length: float, seed: int
) -> list[Arrival]:
    """Return the jobs of a run, oldest first; a wave of cancellations is among them.

    :param length: seconds in which jobs arrive.
    :param seed: seed of every draw.
    """
    rng = random.Random(seed)
    zones = sorted(configuration.zones_by_id)
    wave = rng.uniform(0.3 * length, 0.7 * length)
    found = []
    for kind in kinds:
        for number, at in enumerate(sorted(_times(kind, length, rng))):
            seconds = rng.uniform(*kind.run_seconds_range)
            request = _request(kind, number, at, seconds, rng)
            cancelled = wave - 1200 < at < wave and rng.random() < 0.1
            cancel_at = wave + rng.uniform(0, 5) if cancelled else None
            found.append(Arrival(at, rng.choice(zones), request, seconds, cancel_at))
    return sorted(found, key=lambda arrival: arrival.at)
