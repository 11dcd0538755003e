"""Tests of the evidence against tasks, and of where suspects run, without a network."""

from datetime import timedelta

import attrs

from mimosapoint.cell.decisions.crash_suspects import (
    find_suspects,
    find_unexplained,
    is_given_up,
    is_mass_loss,
)
from mimosapoint.cell.decisions.tests._planning import START, PlannerCase
from mimosapoint.cell.decisions.worker_loss import WorkerLoss
from mimosapoint.cell.tests._site import SMALL, WIDE
from mimosapoint.workload import Step, TaskId, WorkerCrash, is_suspect

SHARED = WorkerCrash(1, "w1", is_early=True, is_confirmed=True)
SOLE = WorkerCrash(2, "w2", is_early=True, is_sole=True, is_confirmed=True)
SILENCE = attrs.evolve(SOLE, run=3, worker="w3", is_confirmed=False)
CONCLUSIVE = attrs.evolve(SOLE, is_conclusive=True)
EXPLAINED = attrs.evolve(SHARED, is_explained=True)
COMMON = attrs.evolve(EXPLAINED, is_common=True)
COMMON_AGAIN = attrs.evolve(COMMON, run=2, worker="w2")
MOST = 3
WINDOW = timedelta(seconds=3)


class EvidenceTest(PlannerCase):
    def loss(self, number, heard_ms, at_ms, suspects=()):
        heard_at = None if heard_ms is None else START + timedelta(milliseconds=heard_ms)
        at = START + timedelta(milliseconds=at_ms)
        return WorkerLoss(self.workers[number], at, heard_at, suspects, False)

    def start_all(self):
        return [
            run for each in self.decide().starts for run in each.unit.task_runs_by_task.values()
        ]

    # Guards against a healthy task that is given up, and against a crashing one that is not.
    def test_a_task_is_given_up_by_the_weight_of_the_evidence(self):
        for crashes, expected in (
            ([CONCLUSIVE], False),
            ([SHARED, SOLE], False),
            ([SHARED, CONCLUSIVE], True),
            ([SOLE, SOLE, SHARED], True),
            # Fewer than two workers are known to have crashed.
            ([SILENCE] * 4, False),
            ([SILENCE, CONCLUSIVE], False),
            ([SILENCE, SOLE, SOLE], False),
            ([CONCLUSIVE, attrs.evolve(CONCLUSIVE, run=4)], False),
            ([SILENCE, CONCLUSIVE, SHARED], True),
            ([CONCLUSIVE, SILENCE, SILENCE, SILENCE], False),
            ([CONCLUSIVE, SILENCE, SILENCE, SILENCE, SILENCE], True),
            ([SILENCE] * 5, True),
            # One worker has crashed, whatever the weight, until the limit of losses is reached.
            ([CONCLUSIVE] * 4, False),
            ([CONCLUSIVE] * 5, True),
            # Two suspects that met again and again: either may be healthy.
            ([SHARED, SHARED], False),
            ([SHARED] * 4, False),
            ([SHARED] * 5, True),
            # Another task, which was given up, has caused the first one.
            ([EXPLAINED, CONCLUSIVE], False),
            ([EXPLAINED, CONCLUSIVE, CONCLUSIVE], True),
            ([EXPLAINED] * 5, True),
            # Many workers crashed with it, and then it alone, or many each time.
            ([COMMON, COMMON_AGAIN, CONCLUSIVE], False),
            ([COMMON, COMMON_AGAIN, CONCLUSIVE, CONCLUSIVE], True),
            ([COMMON, COMMON_AGAIN] * 2, False),
            ([COMMON, COMMON_AGAIN, COMMON, COMMON_AGAIN, COMMON], True),
        ):
            with self.subTest(crashes=crashes):
                self.assertEqual(expected, is_given_up(crashes, MOST))

    # Guards against tasks that crash many workers together again and again and are never suspected.
    def test_a_task_is_a_suspect_from_its_second_common_crash_on(self):
        for crashes, expected in (([COMMON], False), ([COMMON, COMMON_AGAIN], True)):
            self.assertEqual(expected, is_suspect(crashes))

    def test_a_run_is_no_suspect_once_it_is_proven_to_work(self):
        self.add_workers(1)
        self.submit("a", 1, Step(3, SMALL))
        runs = self.start_all()
        runs[0].confirmed_ms, runs[0].reported_ms = 100, 3100
        runs[1].confirmed_ms, runs[1].reported_ms = 100, 3099
        self.assertEqual([runs[1]], list(find_suspects(self.workers[0], WINDOW)))

    # Guards against a crash that is excused by a loss at another time, or long before a takeover.
    def test_only_a_loss_at_the_same_moment_is_another_cause(self):
        self.add_workers(9)
        crash = self.loss(0, 0, 500, suspects=(object(),))
        for other, expected in (
            (self.loss(1, 400, 1400), True),
            (self.loss(1, 600, 1400), False),
            (self.loss(1, None, 500), False),
            (self.loss(1, 400, 1400, suspects=(object(),)), False),
            (self.loss(5, 400, 1400), False),
        ):
            with self.subTest(other=other.worker.id, heard=other.heard_at):
                self.assertEqual(expected, find_unexplained(crash, [crash, other]) is not None)
        far = [self.loss(number, 400, 1400) for number in (5, 8)]
        self.assertIsNotNone(find_unexplained(crash, far))

    def test_a_whole_rack_with_fresh_runs_is_lost_for_another_reason(self):
        self.add_workers(6)
        self.submit("a", 1, Step(3, WIDE))
        runs = self.start_all()
        losses = [self.loss(number, 0, 500, (runs[number],)) for number in range(3)]
        registrations = [worker.registration for worker in self.workers]
        self.assertTrue(is_mass_loss(losses[0], losses, registrations))
        self.assertFalse(is_mass_loss(losses[0], losses[:2], registrations))
        for loss in losses:
            loss.has_known_suspect = True
        self.assertFalse(is_mass_loss(losses[0], losses, registrations))

    # Guards against many workers that are cut or crash at once, each with fresh runs.
    def test_many_workers_with_fresh_runs_are_lost_for_another_reason(self):
        self.add_workers(20)
        self.submit("a", 1, Step(20, WIDE))
        runs = self.start_all()
        registrations = [worker.registration for worker in self.workers]
        losses = [self.loss(number, 0, 500, (runs[number],)) for number in range(0, 20, 4)]
        self.assertTrue(is_mass_loss(losses[0], losses, registrations))
        self.assertFalse(is_mass_loss(losses[0], losses[:4], registrations))
        losses[1].has_known_suspect = True
        self.assertFalse(is_mass_loss(losses[0], losses, registrations))


class IsolationTest(PlannerCase):
    def suspect(self, job, queue=1, step=None):
        self.submit(job, queue, step or Step(1, SMALL))
        self.job_table.jobs_by_id[job].progress.add_crash(TaskId(job, 0, 0, 0), SHARED)

    def prove_runs(self):
        for worker in self.workers:
            for run in worker.task_runs_by_key.values():
                run.not_after_ms = run.confirmed_ms = 100
                run.reported_ms = 100 + int(WINDOW / timedelta(milliseconds=1))

    def order_runs(self):
        for worker in self.workers:
            for run in worker.task_runs_by_key.values():
                run.not_after_ms = 1000

    # Guards against two suspects that meet, so that neither can be told from the other.
    def test_suspects_never_meet_and_nothing_joins_them(self):
        self.add_workers(3)
        self.suspect("a")
        self.suspect("b")
        self.submit("other", 1, Step(8, SMALL))
        plan = self.decide()
        self.assertNotEqual(self.workers_of(plan, "a"), self.workers_of(plan, "b"))
        suspects = {*self.workers_of(plan, "a"), *self.workers_of(plan, "b")}
        self.assertFalse(suspects & set(self.workers_of(plan, "other")))
        self.clock.time += timedelta(seconds=10)
        self.submit("later", 1, Step(4, SMALL))
        self.assertFalse(suspects & set(self.workers_of(self.decide(), "later")))

    # Guards against a suspect beside a gang that is nearly done.
    def test_a_suspect_runs_where_the_least_work_is_lost(self):
        self.add_workers(2)
        self.submit("gang", 1, Step(1, Step(1, SMALL).amounts.scaled(7), gang=True))
        self.decide()
        self.clock.time += timedelta(seconds=10)
        self.submit("small", 1, Step(8, SMALL))
        self.decide()
        self.prove_runs()
        self.end(next(iter(self.workers[1].task_runs_by_key.values())).unit)
        self.workers[0].registration = attrs.evolve(
            self.workers[0].registration, capacity=WIDE.scaled(2)
        )
        self.suspect("a")
        self.assertEqual(["w1"], self.workers_of(self.decide(), "a"))

    def test_a_suspect_waits_for_a_clear_worker_and_then_joins_others(self):
        self.add_workers(1)
        self.submit("small", 1, Step(4, SMALL))
        self.decide()
        self.order_runs()
        self.suspect("a")
        self.assertEqual([], self.started_jobs(self.decide()))
        self.submit("more", 1, Step(1, SMALL))
        self.assertEqual([], self.started_jobs(self.decide()), "the worker is kept clear")
        self.prove_runs()
        self.assertIn("a", self.started_jobs(self.decide()))

    def test_the_wait_of_a_suspect_is_bounded(self):
        self.add_workers(1)
        self.submit("small", 1, Step(4, SMALL))
        self.decide()
        self.order_runs()
        self.suspect("a")
        self.assertEqual([], self.started_jobs(self.decide()))
        self.clock.time += timedelta(seconds=7)
        self.assertEqual(["a"], self.started_jobs(self.decide()))

    # Guards against an urgent suspect that stops others on the way to its next crash.
    def test_an_urgent_suspect_stops_nothing(self):
        self.add_workers(1)
        self.submit("low", 2, Step(8, SMALL))
        self.decide()
        self.prove_runs()
        self.suspect("a", queue=0, step=Step(1, WIDE))
        self.clock.time += timedelta(seconds=7)
        self.assertEqual([], self.decide().stops)
