"""Seeded jobs and lost workers of two deployments of a cell with too little capacity.

The figures are those of docs/design/scarce-capacity.md; what that page leaves open is stated here.
"""

import math
import random
from datetime import timedelta

import attrs
from mimosapoint.workload import AcceptedJob, CellConfiguration, Queue, ResourceAmounts, Step

from benchmarks.decisions.workload import START

__all__ = [
    "ARRIVAL_SECONDS",
    "MIXES",
    "CellArrival",
    "JobSource",
    "Mix",
    "cell_arrivals",
    "configuration",
]

ARRIVAL_SECONDS = 34.0
"""Length of the period in which jobs arrive."""

WIDTH_SPREAD = 0.8
"""Standard deviation of the logarithm of the number of tasks."""

MAX_WIDTH = 6
"""Largest number of tasks as a multiple of the mean."""

DURATION_SPREAD = 0.3
"""Standard deviation of the logarithm of the duration; the page states only the mean."""

BURST_SECONDS = 5.0
BURST_FACTORS = (2.0, 2.8)
CHECKPOINT_SHARE = 0.45
RACK_LOCAL_SHARE = 0.3
TWO_STEPS_SHARE = 0.3
ACCELERATORS = (1, 2, 4, 8, 8)


@attrs.frozen
class JobSource:
    """Jobs of one class.

    :param queue: name of their queue.
    :param per_second: jobs per second outside bursts.
    :param width: mean number of tasks.
    :param seconds: mean duration of a task on a worker of mean speed.
    :param cores: cores of each task.
    :param memory_gb: memory of each task.
    :param weight: payoff of a job that ends in time.
    :param late_share: share of it that a late job keeps.
    """

    queue: str
    per_second: float
    width: int
    seconds: float
    cores: int
    memory_gb: int
    weight: float
    late_share: float


@attrs.frozen
class Mix:
    """A deployment.

    :param sources: jobs by class.
    :param rack_size: workers of each rack.
    :param zones: number of availability zones.
    :param estimate_error: largest error of an estimate as a share of the duration.
    :param zone_withdrawn: whether one zone takes no new work for a third of the run.
    """

    sources: tuple[JobSource, ...]
    rack_size: int
    zones: int
    estimate_error: float
    zone_withdrawn: bool = False


_DEPLOYMENTS = {
    "payments": Mix(
        (
            JobSource("urgent", 3.23, 5, 2.1, 15, 16, 4, 0.2),
            JobSource("normal", 0.76, 13, 7.2, 52, 140, 3, 0.9),
            JobSource("deferrable", 0.748, 39, 6.5, 11, 29, 1, 0.3),
        ),
        8,
        4,
        0.9,
    ),
    "rendering": Mix(
        (
            JobSource("urgent", 2.86, 5, 2.5, 15, 16, 4, 0.2),
            JobSource("normal", 1.05, 13, 6.8, 52, 140, 3, 0.1),
            JobSource("deferrable", 1.03, 39, 6.1, 11, 29, 1, 0.1),
        ),
        20,
        3,
        0.2,
    ),
}

MIXES = _DEPLOYMENTS | {
    f"{name}, zone withdrawn": attrs.evolve(mix, zone_withdrawn=True)
    for name, mix in _DEPLOYMENTS.items()
}
"""The mixes by name."""


@attrs.frozen
class CellArrival:
    """Arrival of a job.

    :param at: seconds from the start.
    :param source: its class.
    :param record: the accepted record.
    :param seconds: true duration of its tasks, in seconds.
    """

    at: float
    source: JobSource
    record: AcceptedJob
    seconds: float


def configuration() -> CellConfiguration:
    """Return the queues; the targets are those of the tests of the cell."""
    queues = (
        Queue("urgent", "h", "/u/", "pool", 0, 3, 1.5, timedelta(seconds=0.25)),
        Queue("normal", "h", "/n/", "pool", 1, 3, 3.0, timedelta(seconds=1)),
        Queue("deferrable", "h", "/d/", "pool", 2, 3, 3.0, timedelta(seconds=3)),
    )
    return CellConfiguration(1, queues, ())


def cell_arrivals(mix: Mix, seed: int) -> list[CellArrival]:
    """Return the arrivals of a run: one class has a burst in each third of the run."""
    rng = random.Random(seed)
    third = ARRIVAL_SECONDS / 3
    bursts = [
        (third * (number + rng.random() / 2), rng.choice(mix.sources).queue) for number in range(3)
    ]
    queues = configuration().queues_by_name
    found = []
    for source in mix.sources:
        at = 0.0
        while True:
            in_burst = any(
                start <= at < start + BURST_SECONDS and queue == source.queue
                for start, queue in bursts
            )
            rate = source.per_second * (rng.uniform(*BURST_FACTORS) if in_burst else 1.0)
            at += rng.expovariate(rate)
            if at >= ARRIVAL_SECONDS:
                break
            name = f"{source.queue}-{len(found):04}"
            found.append(_arrival(name, at, source, mix, queues[source.queue], rng))
    return sorted(found, key=lambda arrival: arrival.at)


def _arrival(name, at, source: JobSource, mix: Mix, queue: Queue, rng) -> CellArrival:
    width = round(source.width * rng.lognormvariate(-(WIDTH_SPREAD**2) / 2, WIDTH_SPREAD))
    width = min(max(width, 1), MAX_WIDTH * source.width)
    seconds = source.seconds * rng.lognormvariate(-(DURATION_SPREAD**2) / 2, DURATION_SPREAD)
    error = rng.uniform(-mix.estimate_error, mix.estimate_error)
    gang = source.queue != "deferrable"
    step = Step(
        width,
        ResourceAmounts(
            source.cores * 1000,
            source.memory_gb * 1000,
            rng.choice(ACCELERATORS) if gang else 1,
        ),
        timedelta(seconds=seconds * (1 + error)),
        gang=gang,
        rack_local=gang and rng.random() < RACK_LOCAL_SHARE,
        checkpoints=source.queue != "urgent" and rng.random() < CHECKPOINT_SHARE,
    )
    steps = (step,)
    if not gang and rng.random() < TWO_STEPS_SHARE:
        steps = (step, attrs.evolve(step, after=(0,)))
    record = AcceptedJob(
        name,
        queue.name,
        "",
        queue.pool,
        "",
        steps,
        queue.priority,
        queue.max_attempts,
        queue.slack_factor,
        queue.target,
        START + timedelta(seconds=math.floor(at * 1000) / 1000),
    )
    return CellArrival(at, source, record, seconds)
