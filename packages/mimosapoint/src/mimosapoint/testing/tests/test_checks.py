"""Tests of the checks of promises: each check must find the violations of its promise."""

import unittest
from datetime import datetime, timedelta, timezone

from mimosapoint.memory import TaskEvent, TaskEventKind
from mimosapoint.testing import (
    CallObservation,
    GuaranteedStartObservation,
    History,
    LeavingObservation,
    PatchObservation,
    ShutdownObservation,
    VersionObservation,
    check_all,
    checks_by_promise,
)

START_TIME = datetime(2026, 12, 3, tzinfo=timezone.utc)


def at(seconds):
    return START_TIME + timedelta(seconds=seconds)


def task(seconds, index, kind="started", worker="w1", attempt=1, job="z~1"):
    return TaskEvent(at(seconds), worker, TaskEventKind(kind), f"{job}/{attempt}/{index}", 1, index)


def call(**changes):
    fields = {
        "key": "k1",
        "job": "z~1",
        "gang": 2,
        "repeatable": True,
        "sent_at": at(0),
        "ended_at": at(9),
        "outcome": "succeeded",
        "parts": ["a", "b"],
        "expected": ["a", "b"],
    }
    return CallObservation(**{**fields, **changes})


def patch(version, sent, answered, out=(), base=None, id=None):
    base = version - 1 if base is None else base
    return PatchObservation(
        id or f"p{version}", base, at(sent), at(answered), version, frozenset(out)
    )


COMPLETE_GANG = [task(1, 0), task(1, 1), task(5, 0, "succeeded"), task(5, 1, "succeeded")]
GUARANTEED_START = GuaranteedStartObservation("k1", at(0), 2.0)
PLANNED_STOP = ShutdownObservation("n1", at(5), 0)

VIOLATING_HISTORIES_BY_PROMISE = {
    "guaranteed shapes can be reclaimed": (
        {"calls": [call()], "guaranteed_starts": [GUARANTEED_START], "tasks": [task(1, 0)]},
        {
            "calls": [call()],
            "guaranteed_starts": [GUARANTEED_START],
            "tasks": [task(1, 0), task(3, 1)],
        },
    ),
    "gangs run whole or not at all": (
        {"calls": [call()], "tasks": [task(1, 0)]},
        {"calls": [call()], "tasks": [task(1, 0), task(12, 1)]},
    ),
    "nothing starts in a withdrawn zone": (
        {"calls": [call()], "patches": [patch(2, 0, 1, ["z"])], "tasks": [task(5, 0)]},
        {
            "patches": [patch(2, 0, 1, ["z"]), patch(3, 9, 10)],
            "tasks": [task(8, 0), task(11, 1)],
        },
    ),
    "callers get the whole answer to their own request": (
        {"calls": [call(parts=["a"])]},
        {"calls": [call(parts=["a", "c"])]},
        {"calls": [call(parts=["b", "a"])]},
    ),
    "not run is true": ({"calls": [call(outcome="not-run", parts=None)], "tasks": COMPLETE_GANG},),
    "non-repeatable work runs at most once": (
        {"calls": [call(repeatable=False)], "tasks": [*COMPLETE_GANG, task(6, 0, attempt=2)]},
        {"calls": [call(repeatable=False)], "tasks": [task(1, 0), task(2, 0, worker="w2")]},
    ),
    "a leaving endpoint gets no new work": (
        {"leaving_endpoints": [LeavingObservation("w1", at(0))], "tasks": [task(4, 0)]},
    ),
    "a planned stop cuts nothing off": (
        {"shutdowns": [PLANNED_STOP], "calls": [call(node="n1", outcome=None, ended_at=None)]},
        {"shutdowns": [ShutdownObservation("n1", at(5), 1)]},
    ),
    "an accepted configuration is in force and stays": (
        {
            "versions": [
                VersionObservation("n1", 1, at(1), 3),
                VersionObservation("n1", 1, at(2), 2),
            ]
        },
        {"patches": [patch(2, 0, 1)], "versions": [VersionObservation("n1", 1, at(5), 1)]},
        {"patches": [patch(2, 0, 1), patch(2, 2, 3, id="other")]},
        {"patches": [patch(2, 5, 6), patch(3, 0, 1)]},
        {"patches": [patch(2, 0, 1, base=0)]},
    ),
}

COMPLIANT_HISTORY = {
    "calls": [
        call(),
        call(key="k2", job="z~2", outcome="not-run", parts=None),
        call(key="k3", job="z~3", repeatable=False, node="n1", gang=1, parts=["a"], expected=["a"]),
    ],
    "guaranteed_starts": [GUARANTEED_START],
    "patches": [patch(2, 0, 1, ["y"]), patch(3, 10, 11)],
    "versions": [VersionObservation("n1", 1, at(0), 1), VersionObservation("n1", 1, at(12), 3)],
    "leaving_endpoints": [LeavingObservation("w2", at(0))],
    "shutdowns": [PLANNED_STOP],
    "tasks": [
        *COMPLETE_GANG,
        task(1, 0, job="z~3"),
        task(2, 0, "stopped", job="z~3"),
        task(3, 0, attempt=2, job="z~3"),
    ],
}


def history(**observations):
    return History(ended_at=at(30), zones_by_worker={"w1": "z", "w2": "z"}, **observations)


class ChecksTest(unittest.TestCase):
    def test_every_promise_has_a_broken_history(self):
        self.assertEqual(set(checks_by_promise), set(VIOLATING_HISTORIES_BY_PROMISE))

    def test_a_broken_history_is_found(self):
        for promise, cases in VIOLATING_HISTORIES_BY_PROMISE.items():
            for index, observations in enumerate(cases):
                with self.subTest(promise=promise, case=index):
                    violated = {
                        r.promise for r in check_all(history(**observations)) if r.violations
                    }
                    self.assertIn(promise, violated)

    def test_compliant_history_passes(self):
        for result in check_all(history(**COMPLIANT_HISTORY)):
            with self.subTest(promise=result.promise):
                self.assertEqual((), result.violations)
                self.assertGreater(result.cases_checked, 0)
