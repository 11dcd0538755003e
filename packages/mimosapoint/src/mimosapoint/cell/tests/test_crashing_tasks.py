"""Tests of tasks that crash their workers: they are given up, and healthy tasks beside them not."""

from datetime import timedelta

import trio

from mimosapoint.cell.keys import progress_key
from mimosapoint.cell.report import CellReport
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.codec import decode
from mimosapoint.testing import TrioTestCase
from mimosapoint.testing.crash_checks import crash_violations, crashing_tasks
from mimosapoint.workload import JobProgress, Phase, Schedule, Step, TaskId

MAX_CRASHES = 3
"""Crashes under one task in an undisturbed cell; the users count the starts after the third."""


def first_task(job):
    return TaskId(job, 0, 0, 0)


class CrashingTaskCase(TrioTestCase):
    mock_clock = True

    def crash_count(self, site, job):
        return sum(len(runs) for runs in crashing_tasks(site.runs(job)).values())

    def assert_given_up(self, site, job="deadly"):
        self.assertEqual(Phase.FAILED, site.phase(job))
        self.assertEqual([], site.running(job))
        self.assertEqual([], crash_violations(site.simulation.history))
        self.assertEqual([], site.violations())

    def stored_crashes(self, site, task):
        value = site.store.peek(progress_key(task.job))
        return decode(value, JobProgress).crashes.get(task.key, []) if value else []

    async def wait_crashes(self, site, job, count, within=30):
        with trio.fail_after(within):
            while self.crash_count(site, job) < count:
                await trio.sleep(0.02)

    async def wait_stored_crashes(self, site, task, count):
        with trio.fail_after(15):
            while len(self.stored_crashes(site, task)) < count:
                await trio.sleep(0.02)


class CrashingTaskTest(CrashingTaskCase):
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
            self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
            self.assert_given_up(site)

    # Guards against a shape of job for which crashes are not counted.
    async def test_each_shape_of_job_is_given_up(self):
        due = Schedule(None, timedelta(seconds=1), 2)
        shapes = {
            "gang on one worker": ((Step(3, SMALL, gang=True),), 0, {}),
            "gang on several workers": ((Step(4, WIDE, gang=True),), 0, {}),
            "gang in one rack": ((Step(3, WIDE, gang=True, rack_local=True),), 0, {}),
            "second step": ((Step(1, SMALL), Step(2, SMALL, after=(0,))), 1, {}),
            "occurrences": ((Step(2, SMALL),), 0, {"schedule": due}),
            "checkpoints": ((Step(2, SMALL, checkpoints=True),), 0, {}),
            "copies": ((Step(2, SMALL, copies_allowed=True),), 0, {}),
            "lasting": ((Step(2, SMALL, long_running=True),), 0, {}),
            "urgent": ((Step(1, SMALL),), 0, {"queue": 0}),
        }
        for name, (steps, number, more) in shapes.items():
            with self.subTest(shape=name):
                async with open_site(workers=9) as site:
                    if "schedule" in more:
                        first = site.clock.now() + timedelta(seconds=1)
                        more = {"schedule": Schedule(first, due.interval, due.count)}
                    site.simulation.crashing_tasks.add(TaskId("deadly", 0, number, 0))
                    await site.submit("deadly", *steps, **more)
                    await site.wait_phase("deadly", Phase.FAILED, within=40)
                    await trio.sleep(3)
                    self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
                    self.assert_given_up(site)

    # Guards against a suspect that stops the work of others to reach its next crash.
    async def test_an_urgent_suspect_preempts_nothing(self):
        async with open_site(workers=4) as site:
            site.simulation.run_time = timedelta(seconds=30)
            await site.submit("low", Step(28, SMALL), queue=2)
            await site.wait_running("low", 28)
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL), queue=0)
            await self.wait_crashes(site, "deadly", 1)
            await site.submit("more", Step(20, SMALL), queue=2)
            await site.wait_phase("deadly", Phase.FAILED, within=120)
            stopped = {
                event.fields["job"]
                for event in site.owner.telemetry.events
                if event.name == "unit-stopped"
            }
            self.assertLessEqual(stopped, {"deadly"})
            self.assert_given_up(site)

    # Guards against errors of the workers that a relay node passes on in another form.
    async def test_a_small_owner_with_relays_gives_up_too(self):
        async with open_site(nodes=4, workers=6, settings=CellSettings(cores=0.1)) as site:
            await trio.sleep(4)
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await site.wait_phase("deadly", Phase.FAILED, within=40)
            self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
            self.assert_given_up(site)

    # Guards against a job that disappears from the reports together with the reason.
    async def test_operators_see_the_task_and_the_workers(self):
        async with open_site(workers=6) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await site.wait_phase("deadly", Phase.FAILED, within=30)
            status = CellReport(site.owner.cell).job("deadly")
            self.assertEqual("failed", status.phase)
            crashed = {run.worker for run in site.runs("deadly")}
            self.assertEqual({"deadly.0.0.0"}, {crash.task for crash in status.crashes})
            self.assertEqual(crashed, {crash.worker for crash in status.crashes})
            self.assertIn("job-given-up", site.owner.telemetry.event_names())


class LastingEvidenceTest(CrashingTaskCase):
    """What is known of crashes outlives owners, nodes and outages of the store."""

    # Guards against an owner that begins to count anew.
    async def test_a_new_owner_knows_the_crashes_so_far(self):
        async with open_site(nodes=5, workers=8) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await self.wait_stored_crashes(site, first_task("deadly"), 1)
            site.owner.kill()
            await site.wait_phase("deadly", Phase.FAILED, within=40)
            self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
            self.assert_given_up(site)

    # Guards against crashes that nobody saw, as the owner died in the same moment.
    async def test_a_crash_at_the_moment_of_the_owners_death_is_counted(self):
        async with open_site(nodes=6, workers=8) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await self.wait_stored_crashes(site, first_task("deadly"), 1)
            await self.wait_crashes(site, "deadly", 2)
            site.owner.kill()
            await site.wait_phase("deadly", Phase.FAILED, within=60)
            await trio.sleep(3)
            self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
            self.assert_given_up(site)

    async def test_crashes_are_known_after_all_nodes_lost_power(self):
        async with open_site(nodes=3, workers=8) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await self.wait_stored_crashes(site, first_task("deadly"), 1)
            for node in list(site.nodes):
                node.kill()
            for _ in range(3):
                site.add_node()
            await site.wait_phase("deadly", Phase.FAILED, within=60)
            self.assertLessEqual(self.crash_count(site, "deadly"), MAX_CRASHES)
            self.assert_given_up(site)

    async def test_a_crash_while_the_store_is_away_is_counted(self):
        async with open_site(workers=8) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await self.wait_crashes(site, "deadly", 1)
            site.store.faults.refuse = True
            await trio.sleep(4)
            site.store.faults.refuse = False
            await site.wait_phase("deadly", Phase.FAILED, within=60)
            self.assert_given_up(site)

    # Guards against workers that come back under another id, or never.
    async def test_workers_that_are_replaced_or_never_return_are_counted(self):
        for returns in (True, False):
            with self.subTest(returns=returns):
                async with open_site(workers=10) as site:
                    site.simulation.crashing_tasks.add(first_task("deadly"))
                    site.nursery.start_soon(self.replace_crashed, site, returns)
                    await site.submit("deadly", Step(1, SMALL))
                    await site.wait_phase("deadly", Phase.FAILED, within=90)
                    self.assert_given_up(site)

    # Guards against a sixth start of a task whose first crash no owner has seen, when no worker
    # returns, so that the later crashes are not confirmed.
    async def test_a_first_crash_that_no_owner_saw_counts(self):
        async with open_site(nodes=6, workers=14) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            site.nursery.start_soon(self.replace_crashed, site, False)
            await site.submit("deadly", Step(1, SMALL))
            await self.wait_crashes(site, "deadly", 1)
            site.owner.kill()
            await site.wait_phase("deadly", Phase.FAILED, within=120)
            self.assert_given_up(site)

    # Guards against a sixth start when each owner ends at the moment of a crash.
    async def test_owners_that_end_at_each_crash_count_them_together(self):
        async with open_site(nodes=8, workers=14) as site:
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            for count in range(1, 5):
                await self.wait_crashes(site, "deadly", count, within=60)
                site.owner.kill()
            await site.wait_phase("deadly", Phase.FAILED, within=120)
            self.assert_given_up(site)

    async def replace_crashed(self, site, returns):
        """Let another worker reply at the address of a crashed one, or nothing."""
        replaced = set()
        while True:
            await trio.sleep(0.01)
            for address, worker in list(site.workers.workers_by_address.items()):
                if worker.is_down and address not in replaced:
                    replaced.add(address)
                    faults = site.workers.network_faults_by_address[address]
                    faults.wrong_incarnation, faults.partitioned = returns, not returns
                    site.unregister(worker)


class HealthyTaskTest(CrashingTaskCase):
    """Healthy tasks are not given up, whatever happens to their workers."""

    async def run_disturbed(self, disturb, rounds=4, workers=9, tasks=12):
        """Run a job while the workers of its newest runs are disturbed; it must complete."""
        async with open_site(workers=workers) as site:
            site.simulation.run_time = timedelta(seconds=5)
            await site.submit("healthy", Step(tasks, SMALL))
            for _ in range(rounds):
                await site.wait_running("healthy", within=30)
                await trio.sleep(0.1)
                await disturb(site)
            await site.wait_phase("healthy", Phase.COMPLETE, within=120)
            self.assertEqual([], site.violations())

    # Guards against the loss of a zone being blamed on the tasks that had just started there.
    async def test_a_lost_zone_is_no_evidence(self):
        async def lose_zone(site):
            zone = site.running("healthy")[-1].worker
            zone = site.simulation.workers_by_id[zone].registration.zone
            for worker in site.simulation.workers_by_id.values():
                if worker.registration.zone == zone:
                    site.nursery.start_soon(worker.crash)
            await trio.sleep(2.5)

        await self.run_disturbed(lose_zone, tasks=4)

    # Guards against a worker that was merely cut off being taken for a crashed one.
    async def test_workers_that_are_cut_and_return_are_no_evidence(self):
        async def cut(site):
            worker = site.simulation.workers_by_id[site.running("healthy")[-1].worker]
            faults = site.workers.network_faults_by_address[worker.registration.address]
            faults.partitioned = True
            await trio.sleep(9)
            faults.partitioned = False
            await trio.sleep(1)

        await self.run_disturbed(cut, tasks=1)

    async def cut_off(self, site):
        """Cut off the worker of the newest run for good; it goes on until its lease expires."""
        worker = site.simulation.workers_by_id[site.running("healthy")[-1].worker]
        faults = site.workers.network_faults_by_address[worker.registration.address]
        faults.partitioned = True
        runs = len(site.runs("healthy"))
        with trio.move_on_after(20):
            while len(site.runs("healthy")) == runs:
                await trio.sleep(0.05)

    # Guards against a job that is shown as failed although no worker has crashed under it.
    async def test_workers_that_are_cut_off_and_do_not_return_are_no_evidence(self):
        await self.run_disturbed(self.cut_off, rounds=4, tasks=1)

    # Guards against a job that is shown as failed after the crash of a single worker.
    async def test_one_crash_beside_workers_that_are_cut_off_is_no_evidence(self):
        async def crash_once(site):
            if len(site.runs("healthy")) > 1:
                await self.cut_off(site)
                return
            worker = site.simulation.workers_by_id[site.running("healthy")[-1].worker]
            await worker.crash()
            site.register(worker, born=worker.born)

        await self.run_disturbed(crash_once, rounds=4, tasks=1)

    async def test_workers_that_leave_are_no_evidence(self):
        async def leave(site):
            worker = site.simulation.workers_by_id[site.running("healthy")[-1].worker]
            site.register(worker, draining=True)
            await trio.sleep(1)
            site.nursery.start_soon(worker.crash)
            await trio.sleep(3)
            site.register(worker, draining=False)

        await self.run_disturbed(leave, tasks=1)

    # Guards against a healthy task that is given up because it met the same crashing task twice.
    async def test_a_task_that_met_a_crashing_one_completes(self):
        async with open_site(workers=3) as site:
            site.simulation.run_time = timedelta(seconds=2)
            for number in range(3):
                site.simulation.crashing_tasks.add(first_task(f"deadly{number}"))
            for number in range(3):
                await site.submit(f"healthy{number}", Step(4, SMALL))
                await site.submit(f"deadly{number}", Step(1, SMALL))
            for number in range(3):
                await site.wait_phase(f"deadly{number}", Phase.FAILED, within=90)
                await site.wait_phase(f"healthy{number}", Phase.COMPLETE, within=90)
            self.assertEqual([], crash_violations(site.simulation.history))
            self.assertEqual([], site.violations())

    # Guards against a healthy task that is given up as it met a crashing one, which has been
    # given up, and whose next worker is then lost for another reason.
    async def test_a_crash_that_another_task_explains_is_no_evidence(self):
        async with open_site(workers=12) as site:
            site.simulation.run_time = timedelta(seconds=8)
            site.simulation.crashing_tasks.add(first_task("deadly"))
            await site.submit("deadly", Step(1, SMALL))
            await site.submit("healthy", Step(1, SMALL))
            with trio.fail_after(30):
                while len(site.runs("healthy")) < 2:
                    await trio.sleep(0.02)
            await trio.sleep(0.1)
            await site.simulation.workers_by_id[site.running("healthy")[0].worker].crash()
            await site.wait_phase("healthy", Phase.COMPLETE, within=60)
            self.assertEqual(Phase.FAILED, site.phase("deadly"))
            self.assertIn("crash-explained", site.owner.telemetry.event_names())
            self.assertEqual([], site.violations())

    # Guards against crashes that add up over the life of a task that lasts.
    async def test_a_run_that_works_on_clears_its_task(self):
        async with open_site(workers=6) as site:
            site.simulation.run_time = timedelta(seconds=600)
            await site.submit("lasting", Step(1, SMALL, long_running=True))
            for _ in range(6):
                for run_seconds in (1, 8):
                    await site.wait_running("lasting")
                    worker = site.simulation.workers_by_id[site.running("lasting")[0].worker]
                    await trio.sleep(run_seconds)
                    await worker.crash()
                self.assertEqual([], self.stored_crashes(site, first_task("lasting")))
            self.assertEqual(Phase.RUNNING, site.phase("lasting"))
