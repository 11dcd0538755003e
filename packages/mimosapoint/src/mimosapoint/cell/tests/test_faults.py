"""Tests of a cell under faults: no task runs twice, gangs start whole, no accepted job is lost."""

from datetime import timedelta

import trio

from mimosapoint.cell.keys import progress_key
from mimosapoint.cell.tests._site import POOL, SMALL, WIDE, open_site
from mimosapoint.codec import encode
from mimosapoint.errors import Overloaded, StoreUnavailable
from mimosapoint.ports import StartOrder
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import AcceptedJob, JobProgress, Phase, RunEnd, Step, TaskId


class CellFaultTest(TrioTestCase):
    mock_clock = True

    def assert_no_violations(self, site):
        self.assertEqual([], site.violations())

    async def test_steps_run_in_order_and_the_job_completes(self):
        async with open_site() as site:
            await site.submit("a", Step(4, SMALL), Step(2, WIDE, gang=True, after=(0,)))
            await site.wait_phase("a", Phase.COMPLETE)
            first = [record for record in site.runs("a") if record.task.step == 0]
            second = [record for record in site.runs("a") if record.task.step == 1]
            self.assertEqual((4, 2), (len(first), len(second)))
            self.assertLessEqual(
                max(record.ended_at for record in first),
                min(record.started_at for record in second),
            )
            self.assert_no_violations(site)

    async def test_a_step_waits_until_the_end_of_the_one_before_is_stored(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=1)
            await site.submit("a", Step(1, SMALL), Step(1, SMALL, after=(0,)))
            await site.wait_running("a")
            site.store.faults.refuse = True
            await trio.sleep(1.3)
            self.assertEqual([RunEnd.DONE], [record.end for record in site.runs("a")])
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_task_waits_for_an_unwanted_run_of_it_to_stop(self):
        async with open_site(nodes=0, workers=1) as site:
            site.simulation.stop_time = timedelta(seconds=1)
            step = Step(1, SMALL)
            record = AcceptedJob(
                id="a",
                queue="normal",
                tenant="t",
                pool=POOL,
                spec="",
                steps=(step, Step(1, SMALL, after=(0,))),
                priority=1,
                max_attempts=3,
                slack_factor=1.0,
                target=timedelta(0),
                accepted_at=site.clock.now(),
            )
            site.store.put("inbox/job/a", encode(record))
            # Stored before the first start is ordered: a job without it has no run.
            site.store.put(progress_key("a"), encode(JobProgress(Phase.RUNNING)))
            worker = site.workers.workers_by_address["10.0.0.0:1"]
            worker.lease_until_ms = 10_000
            for number, seconds in enumerate((0.1, 30)):
                site.simulation.run_time = timedelta(seconds=seconds)
                worker.start(StartOrder(TaskId("a", 0, number, 0), 1, record, 1, 5000))
                await trio.sleep(0.2)
            site.simulation.run_time = timedelta(seconds=1)
            site.add_node()
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_killed_owner_loses_and_repeats_no_run(self):
        async with open_site() as site:
            await site.submit("a", Step(6, SMALL))
            await site.submit("b", Step(3, WIDE, gang=True))
            await site.wait_running("b", 3)
            site.owner.kill()
            await site.wait_phase("a", Phase.COMPLETE)
            await site.wait_phase("b", Phase.COMPLETE)
            self.assertEqual(9, len(site.simulation.history))
            self.assert_no_violations(site)

    async def test_an_urgent_job_starts_within_1700_ms_of_the_loss_of_the_owner(self):
        async with open_site() as site:
            site.owner.kill()
            await site.submit("a", Step(2, WIDE, gang=True), queue=0)
            await site.wait_running("a", 2, within=1.7)

    async def test_the_next_owner_learns_of_ends_that_were_not_stored(self):
        async with open_site() as site:
            await site.submit("a", Step(3, SMALL))
            await site.wait_running("a", 3)
            await trio.sleep(1.8)
            site.owner.kill()
            await trio.sleep(0.4)
            self.assertEqual([], site.running("a"))
            self.assertEqual(Phase.RUNNING, site.phase("a"))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(3, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_an_owner_cut_off_from_the_store_is_replaced_and_gives_no_orders(self):
        async with open_site() as site:
            old = site.owner
            for fault in ("silent",):
                old.store.fault = fault
                await site.submit("a", Step(4, SMALL), node=site.other)
                await site.wait_phase("a", Phase.COMPLETE)
                self.assertFalse(old.cell.is_ready())
                with self.assertRaises(Overloaded):
                    old.cell.gateway.configuration()
            self.assert_no_violations(site)

    async def test_an_ownership_outlasts_lost_replies_to_renewals(self):
        async with open_site() as site:
            owner = site.owner
            owner.store.lossy_renewals = 20
            await trio.sleep(8)
            self.assertEqual(0, owner.store.lossy_renewals)
            self.assertIs(owner, site.owner)
            self.assertEqual(b"1", site.store.peek("cell/owner-epoch"))

    async def test_runs_on_a_silent_worker_wait_for_its_lease_after_a_failover(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=60)
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.running("a")[0].worker
            old = site.owner
            for node in site.nodes:
                if node is not old:
                    node.workers.unreachable.add(worker)
            old.store.fault = "silent"
            await trio.sleep(20)
            self.assertGreaterEqual(len(site.runs("a")), 2)
            self.assert_no_violations(site)

    async def test_a_job_of_the_new_owner_does_not_wait_for_a_silent_worker(self):
        async with open_site() as site:
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            worker = site.running("a")[0].worker
            site.workers.network_faults_by_address[f"10.0.0.{worker[1:]}:1"].partitioned = True
            site.owner.kill()
            await trio.sleep(3.5)
            await site.submit("b", Step(1, SMALL))
            await site.wait_running("b", within=1)
            self.assert_no_violations(site)

    async def test_a_partitioned_worker_keeps_its_runs_until_its_lease_expires(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=30)
            await site.submit("a", Step(2, WIDE, gang=True))
            await site.wait_running("a", 2)
            worker = site.running("a")[0].worker
            site.workers.network_faults_by_address[f"10.0.0.{worker[1:]}:1"].partitioned = True
            await trio.sleep(15)
            self.assertEqual(2, len(site.running("a")))
            self.assertNotIn(worker, {record.worker for record in site.running("a")})
            self.assert_no_violations(site)

    async def test_a_restarted_worker_has_lost_its_runs_and_gets_new_ones(self):
        async with open_site(workers=1) as site:
            await site.submit("a", Step(2, SMALL))
            await site.wait_running("a", 2)
            worker = site.workers.workers_by_address["10.0.0.0:1"]
            worker.restart(2)
            site.register(worker, born=2)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(4, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_a_start_that_reaches_the_next_incarnation_runs_once(self):
        async with open_site(workers=2) as site:
            for worker in site.workers.workers_by_address.values():
                worker.restart(2)
            await site.submit("a", Step(2, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(2, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_an_unanswered_start_takes_effect_in_its_window_or_never(self):
        for delay_seconds in (0.3, 1.5, 4.0):
            with self.subTest(delay_seconds=delay_seconds):
                async with open_site(workers=2) as site:
                    site.workers.network_faults_by_address["10.0.0.0:1"].start_delay = timedelta(
                        seconds=delay_seconds
                    )
                    await site.submit("a", Step(2, WIDE, gang=True))
                    await trio.sleep(2)
                    site.workers.network_faults_by_address["10.0.0.0:1"].start_delay = None
                    await site.wait_phase("a", Phase.COMPLETE)
                    self.assert_no_violations(site)

    async def test_commits_with_lost_or_late_replies_are_resolved(self):
        for delay_seconds in (0.0, 2.0):
            with self.subTest(delay_seconds=delay_seconds):
                async with open_site() as site:
                    await site.submit("a", Step(3, SMALL))
                    await site.wait_running("a", 3)
                    site.store.lost_commit_delay = timedelta(seconds=delay_seconds)
                    site.store.faults.lose_replies = 8
                    await site.wait_phase("a", Phase.COMPLETE)
                    self.assertEqual(3, len(site.runs("a")))
                    self.assert_no_violations(site)

    async def test_a_store_outage_of_4500_ms_loses_no_run(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=8)
            await site.submit("a", Step(3, SMALL))
            await site.wait_running("a", 3)
            site.store.faults.refuse = True
            await trio.sleep(1)
            with self.assertRaises((Overloaded, StoreUnavailable)):
                await site.submit("b", Step(1, SMALL))
            await trio.sleep(3.5)
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(3, len(site.runs("a")))
            self.assertEqual([], site.runs("b"))
            self.assert_no_violations(site)

    async def test_more_jobs_change_at_once_than_a_transaction_holds(self):
        async with open_site(workers=12) as site:
            for number in range(60):
                await site.submit(f"j{number}", Step(1, SMALL))
            for number in range(60):
                await site.wait_phase(f"j{number}", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_compacted_history_loses_no_job(self):
        async with open_site() as site:
            for job in ("a", "b", "c"):
                await site.submit(job, Step(1, SMALL))
                site.store.compact_history()
            for job in ("a", "b", "c"):
                await site.wait_phase(job, Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_cancelled_job_stops_and_starts_nothing_more(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=30)
            await site.submit("a", Step(3, SMALL))
            await site.wait_running("a", 3)
            await site.other.cell.gateway.cancel("t", "a")
            await trio.sleep(1)
            self.assertEqual([], site.running("a"))
            self.assertEqual(Phase.CANCELLED, site.phase("a"))
            self.assert_no_violations(site)

    async def test_a_cancellation_after_the_loss_of_the_owner_takes_effect(self):
        async with open_site() as site:
            site.simulation.run_time = timedelta(seconds=30)
            await site.submit("a", Step(3, SMALL))
            await site.wait_running("a", 3)
            site.owner.kill()
            await site.nodes[-1].cell.gateway.cancel("t", "a")
            await trio.sleep(5)
            self.assertEqual([], site.running("a"))
            self.assert_no_violations(site)

    async def test_a_job_that_always_fails_gets_its_attempts_and_no_more(self):
        async with open_site() as site:
            site.simulation.failing_workers = {f"w{number}" for number in range(6)}
            await site.submit("a", Step(2, WIDE, gang=True))
            await site.wait_phase("a", Phase.FAILED)
            self.assertEqual(6, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_a_job_that_failed_on_the_only_worker_is_tried_there_again(self):
        async with open_site(workers=1) as site:
            site.simulation.failing_workers = {"w0"}
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.FAILED)
            self.assertEqual(3, len(site.runs("a")))

    async def test_jobs_complete_beside_workers_that_fail_every_run(self):
        async with open_site(workers=12) as site:
            site.simulation.failing_workers = {"w0", "w1"}
            for number in range(12):
                await site.submit(f"u{number}", Step(2, WIDE, gang=True), queue=0)
                await trio.sleep(0.3)
            for number in range(12):
                await site.wait_phase(f"u{number}", Phase.COMPLETE, within=30)
            self.assert_no_violations(site)

    async def test_a_job_that_fails_everywhere_quarantines_no_worker(self):
        async with open_site() as site:
            site.simulation.failing_jobs = {"bad"}
            await site.submit("bad", Step(6, SMALL))
            await site.wait_phase("bad", Phase.FAILED)
            sessions = site.owner.cell.owner.fleet.sessions_by_id.values()
            now = site.clock.now()
            self.assertEqual(
                [],
                [session.id for session in sessions if session.worker.health.is_quarantined(now)],
            )
            self.assert_no_violations(site)

    async def test_a_failure_counts_once_over_a_change_of_owner(self):
        async with open_site() as site:
            site.simulation.failing_workers = {f"w{number}" for number in range(6)}
            await site.submit("a", Step(1, SMALL))
            await trio.sleep(0.01)
            site.owner.kill()
            await site.wait_phase("a", Phase.FAILED)
            failed = [record for record in site.runs("a") if record.end is RunEnd.FAILED]
            self.assertEqual(3, len(failed))
            self.assert_no_violations(site)

    async def test_a_gang_with_a_refused_member_leaves_no_member_running_alone(self):
        async with open_site(workers=3) as site:
            site.workers.network_faults_by_address["10.0.0.0:1"].refuse_starts = True
            await site.submit("a", Step(2, WIDE, gang=True))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertNotIn(RunEnd.ALONE, {record.end for record in site.runs("a")})
            self.assert_no_violations(site)

    async def test_nothing_starts_in_a_withdrawn_zone_or_on_a_draining_worker(self):
        async with open_site() as site:
            site.store.put("op/out/z0", b"{}")
            worker = site.workers.workers_by_address["10.0.0.3:1"]
            site.register(worker, draining=True)
            await trio.sleep(1)
            await site.submit("a", Step(10, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual({"w4", "w5"}, {record.worker for record in site.runs("a")})
            site.store.apply({}, (), ["op/out/z0"])
            await trio.sleep(1)
            await site.submit("b", Step(3, WIDE, gang=True, rack_local=True))
            await site.wait_phase("b", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_planned_stop_hands_the_cell_over_within_500_ms(self):
        async with open_site() as site:
            await site.submit("a", Step(2, SMALL))
            old = site.owner
            old.cell.leave()
            await trio.sleep(0.5)
            self.assertIsNot(old, site.owner)
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(2, len(site.runs("a")))
            self.assert_no_violations(site)

    async def test_every_node_killed_at_once_loses_no_accepted_job(self):
        async with open_site() as site:
            await site.submit("a", Step(2, SMALL))
            await site.wait_running("a", 2)
            await site.submit("b", Step(2, SMALL))
            for node in site.nodes:
                node.kill()
            site.add_node()
            for job in ("a", "b"):
                await site.wait_phase(job, Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_unreadable_entries_of_other_writers_are_ignored(self):
        async with open_site() as site:
            site.store.put("workers/strange", b"\xff{")
            site.store.put("op/config", b"nothing")
            await trio.sleep(1)
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            self.assert_no_violations(site)

    async def test_a_repeated_submission_is_the_same_job(self):
        async with open_site() as site:
            await site.submit("a", Step(1, SMALL))
            await site.submit("a", Step(1, SMALL), node=site.nodes[0])
            await site.wait_phase("a", Phase.COMPLETE)
            await site.submit("a", Step(1, SMALL))
            await trio.sleep(3)
            self.assertEqual(1, len(site.runs("a")))

    async def test_ended_jobs_are_removed_after_their_retention(self):
        async with open_site() as site:
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            await trio.sleep(200)
            self.assertIsNone(site.store.peek("inbox/job/a"))
            self.assertIsNone(site.store.peek("progress/a"))
