"""Tests of tasks that crash their workers: they are given up, and healthy tasks beside them not."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.crash_checks import crash_violations
from mimosapoint.workload import Phase, Step, TaskId

MAX_CRASHES = 3
"""Crashes under one task in an undisturbed cell; the users count the starts after the third."""


def first_task(job):
    return TaskId(job, 0, 0, 0)


class CrashingTaskTest(TrioTestCase):
    mock_clock = True

    def crashes(self, site, job):
        return [record for record in site.runs(job) if record.crashed_worker]

    # Guards against a task that crashes worker after worker, because nothing counts the crashes.
    async def test_a_task_that_crashes_its_workers_is_given_up(self):
        async with open_site(workers=8) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            site.simulation.run_time = timedelta(seconds=6)
            await site.submit("beside", Step(12, SMALL))
            await site.submit("deadly", Step(4, SMALL))
            await site.wait_phase("deadly", Phase.FAILED, within=30)
            await site.wait_phase("beside", Phase.COMPLETE, within=60)
            await trio.sleep(5)
            self.assertLessEqual(len(self.crashes(site, "deadly")), MAX_CRASHES)
            self.assertEqual([], site.running("deadly"))
            self.assertEqual([], crash_violations(site.simulation.history))
            self.assertEqual([], site.violations())
