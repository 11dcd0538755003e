"""Tests of the checks of a cell's history: each check must find the violations of its promise."""

import unittest

from mimosapoint.memory import RunRecord
from mimosapoint.testing.cell_checks import RUN_COUNTER_BITS, cell_checks_by_promise, check_cell
from mimosapoint.testing.cell_history import (
    AuthenticationObservation,
    CancellationObservation,
    CellHistory,
    ClaimObservation,
    ConfigurationObservation,
    ConfigurationWrite,
    EpochObservation,
    PhaseObservation,
    PlannedStopObservation,
    SubmissionObservation,
    SubmissionOutcome,
    WorkerCrashObservation,
    WorkerDrain,
    ZoneWithdrawal,
)
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


def crash(began, count, job="e"):
    ended = run(0, began, began + 0.01, RunEnd.LOST, job=job, step=SINGLE, count=count)
    ended.crashed_worker = True
    return ended


CRASHES = [crash(1.0 + 4 * count, count) for count in range(6)]
DONE_GANG = [run(0, 2.0, 5.0, RunEnd.DONE), run(1, 2.1, 5.1, RunEnd.DONE, worker="w2")]
LOST_END = run(0, 2.0, 5.0, RunEnd.DONE)
LOST_END.end_unreported = True
LOST_RUNS = [
    run(0, 2.0, 3.0, RunEnd.LOST, job="e", step=SINGLE),
    run(0, 3.5, 4.0, RunEnd.LOST, job="e", step=SINGLE, epoch=2, worker="w2"),
]
LOST_WORKERS = [WorkerCrashObservation("w1", 3.0), WorkerCrashObservation("w2", 4.0)]
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
        {"submissions": [submission()], "phases": [phase(29.0, Phase.RUNNING)]},
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
    "submissions": [
        submission(),
        submission("refused", job="b"),
        submission("unknown", job="c"),
        submission(job="g", step=SINGLE),
        submission(job="e", step=SINGLE),
    ],
    "claims": [CLAIM],
    "runs": [
        *DONE_GANG,
        run(0, 2.0, 3.0, RunEnd.LOST, job="d", step=SINGLE),
        run(0, 3.9, 4.5, RunEnd.STOPPED, job="d", step=SINGLE, epoch=2, worker="w2"),
        *LOST_RUNS,
        *(crash(1.0 + count / 10, count, job="g") for count in range(5)),
    ],
    "worker_crashes": LOST_WORKERS,
    "phases": [
        phase(2.0, Phase.QUEUED),
        phase(6.0, Phase.COMPLETE),
        phase(9.9, Phase.FAILED, job="g"),
        phase(3.1, Phase.CANCELLED, job="d"),
        phase(4.1, Phase.FAILED, job="e"),
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
    return CellHistory(ended_at=30.0, zones_by_worker={"w1": "z", "w2": "y"}, **observations)


class CellChecksTest(unittest.TestCase):
    def test_every_promise_has_a_broken_history(self):
        self.assertEqual(set(cell_checks_by_promise), set(VIOLATING_HISTORIES_BY_PROMISE))

    def test_a_broken_history_is_found(self):
        for promise, cases in VIOLATING_HISTORIES_BY_PROMISE.items():
            for index, observations in enumerate(cases):
                with self.subTest(promise=promise, case=index):
                    results = check_cell(history(**observations))
                    self.assertIn(promise, {r.promise for r in results if r.violations})

    def test_compliant_history_passes(self):
        for result in check_cell(history(**COMPLIANT_HISTORY)):
            with self.subTest(promise=result.promise):
                self.assertEqual((), result.violations)
                self.assertGreater(result.cases_checked, 0)
