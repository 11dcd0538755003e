"""Tests that the checks find versions of the cell that lose accepted jobs, each in its own way."""

from collections import Counter
from datetime import timedelta
from random import Random
from unittest import mock

import trio

from mimosapoint.cell import crash_blame, fleet
from mimosapoint.cell.decisions.crash_suspects import STARTS_TOLERATED
from mimosapoint.cell.decisions.planner import Planner
from mimosapoint.cell.gateway import CellGateway
from mimosapoint.cell.job_table import CellJobTable
from mimosapoint.cell.tests._recorded_site import open_recorded_site
from mimosapoint.cell.tests._site import SMALL
from mimosapoint.cell.tests.test_fault_pairs import RECLAIM_UNDER_FAULTS_SECONDS, play
from mimosapoint.cell.worker_presence import WorkerPresence
from mimosapoint.errors import JobNotFound
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.cell_checks import check_cell
from mimosapoint.workload import Phase, Step

TRUE_REPLIES = "callers get the whole answer to their own request"
KNOWN_JOBS = "accepted jobs are never lost"
COUNTED_JOBS = "waiting jobs are counted"
NO_SECOND_RUN = "non-repeatable work runs at most once"
NO_STANDSTILL = "no job stands still beside free capacity"

FAULTS_OVER = 14.0
"""Time from which every fault of a play of one fault is over, in seconds."""

cancel_job, read_phase = CellJobTable.cancel, CellGateway.phase


def fail_at_first_run(table, unit, run):
    """Let a job fail at its first failed run, whatever number of attempts it has."""
    table._end(unit.job, Phase.FAILED)


def is_given_up_after_losses(crashes, max_worker_crashes):
    """Count workers that are only silent, and two incarnations of one, as workers that crashed."""
    weight = sum(crash.weight for crash in crashes)
    is_proven = any(crash.is_sole and not crash.is_explained for crash in crashes)
    limit = max_worker_crashes if is_proven else max_worker_crashes + STARTS_TOLERATED
    return weight >= limit


def cancel_another(table, job):
    """Cancel a job, and an open one that nobody has cancelled."""
    cancel_job(table, job)
    for other in list(table.open_jobs())[:1]:
        cancel_job(table, other)


def count_undecided(table):
    """Count the jobs of which no start has been decided."""
    return Counter(
        job.record.queue for job in table.open_jobs() if job.progress.phase is Phase.QUEUED
    )


def is_absent_and_refused(presence, now):
    """Take an absent registration and refused connections for the end of a worker."""
    since = presence._not_listening_since
    is_refused = since is not None and now - since >= presence._settings.start_window
    return presence.is_absent and is_refused


def is_same_worker(registration):
    """Take the incarnations of a worker for one, so that the roster keeps the earlier address."""
    return registration.id


async def not_found(gateway, workspace, job_id, *timeout):
    """Do not find one job after the faults."""
    if job_id == "job3" and trio.current_time() > FAULTS_OVER:
        raise JobNotFound("no such job")
    return await read_phase(gateway, workspace, job_id, *timeout)


async def no_reply(gateway, workspace, job_id, *timeout):
    """Leave the reads of one job after the faults without a reply."""
    if job_id == "job3" and trio.current_time() > FAULTS_OVER:
        await trio.sleep_forever()
    return await read_phase(gateway, workspace, job_id, *timeout)


async def play_silences():
    """Cut off the workers of a task one after the other, shortly after its start there."""
    async with open_recorded_site(Random(1)) as site:
        site.simulation.run_time = timedelta(seconds=5)
        with site.disturbed("workers cut off"):
            await site.call_submit("job", Step(1, SMALL))
            for count in range(1, 4):
                with trio.move_on_after(20):
                    while len(site.runs("job")) < count:
                        await trio.sleep(0.05)
                worker = site.simulation.workers_by_id[site.runs("job")[-1].worker]
                faults = site.workers.network_faults_by_address[worker.registration.address]
                faults.partitioned = True
        with trio.move_on_after(40):
            while not site.phase("job").ended:
                await trio.sleep(0.5)
        for faults in site.workers.network_faults_by_address.values():
            faults.partitioned = False
        await site.read_final_phases()
    return site.history


class BrokenVersionTest(TrioTestCase):
    mock_clock = True

    def violated(self, target, name, broken, *faults, seed=1):
        """Play faults on a broken version; return the promises that the checks find violated."""
        with mock.patch.object(target, name, broken):
            history = trio.run(
                play, faults, seed, RECLAIM_UNDER_FAULTS_SECONDS, clock=self._make_clock()
            )
        return {result.promise for result in check_cell(history) if result.violations}

    # Guards against checks that take one failed run of any task for the cause of a failed job.
    def test_a_job_that_fails_at_its_first_failed_run_is_found(self):
        promises = self.violated(
            CellJobTable, "fail_run", fail_at_first_run, "worker failing every run"
        )
        self.assertLessEqual({TRUE_REPLIES, KNOWN_JOBS}, promises)

    # Guards against checks that take two crashes of one worker for crashes of two.
    def test_a_job_that_is_given_up_after_the_crashes_of_one_worker_is_found(self):
        faults = ("worker partitioned", "task crashing its workers")
        promises = self.violated(
            crash_blame, "is_given_up", is_given_up_after_losses, *faults, seed=2
        )
        self.assertLessEqual({TRUE_REPLIES, KNOWN_JOBS}, promises)

    # Guards against checks that take a silence for a crash.
    def test_a_job_that_is_given_up_after_silences_is_found(self):
        with mock.patch.object(crash_blame, "is_given_up", is_given_up_after_losses):
            history = trio.run(play_silences, clock=self._make_clock())
        self.assertEqual([], history.worker_crashes)
        promises = {result.promise for result in check_cell(history) if result.violations}
        self.assertEqual({TRUE_REPLIES, KNOWN_JOBS}, promises)
        history = trio.run(play_silences, clock=self._make_clock())
        self.assertEqual([], [r.promise for r in check_cell(history) if r.violations])

    # Guards against checks that accept a cancellation of any job.
    def test_a_cancellation_of_another_job_is_found(self):
        promises = self.violated(CellJobTable, "cancel", cancel_another)
        self.assertLessEqual({TRUE_REPLIES, KNOWN_JOBS}, promises)

    # Guards against checks that do not know how long a job stands still.
    def test_a_job_that_waits_behind_a_reservation_is_found(self):
        for seed in (1004, 1008):
            with self.subTest(seed=seed):
                promises = self.violated(
                    Planner, "_start_overdue", lambda *arguments: None, seed=seed
                )
                self.assertEqual({NO_STANDSTILL}, promises)

    # Guards against checks that take a decided start for a run.
    def test_a_count_that_leaves_out_jobs_whose_starts_were_refused_is_found(self):
        promises = self.violated(
            CellJobTable, "backlog_by_queue", count_undecided, "workers refusing starts", seed=3
        )
        self.assertEqual({COUNTED_JOBS}, promises)

    # Guards against plays without workers that run on and look as if they had left.
    def test_each_conclusion_without_proof_is_found(self):
        for target, name, broken, fault in (
            (WorkerPresence, "has_left", is_absent_and_refused, "out of sight, refused"),
            (fleet, "_incarnation", is_same_worker, "restarted elsewhere"),
        ):
            fault = f"workers {fault}, then the owner killed"
            with self.subTest(name=name):
                self.assertIn(NO_SECOND_RUN, self.violated(target, name, broken, fault))
                self.assertEqual(set(), self.violated(target, name, getattr(target, name), fault))

    # Guards against checks that are content with the reply of any node.
    def test_a_node_that_does_not_know_a_job_or_does_not_reply_is_found(self):
        for broken, promises in (
            (not_found, {TRUE_REPLIES, KNOWN_JOBS}),
            (no_reply, {KNOWN_JOBS}),
        ):
            with self.subTest(broken=broken.__name__):
                self.assertEqual(promises, self.violated(CellGateway, "phase", broken))

    def test_wide_gangs_keep_every_promise_without_faults(self):
        self.assertEqual(set(), self.violated(Planner, "order", Planner.order, seed=1008))
