"""Tests of the checks of a cell's history: each check must find the violations of its promise."""

import unittest

import attrs

from mimosapoint.memory import RunRecord
from mimosapoint.ports import WorkerRegistration
from mimosapoint.testing.cell_checks import RUN_COUNTER_BITS, cell_checks_by_promise, check_cell
from mimosapoint.testing.cell_history import (
    AuthenticationObservation,
    CancellationObservation,
    CellHistory,
    ClaimObservation,
    ConfigurationObservation,
    ConfigurationWrite,
    CountObservation,
    DisturbanceObservation,
    EpochObservation,
    FinalReadObservation,
    PhaseObservation,
    PlannedStopObservation,
    SubmissionObservation,
    SubmissionOutcome,
    WorkerCrashObservation,
    WorkerDrain,
    ZoneWithdrawal,
)
from mimosapoint.testing.standstill_checks import standing_jobs
from mimosapoint.workload import Phase, ResourceAmounts, RunEnd, Step, TaskId

GANG = Step(2, ResourceAmounts(1), gang=True)
SINGLE = Step(1, ResourceAmounts(1))


def run(index, began, ended=None, end=None, job="a", step=GANG, epoch=1, count=1, worker="w1"):
    number = (epoch << RUN_COUNTER_BITS) + count
    return RunRecord(TaskId(job, 0, 0, index), number, worker, step, began, ended, end)


def submission(outcome="accepted", job="a", step=GANG, ended_at=1.0):
    final = outcome and SubmissionOutcome(outcome)
    return SubmissionObservation(job, (step,), "n1", 0.0, ended_at, final)


def phase(at, value, job="a"):
    return PhaseObservation(job, at - 0.1, at, value)


def write(version, at, *keys):
    return ConfigurationWrite(version, at, frozenset(keys))


def final_read(value, job="a", node="n1"):
    return FinalReadObservation(job, node, phase(29.0, value, job))


def failed_runs(*counts, index=0, job="f", step=SINGLE, **more):
    return [
        run(index, 2.0 + n, 2.1 + n, RunEnd.FAILED, job=job, step=step, count=n, **more)
        for n in counts
    ]


def crash(began, count, job="e", worker="w1"):
    ended = run(
        0, began, began + 0.01, RunEnd.LOST, job=job, step=SINGLE, count=count, worker=worker
    )
    ended.crashed_worker = True
    return ended


def beside(crashed, count, seconds=0.0):
    """Return a run of another job that is lost with a worker, or some seconds after its crash."""
    began, ended = crashed.started_at, crashed.ended_at + seconds
    return run(
        0, began, ended, RunEnd.LOST, job="n", step=SINGLE, count=count, worker=crashed.worker
    )


GIVEN_UP = [crash(1.0 + n / 10, n, job="g", worker=f"w{n % 2 + 1}") for n in range(5)]
CRASHES = [crash(1.0 + 4 * count, count) for count in range(6)]
DONE_GANG = [run(0, 2.0, 5.0, RunEnd.DONE), run(1, 2.1, 5.1, RunEnd.DONE, worker="w2")]
LOST_END = run(0, 2.0, 5.0, RunEnd.DONE)
LOST_END.end_unreported = True
LOST_RUNS = [
    run(0, 2.0, 3.0, RunEnd.LOST, job="e", step=SINGLE),
    run(0, 3.5, 4.0, RunEnd.LOST, job="e", step=SINGLE, epoch=2, worker="w2"),
]
LOST_WORKERS = [WorkerCrashObservation("w1", 3.0), WorkerCrashObservation("w2", 4.0)]
TASKS = Step(3, ResourceAmounts(1))
PAIR = Step(2, ResourceAmounts(1), gang=True)
WORKERS = {
    id: WorkerRegistration(id, "a:1", "p", "z", "r", frozenset(), ResourceAmounts(4), 1)
    for id in ("w1", "w2")
}
SECOND_STEP = Step(1, ResourceAmounts(1), after=(0,))
LONG_RUN = run(0, 2.0, 25.0, RunEnd.DONE, job="b", step=Step(1, ResourceAmounts(3)))
CANCELLED_LATE = CancellationObservation("a", 3.9, 4.5, 2.0)
CLAIM = ClaimObservation("a", 0.0, 3.0)
CANCELLATION = CancellationObservation("a", 2.0, 3.0, 2.0)
CONFIGURATIONS = [write(1, 0.0, "k"), write(2, 5.0)]

VIOLATING_HISTORIES_BY_PROMISE = {
    "guaranteed shapes can be reclaimed": (
        {"submissions": [submission()], "claims": [CLAIM], "runs": DONE_GANG[:1]},
        {"submissions": [submission()], "claims": [CLAIM], "runs": [DONE_GANG[0], run(1, 3.2)]},
    ),
    "gangs run whole or not at all": (
        {"runs": [run(0, 2.0)]},
        {"runs": [run(0, 2.0, 9.0, RunEnd.DONE), run(1, 6.0, 9.0, RunEnd.DONE)]},
        {"runs": [run(0, 2.0, 3.0, RunEnd.LOST), run(1, 2.0, 9.0, RunEnd.DONE)]},
    ),
    "nothing starts in a withdrawn zone": (
        {"withdrawals": [ZoneWithdrawal("z", 1.0)], "runs": [run(0, 4.1)]},
        {"withdrawals": [ZoneWithdrawal("z", 1.0, 9.0)], "runs": [run(0, 8.9)]},
    ),
    "a leaving endpoint gets no new work": (
        {"drains": [WorkerDrain("w1", 1.0)], "runs": [run(0, 4.1)]},
    ),
    "callers get the whole answer to their own request": (
        {"submissions": [submission()], "phases": [phase(2.0, None)]},
        {"submissions": [submission()], "phases": [phase(9.0, Phase.COMPLETE)]},
        {
            "submissions": [submission()],
            "phases": [phase(9.0, Phase.COMPLETE)],
            "runs": DONE_GANG[:1],
        },
        {"submissions": [submission()], "phases": [phase(9.0, Phase.CANCELLED)]},
        {"submissions": [submission()], "phases": [phase(9.0, Phase.FAILED)]},
        {
            "submissions": [submission(job="e", step=SINGLE)],
            "phases": [phase(9.0, Phase.FAILED, job="e")],
            "runs": CRASHES[:1],
        },
        {
            "submissions": [submission(job="e", step=SINGLE)],
            "phases": [phase(9.0, Phase.FAILED, job="e")],
            "runs": CRASHES[:2],
        },
        # Fewer failed runs than attempts: of a task, of several tasks, or of a gang as a whole.
        {
            "submissions": [submission(job="f", step=SINGLE)],
            "phases": [phase(9.0, Phase.FAILED, job="f")],
            "runs": failed_runs(1, 2),
        },
        {
            "submissions": [submission(job="f", step=TASKS)],
            "phases": [phase(9.0, Phase.FAILED, job="f")],
            "runs": [each for n in range(3) for each in failed_runs(n, index=n, step=TASKS)],
        },
        {
            "submissions": [submission(job="f", step=PAIR)],
            "phases": [phase(9.0, Phase.FAILED, job="f")],
            "runs": failed_runs(1, 2, step=PAIR) + failed_runs(1, 2, index=1, step=PAIR),
        },
        {
            "submissions": [submission(job="f", step=SINGLE)],
            "phases": [phase(5.0, Phase.FAILED, job="f")],
            "runs": failed_runs(1, 2, 3),
        },
        {
            "submissions": [submission()],
            "phases": [phase(3.8, Phase.CANCELLED)],
            "cancellations": [CANCELLED_LATE],
        },
        {
            "submissions": [submission()],
            "phases": [phase(9.0, Phase.CANCELLED)],
            "cancellations": [CancellationObservation("a", 2.0, None, 2.0, is_refused=True)],
        },
        {
            "submissions": [submission()],
            "phases": [phase(9.0, Phase.CANCELLED)],
            "cancellations": [CancellationObservation("b", 2.0, 3.0, 2.0)],
        },
        {
            "submissions": [submission(job="e", step=SINGLE)],
            "phases": [phase(3.9, Phase.FAILED, job="e")],
            "runs": LOST_RUNS,
            "worker_crashes": LOST_WORKERS,
        },
        {
            "submissions": [submission(job="e", step=SINGLE)],
            "phases": [phase(9.0, Phase.FAILED, job="e")],
            "runs": LOST_RUNS,
            "worker_crashes": LOST_WORKERS[:1],
        },
        {
            "submissions": [submission(job="n", step=SINGLE)],
            "phases": [phase(9.0, Phase.FAILED, job="n")],
            "runs": [
                *GIVEN_UP,
                beside(GIVEN_UP[0], 1),
                beside(GIVEN_UP[1], 2, seconds=1.0),
            ],
        },
        {
            "submissions": [submission()],
            "phases": [phase(6.0, Phase.COMPLETE), phase(9.0, Phase.RUNNING)],
            "runs": DONE_GANG,
        },
        {
            "submissions": [submission()],
            "phases": [phase(6.0, Phase.COMPLETE), phase(9.0, None)],
            "runs": DONE_GANG,
        },
    ),
    "nothing starts of a job that was shown as ended": (
        {"phases": [phase(6.0, Phase.COMPLETE)], "runs": [LOST_END, run(0, 6.1, epoch=2)]},
        {"phases": [phase(6.0, Phase.COMPLETE)], "runs": [*DONE_GANG, run(2, 6.1)]},
        {"phases": [phase(6.0, Phase.FAILED)], "runs": [run(0, 6.1)]},
        {"phases": [phase(6.0, Phase.CANCELLED)], "runs": [run(0, 7.1)]},
        {
            "phases": [phase(6.0, Phase.COMPLETE), phase(6.5, Phase.CANCELLED)],
            "runs": [run(0, 6.1)],
        },
    ),
    "accepted jobs are never lost": (
        {"submissions": [submission()]},
        *(
            {"submissions": [submission()], "runs": DONE_GANG, "final_reads": reads}
            for reads in (
                [final_read(Phase.RUNNING)],
                [final_read(Phase.COMPLETE), final_read(Phase.RUNNING, node="n2")],
                [final_read(Phase.COMPLETE), final_read(None, node="n2")],
                [final_read(Phase.COMPLETE), FinalReadObservation("a", "n2", None)],
                [final_read(Phase.FAILED)],
                [final_read(Phase.CANCELLED)],
            )
        ),
        {"submissions": [submission()], "final_reads": [final_read(Phase.COMPLETE)]},
    ),
    "waiting jobs are counted": (
        {"submissions": [submission()], "counts": [CountObservation(6.1, 0)]},
        {
            "submissions": [submission(), submission(job="b"), submission(job="c")],
            "counts": [CountObservation(6.1, 1)],
            "runs": [run(0, 6.2)],
        },
    ),
    "no job stands still beside free capacity": (
        {"submissions": [submission()], "runs": [run(0, 4.1, 5.0), run(1, 4.1, 5.0)]},
        {"submissions": [submission(step=SINGLE)], "runs": [LONG_RUN]},
        {
            "submissions": [submission(step=SINGLE)],
            "runs": [run(0, 1.0, 3.0, RunEnd.LAPSED, step=SINGLE), run(0, 6.1, step=SINGLE)],
        },
        {
            "submissions": [attrs.evolve(submission(), steps=(SINGLE, SECOND_STEP))],
            "runs": [run(0, 1.0, 3.0, RunEnd.DONE, step=SINGLE)],
        },
        {
            "submissions": [submission(step=SINGLE)],
            "runs": [run(0, 9.1, step=SINGLE)],
            "disturbances": [DisturbanceObservation("d", 0.0, 2.0)],
        },
        {"submissions": [submission(step=SINGLE)], "runs": [LONG_RUN], "cap": ResourceAmounts(7)},
        {
            "submissions": [submission(job="f", step=SINGLE)],
            "runs": failed_runs(1, 2),
            "phases": [phase(29.0, Phase.FAILED, job="f")],
        },
    ),
    "not run is true": ({"submissions": [submission("refused")], "runs": DONE_GANG},),
    "non-repeatable work runs at most once": (
        {"runs": [run(0, 1.0, 3.0, RunEnd.STOPPED), run(0, 2.0, count=2)]},
        {"runs": [run(0, 1.0, 2.0, RunEnd.DONE), run(0, 3.0, count=2)]},
        {"runs": [run(0, 1.0, 2.0, RunEnd.STOPPED, count=2), run(0, 3.0)]},
    ),
    "a task that crashes its workers is given up": ({"runs": CRASHES},),
    "cancelled work stops": (
        {"cancellations": [CANCELLATION], "runs": [run(0, 1.0)]},
        {"cancellations": [CANCELLATION], "runs": [run(0, 1.0, 5.5, RunEnd.DONE)]},
        {"cancellations": [CancellationObservation("a", 2.0, 29.0, 2.0)]},
    ),
    "a planned stop cuts nothing off": (
        {
            "planned_stops": [PlannedStopObservation("n1", 0.5, 5.0)],
            "submissions": [submission(None, ended_at=None)],
        },
    ),
    "an accepted configuration is in force and stays": (
        {"configurations": [ConfigurationObservation("n1", t, 3 - t) for t in (1, 2)]},
        {
            "configuration_writes": CONFIGURATIONS,
            "configurations": [ConfigurationObservation("n1", 8.1, 1)],
        },
        {
            "configuration_writes": CONFIGURATIONS,
            "authentications": [AuthenticationObservation("n1", 8.1, "k")],
        },
    ),
    "capacity is never exceeded": ({"over_capacity_workers": ["w1"]},),
    "orders of an earlier owner have no effect": (
        {"runs": [run(0, 1.0, epoch=2), run(1, 2.0, epoch=1)]},
        {"epochs": [EpochObservation(2, 1.0)], "runs": [run(0, 2.3, epoch=1)]},
    ),
}

COMPLIANT_HISTORY = {
    "counts": [CountObservation(2.0, 0)],
    "submissions": [
        submission(),
        submission("refused", job="b"),
        submission("unknown", job="c"),
        submission(job="g", step=SINGLE),
        submission(job="e", step=SINGLE),
        submission(job="f", step=SINGLE),
        submission(job="h", step=PAIR),
        submission(job="n", step=SINGLE),
    ],
    "claims": [CLAIM],
    "runs": [
        *GIVEN_UP,
        *(beside(each, count) for count, each in enumerate(GIVEN_UP[:2])),
        *DONE_GANG,
        run(0, 2.0, 3.0, RunEnd.LOST, job="d", step=SINGLE),
        run(0, 3.9, 4.5, RunEnd.STOPPED, job="d", step=SINGLE, epoch=2, worker="w2"),
        *LOST_RUNS,
        *failed_runs(1, 2, 3, epoch=2, worker="w2"),
        *failed_runs(1, 2, 3, job="h", step=PAIR, epoch=2, worker="w2"),
    ],
    "worker_crashes": LOST_WORKERS,
    "phases": [
        phase(2.0, Phase.QUEUED),
        phase(6.0, Phase.COMPLETE),
        phase(9.9, Phase.FAILED, job="g"),
        phase(3.1, Phase.CANCELLED, job="d"),
        phase(4.1, Phase.FAILED, job="e"),
        phase(5.2, Phase.FAILED, job="f"),
        phase(5.2, Phase.FAILED, job="h"),
        phase(9.9, Phase.FAILED, job="n"),
    ],
    "final_reads": [
        *(final_read(Phase.COMPLETE, node=node) for node in ("n1", "n2")),
        *(final_read(Phase.FAILED, job) for job in "gefhn"),
    ],
    "cancellations": [CancellationObservation("d", 2.0, 3.0, 2.0)],
    "withdrawals": [ZoneWithdrawal("z", 0.0, 2.0)],
    "drains": [WorkerDrain("w1", 0.0)],
    "planned_stops": [PlannedStopObservation("n1", 0.5, 5.0)],
    "configuration_writes": CONFIGURATIONS,
    "configurations": [
        ConfigurationObservation("n1", 7.0, 1),
        ConfigurationObservation("n1", 9, 2),
    ],
    "authentications": [AuthenticationObservation("n1", 7.9, "k")],
    "epochs": [EpochObservation(1, 0.0), EpochObservation(2, 1.0)],
}


def history(**observations):
    return CellHistory(
        ended_at=30.0,
        zones_by_worker={"w1": "z", "w2": "y"},
        workers_by_id=WORKERS,
        **observations,
    )


class CellChecksTest(unittest.TestCase):
    def test_every_promise_has_a_broken_history(self):
        self.assertEqual(set(cell_checks_by_promise), set(VIOLATING_HISTORIES_BY_PROMISE))

    def test_a_broken_history_is_found(self):
        for promise, cases in VIOLATING_HISTORIES_BY_PROMISE.items():
            for index, observations in enumerate(cases):
                with self.subTest(promise=promise, case=index):
                    results = check_cell(history(**observations))
                    self.assertIn(promise, {r.promise for r in results if r.violations})

    def test_a_standstill_that_is_allowed_passes(self):
        single = submission(step=SINGLE)
        other = run(0, 2.0, job="b", step=Step(1, ResourceAmounts(3)))
        for index, observations in enumerate(
            (
                # Half of the service is in use.
                {"runs": [other, run(1, 1.0, job="c", step=SINGLE)]},
                # Half of the cap is in use.
                {"runs": [other], "cap": ResourceAmounts(6)},
                # Neither a task nor a gang fits twice over.
                {"submissions": [submission(step=Step(1, ResourceAmounts(4)))], "runs": [other]},
                {"submissions": [submission(step=Step(4, ResourceAmounts(2), gang=True))]},
                {"submissions": [submission(step=attrs.evolve(SINGLE, label="none"))]},
                # The stretches are too short, or not calm.
                {"runs": [run(0, 3.9, step=SINGLE)]},
                {"disturbances": [DisturbanceObservation("d", 2.0, 25.0)]},
                {
                    "worker_crashes": [
                        WorkerCrashObservation("w1", t) for t in (2.0, 10.0, 18.0, 22.0)
                    ]
                },
                # The job has ended, or is not accepted.
                {"phases": [phase(3.9, Phase.FAILED)]},
                {"cancellations": [CancellationObservation("a", 3.0, 3.1, 2.0)]},
                {"runs": failed_runs(1, 2, 3, job="a")},
                {"submissions": [submission("unknown", step=SINGLE)]},
            )
        ):
            with self.subTest(case=index):
                played = history(**{"submissions": [single], **observations})
                self.assertEqual(set(), {line for line in standing_jobs(played) if line})

    def test_compliant_history_passes(self):
        for result in check_cell(history(**COMPLIANT_HISTORY)):
            with self.subTest(promise=result.promise):
                self.assertEqual((), result.violations)
                self.assertGreater(result.cases_checked, 0)
