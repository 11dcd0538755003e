"""Tests of tasks that crash many workers at once, and of healthy ones that are lost with them."""

from datetime import timedelta
from itertools import product

import trio

from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.cell.tests.test_crashing_tasks import CrashingTaskCase
from mimosapoint.workload import Phase, Step, TaskId


class MassCrashTest(CrashingTaskCase):
    """Pattern: a job whose tasks all crash their workers, each on a worker of its own."""

    # Guards against tasks that are never suspected, as they crash many workers at the same moment.
    async def test_jobs_whose_tasks_crash_their_workers_together_are_given_up(self):
        for workers, jobs, tasks in ((24, 1, 20), (24, 2, 10), (6, 1, 6), (6, 2, 3)):
            with self.subTest(workers=workers, jobs=jobs, tasks=tasks):
                async with open_site(workers=workers) as site:
                    site.simulation.crash_delay = timedelta(milliseconds=300)
                    site.simulation.run_time = timedelta(seconds=6)
                    names = [f"deadly{number}" for number in range(jobs)]
                    for name, index in product(names, range(tasks)):
                        site.simulation.crashing_tasks.add(TaskId(name, 0, 0, index))
                    await site.submit("beside", Step(workers, SMALL))
                    for name in names:
                        await site.submit(name, Step(tasks, SMALL, spread_limit=1))
                    for name in names:
                        await site.wait_phase(name, Phase.FAILED, within=90)
                        await trio.sleep(1)
                        self.assert_given_up(site, name)
                    await site.wait_phase("beside", Phase.COMPLETE, within=60)

    # Guards against crashes that are not counted, as no worker has replied to the start.
    async def test_crashes_before_the_reply_to_a_start_are_counted(self):
        async with open_site(workers=12) as site:
            site.simulation.crash_delay = timedelta(milliseconds=300)
            site.simulation.crashing_tasks |= {TaskId("deadly", 0, 0, n) for n in range(10)}
            for faults in site.workers.network_faults_by_address.values():
                faults.lost_start_replies = 1000
            await site.submit("deadly", Step(10, WIDE))
            await site.wait_phase("deadly", Phase.FAILED, within=90)
            await trio.sleep(1)
            self.assert_given_up(site, "deadly")

    # Guards against crashes of many workers that each new owner counts anew.
    async def test_owners_that_end_between_the_crashes_count_them_together(self):
        async with open_site(nodes=6, workers=12) as site:
            site.simulation.crash_delay = timedelta(milliseconds=300)
            site.simulation.crashing_tasks |= {TaskId("deadly", 0, 0, n) for n in range(10)}
            await site.submit("deadly", Step(10, WIDE))
            for count in (10, 20):
                await self.wait_crashes(site, "deadly", count, within=60)
                await trio.sleep(2.5)
                site.owner.kill()
            await site.wait_phase("deadly", Phase.FAILED, within=90)
            self.assert_given_up(site, "deadly")

    # Guards against healthy jobs that are given up after losses of power in a row, each within
    # seconds of their starts.
    async def test_healthy_jobs_survive_three_losses_of_power(self):
        for lost in (1.0, 0.5):
            with self.subTest(lost=lost):
                async with open_site(workers=12) as site:
                    site.simulation.run_time = timedelta(seconds=5)
                    await site.submit("wide", Step(8, WIDE))
                    await site.submit("small", Step(24, SMALL))
                    for _ in range(3):
                        await site.wait_running("wide", within=30)
                        await trio.sleep(0.5)
                        workers = list(site.simulation.workers_by_id.values())
                        for worker in workers[: int(lost * len(workers))]:
                            site.nursery.start_soon(worker.crash)
                        await trio.sleep(2.5)
                    for job in ("wide", "small"):
                        await site.wait_phase(job, Phase.COMPLETE, within=120)
                    self.assertEqual([], site.violations())
