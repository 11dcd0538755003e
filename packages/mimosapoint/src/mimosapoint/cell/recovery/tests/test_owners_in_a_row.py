"""Tests of runs over several owners in a row, on workers that leave or look as if they had left."""

import os
from datetime import timedelta
from random import Random
from unittest import mock

import trio

from mimosapoint.cell import departure_proof, fleet
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._recorded_site import open_recorded_site
from mimosapoint.cell.tests._site import SMALL
from mimosapoint.cell.tests._unseen_worker_faults import restart_elsewhere, set_fault
from mimosapoint.cell.tests._worker_faults import end_worker
from mimosapoint.cell.tests.test_broken_versions import is_absent_and_refused, is_same_worker
from mimosapoint.cell.worker_lease import unknown_lease_time
from mimosapoint.cell.worker_presence import WorkerPresence
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.cell_checks import check_cell
from mimosapoint.workload import Phase, RunEnd, Step

FIRST_SEED = int(os.environ.get("MIMOSAPOINT_OWNERS_FIRST", "1"))
SEEDS = int(os.environ.get("MIMOSAPOINT_OWNERS_SEEDS", "6"))

JOB = "long"
TASKS = 4
NODES = 7
WORKERS = 7
RUN_SECONDS = 16
UNSEEN_FAULTS = ("not_listening", "not_listening", "reset", "loses_replies", "partitioned")

UNSEEN_SECONDS = (3, 5.5)
"""Shortest and longest time for which a worker is out of sight; shorter than its lease."""

END_SECONDS = 60
"""Longest time until the job is complete after the last disturbance."""

CONCLUSIONS_WITHOUT_PROOF = (
    (WorkerPresence, "has_left", is_absent_and_refused),
    (departure_proof, "REPORTS_BEFORE_REMOVAL", 10),
    (fleet, "_incarnation", is_same_worker),
)
"""Versions that conclude that a worker is gone while its runs go on, after a change of owner."""

NO_SECOND_RUN = "non-repeatable work runs at most once"


class OwnersInARow:
    """Owners that are lost one after the other, and what becomes of the workers of one job.

    :param site: the cell.
    """

    def __init__(self, site):
        self.site = site
        self.random = site.random
        self.left = set()
        self.is_replacing = self.random.random() < 0.5

    async def play(self):
        site = self.site
        site.simulation.run_times_by_job[JOB] = timedelta(seconds=RUN_SECONDS)
        for worker in self.random.sample(list(site.simulation.workers_by_id.values()), 2):
            restart_elsewhere(site, worker)
        # The workers start once the store's times are known from before their last reports.
        await trio.sleep(5)
        await site.call_submit(JOB, Step(TASKS, SMALL, spread_limit=1))
        await site.wait_running(JOB, TASKS)
        workers = [site.simulation.workers_by_id[run.worker] for run in site.running(JOB)]
        with site.disturbed("owners in a row"):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.lose_owners)
                nursery.start_soon(self.leave, workers[0])
                for worker in workers[1:]:
                    nursery.start_soon(self.hide, worker)
            # An owner that has no proof that a worker has left waits for its lease.
            await trio.sleep(unknown_lease_time(site.settings).total_seconds())
        await site.wait_phase(JOB, Phase.COMPLETE, END_SECONDS)
        await trio.sleep(1)
        await site.read_final_phases()

    async def lose_owners(self):
        for _ in range(self.random.randint(3, 5)):
            await trio.sleep(self.random.uniform(0, 3))
            with trio.fail_after(10):
                while not any(node.is_owner for node in self.site.live_nodes):
                    await trio.sleep(0.05)
            self.site.any_owner.kill()
            if self.is_replacing:
                self.site.add_node()

    async def leave(self, worker):
        """Let a worker announce that it leaves, and leave."""
        await trio.sleep(self.random.uniform(0, 3))
        drain = self.site.drain(worker)
        await trio.sleep(self.random.uniform(1, 4))
        self.left.add(worker.registration.id)
        end_worker(self.site, worker)
        # No report follows.
        drain.returned_at = trio.current_time()

    async def hide(self, worker):
        """Let a worker lose the store, perhaps while it drains, and then cut it off."""
        await trio.sleep(self.random.uniform(0, 5))
        drain = self.site.drain(worker) if self.random.random() < 0.5 else None
        await self.site.lose_store(worker)
        await trio.sleep(self.random.uniform(0, 0.5))
        name = self.random.choice(UNSEEN_FAULTS)
        set_fault(self.site, [worker], name, True)
        await trio.sleep(self.random.uniform(*UNSEEN_SECONDS))
        set_fault(self.site, [worker], name, False)
        self.site.return_store(worker)
        if drain is not None:
            self.site.end_drain(worker, drain)


async def play(seed):
    """Play one seed; return the history, the workers that left and the reasons of resolutions."""
    random = Random(f"owners {seed}")
    settings = CellSettings(cores=random.choice((1.0, 0.1)))
    async with open_recorded_site(random, NODES, WORKERS, settings) as site:
        owners = OwnersInARow(site)
        await owners.play()
    events = [event for node in site.nodes for event in node.telemetry.events]
    reasons = [e.fields["reason"] for e in events if e.name == "worker-known-unheard"]
    return site.history, owners.left, reasons


class OwnersInARowTest(TrioTestCase):
    mock_clock = True

    def play(self, seed):
        """Play a seed in a separate trio run; return violations by promise, and reasons."""
        history, left, reasons = trio.run(play, seed, clock=self._make_clock())
        violations = {r.promise: r.violations for r in check_cell(history) if r.violations}
        return history, left, reasons, violations

    # Guards against owners that together conclude from more than one sign what each of them may
    # not, and against a proof of a departure that is lost with an owner.
    def test_no_task_runs_twice_and_a_task_of_a_worker_that_left_starts_again(self):
        all_reasons = set()
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                history, left, reasons, violations = self.play(seed)
                self.assertEqual({}, violations)
                lost = [r for r in history.runs if r.worker in left and r.end is RunEnd.LOST]
                for run in lost:
                    later = [r for r in history.runs_of(JOB) if r.started_at >= run.ended_at]
                    self.assertIn(run.task, {r.task for r in later})
                all_reasons.update(reasons)
        # Without it the plays say nothing of the proof of a departure.
        self.assertIn("left", all_reasons)

    # The test above, with versions that take other signs for the end of a worker.
    def test_each_conclusion_without_proof_is_found(self):
        for target, name, broken in CONCLUSIONS_WITHOUT_PROOF:
            with self.subTest(name=name), mock.patch.object(target, name, broken):
                seeds = range(FIRST_SEED, FIRST_SEED + SEEDS)
                self.assertTrue(any(NO_SECOND_RUN in self.play(seed)[3] for seed in seeds))
