"""Tests that a cell keeps every promise under any two faults at once."""

import os
from collections import Counter
from datetime import timedelta
from itertools import combinations_with_replacement
from random import Random

import attrs
import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._cell_faults import STOP_BOUND_SECONDS, faults_by_name
from mimosapoint.cell.tests._recorded_site import open_recorded_site
from mimosapoint.cell.tests._site import SMALL, WIDE
from mimosapoint.cell.tests._unseen_worker_faults import unseen_worker_faults
from mimosapoint.cell.tests._wide_demand import WIDE_SEED, WideDemand
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.cell_checks import (
    LATE_START_BOUND,
    cell_checks_by_promise,
    check_cell,
)
from mimosapoint.workload import Phase, RunEnd, Step

SEED = int(os.environ.get("MIMOSAPOINT_FAULT_PAIR_SEED", "1"))
LOW = 2
WORKERS = 4
RUN_TIME = timedelta(seconds=4)
CLAIM = Step(2, WIDE, gang=True)
PAIRS = tuple(combinations_with_replacement(faults_by_name, 2))

STRIDE = int(os.environ.get("MIMOSAPOINT_FAULT_PAIR_STRIDE", "4"))
"""Distance of the pairs that are played; 1 plays all, which takes minutes."""

RECLAIM_SECONDS = 1.7
"""Bound of a reclaim without faults."""

MAX_FAULT_BEGIN_SECONDS = 0.5
MAX_FAULT_SECONDS = 5.0

RECLAIM_AFTER_FAULTS_SECONDS = LATE_START_BOUND + 2 * RECLAIM_SECONDS

RECLAIM_UNDER_FAULTS_SECONDS = (
    MAX_FAULT_BEGIN_SECONDS + MAX_FAULT_SECONDS + RECLAIM_AFTER_FAULTS_SECONDS
)
"""Bound of a reclaim under faults: the end of the longest fault, then the bound for an owner that
is lost at that moment, then the bound without faults."""

SETTLE_SECONDS = 40.0
"""Time in which every accepted job has ended after the faults."""


WIDE_SETTLE_SECONDS = 120.0
"""The same with gangs that run one after the other."""

WIDE_WORKERS = 8
"""Number of workers in plays with gangs that need most of them."""

RECOVERY_SECONDS = 4.0
"""Time from the last fault until each node has to reply."""


async def play(names, seed, start_bound_seconds):
    """Play faults at once on a cell with callers, and return its history."""
    random = Random(f"{seed} {names}")
    is_wide = seed >= WIDE_SEED
    workers = WIDE_WORKERS if is_wide else WORKERS
    cores = 0.1 if "nodes without peers" in names else 1.0
    async with open_recorded_site(
        random, workers=workers, settings=CellSettings(cores=cores)
    ) as site:
        async with trio.open_nursery() as nursery:
            site.simulation.run_time = RUN_TIME
            if is_wide:
                demand = WideDemand.of_seed((seed, names), workers)
                site.simulation.run_time = demand.run_time
                site.put_cap(demand.cap)
                nursery.start_soon(demand.submit_all, site.call_submit)
            for number in range(1 if is_wide else WORKERS):
                nursery.start_soon(submit_borrower, site, number)
            nursery.start_soon(submit_jobs, site)
            site.nursery.start_soon(site.ask_throughout)
            await trio.sleep(1)
            for name in names:
                nursery.start_soon(play_fault, site, name)
            await trio.sleep(random.uniform(0, 1))
            await site.call_claim("claim", CLAIM, start_bound_seconds)
            await site.call_cancel("job0", STOP_BOUND_SECONDS)
        if any(name in unseen_worker_faults.by_name for name in names):
            extend_claims(site.history)
        await settle(site, WIDE_SETTLE_SECONDS if is_wide else SETTLE_SECONDS)
    return site.history


def extend_claims(history):
    """Let the bounds of claims count from the end of faults that last longer than the others."""
    until = max(each.ended_at for each in history.disturbances) + RECLAIM_AFTER_FAULTS_SECONDS
    history.claims = [
        attrs.evolve(
            claim, start_bound_seconds=max(claim.start_bound_seconds, until - claim.claimed_at)
        )
        for claim in history.claims
    ]


async def submit_borrower(site, number):
    await site.call_submit(f"low{number}", Step(1, WIDE, checkpoints=number % 2 == 0), queue=LOW)


async def submit_jobs(site):
    for number in range(8):
        steps = (Step(2, SMALL), Step(2, WIDE, gang=True, after=(0,)))
        await site.call_submit(f"job{number}", *steps[: 1 + number % 2])
        await trio.sleep(0.8)


async def play_fault(site, name):
    await trio.sleep(site.random.uniform(0, MAX_FAULT_BEGIN_SECONDS))
    with site.disturbed(name):
        await faults_by_name[name](site, site.random.uniform(2, MAX_FAULT_SECONDS))


async def settle(site, seconds):
    """Wait until callers were shown an end of each job, or until the time for it is over.

    Then ask each node for each job, at the earliest when the nodes have recovered.
    """
    jobs = {submission.job for submission in site.history.submissions}
    with trio.move_on_after(seconds):
        while jobs:
            await trio.sleep(0.5)
            phases_by_job = {o.job: o.phase for o in site.history.phases}
            jobs = {job for job in jobs if is_open(phases_by_job.get(job, Phase.QUEUED))}
    await trio.sleep_until(
        max(c.accepted_at or 0 for c in site.history.cancellations) + STOP_BOUND_SECONDS + 0.1
    )
    await trio.sleep_until(
        max((d.ended_at for d in site.history.disturbances), default=0) + RECOVERY_SECONDS
    )
    await site.read_final_phases()


def is_open(phase):
    return phase is not None and not phase.ended


class FaultPairTest(TrioTestCase):
    mock_clock = True

    def play(self, names, start_bound_seconds):
        """Play faults in a separate trio run, so that each pair can be repeated alone."""
        return trio.run(play, names, SEED, start_bound_seconds, clock=self._make_clock())

    def assert_kept(self, history):
        """Assert that no check finds a violation, and return the cases checked by promise."""
        results = check_cell(history)
        violations = [f"{r.promise}: {line}" for r in results for line in r.violations]
        self.assertEqual([], violations)
        return Counter({result.promise: result.cases_checked for result in results})

    def test_no_fault(self):
        history = self.play((), RECLAIM_SECONDS)
        self.assert_kept(history)
        self.assertIn(RunEnd.STOPPED, {run.end for run in history.runs})

    def test_pairs_of_faults(self):
        cases_by_promise = Counter()
        for names in PAIRS[::STRIDE]:
            with self.subTest(faults=names, seed=SEED):
                history = self.play(names, RECLAIM_UNDER_FAULTS_SECONDS)
                cases_by_promise += self.assert_kept(history)
        self.assertEqual(set(cell_checks_by_promise), set(cases_by_promise))
