"""Tests of the checks: each must find a history that breaks its promise."""

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

START = datetime(2026, 12, 3, tzinfo=timezone.utc)


def at(seconds):
    return START + timedelta(seconds=seconds)


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


WHOLE = [task(1, 0), task(1, 1), task(5, 0, "succeeded"), task(5, 1, "succeeded")]
CLAIM = GuaranteedStartObservation("k1", at(0), 2.0)
STOP = ShutdownObservation("n1", at(5), 0)

BROKEN = {
    "guaranteed shapes can be reclaimed": (
        {"calls": [call()], "claims": [CLAIM], "tasks": [task(1, 0)]},
        {"calls": [call()], "claims": [CLAIM], "tasks": [task(1, 0), task(3, 1)]},
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
    "not run is true": ({"calls": [call(outcome="not-run", parts=None)], "tasks": WHOLE},),
    "non-repeatable work runs at most once": (
        {"calls": [call(repeatable=False)], "tasks": [*WHOLE, task(6, 0, attempt=2)]},
        {"calls": [call(repeatable=False)], "tasks": [task(1, 0), task(2, 0, worker="w2")]},
    ),
    "a leaving endpoint gets no new work": (
        {"leavings": [LeavingObservation("w1", at(0))], "tasks": [task(4, 0)]},
    ),
    "a planned stop cuts nothing off": (
        {"stops": [STOP], "calls": [call(node="n1", outcome=None, ended_at=None)]},
        {"stops": [ShutdownObservation("n1", at(5), 1)]},
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

KEPT = {
    "calls": [
        call(),
        call(key="k2", job="z~2", outcome="not-run", parts=None),
        call(key="k3", job="z~3", repeatable=False, node="n1", gang=1, parts=["a"], expected=["a"]),
    ],
    "claims": [CLAIM],
    "patches": [patch(2, 0, 1, ["y"]), patch(3, 10, 11)],
    "versions": [VersionObservation("n1", 1, at(0), 1), VersionObservation("n1", 1, at(12), 3)],
    "leavings": [LeavingObservation("w2", at(0))],
    "stops": [STOP],
    "tasks": [
        *WHOLE,
        task(1, 0, job="z~3"),
        task(2, 0, "stopped", job="z~3"),
        task(3, 0, attempt=2, job="z~3"),
    ],
}


def history(**parts):
    return History(ended_at=at(30), zones_by_worker={"w1": "z", "w2": "z"}, **parts)


class ChecksTest(unittest.TestCase):
    def test_every_promise_has_a_broken_history(self):
        self.assertEqual(set(checks_by_promise), set(BROKEN))

    def test_a_broken_history_is_found(self):
        for promise, cases in BROKEN.items():
            for index, parts in enumerate(cases):
                with self.subTest(promise=promise, case=index):
                    broken = {f.promise for f in check_all(history(**parts)) if f.violations}
                    self.assertIn(promise, broken)

    def test_a_history_that_keeps_the_promises_passes(self):
        for finding in check_all(history(**KEPT)):
            with self.subTest(promise=finding.promise):
                self.assertEqual((), finding.violations)
                self.assertGreater(finding.cases_checked, 0)
