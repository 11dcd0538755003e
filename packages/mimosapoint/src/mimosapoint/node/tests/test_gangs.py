"""Tests of gangs whose workers, callers or owners fail while they run or move."""

import os
from datetime import timedelta

import trio

from mimosapoint.jobs import make_job_id
from mimosapoint.model import JobState, TaskState
from mimosapoint.node.tests._case import SiteCase
from mimosapoint.testing.caller import Caller

ZONES = ("a", "b")
CANCELLED_JOBS = int(os.environ.get("MIMOSAPOINT_WAVE", "600"))
"""Number of jobs that are cancelled at once."""


def owner_of_job(site, view):
    """Return the owner of the job's zone."""
    return site.nodes_by_id[site.owner_of(view.zone)].core.ownership_manager.owner(view.zone)


class WorkerFaultTest(SiteCase):
    """A worker of a running gang fails."""

    async def test_outcome_by_fault(self):
        cases = (
            # Fault, repeatable, kinds of outcomes, starts of each task.
            ("restart", True, {"succeeded"}, 2),
            ("restart", False, {"may-have-run"}, 1),
            ("lost for good", True, {"succeeded"}, 2),
            ("lost for good", False, {"may-have-run"}, 1),
            ("paused for 4 s", True, {"succeeded"}, 1),
            ("paused for 4 s", False, {"succeeded"}, 1),
        )
        for fault, repeatable, outcomes, starts in cases:
            with self.subTest(fault=fault, repeatable=repeatable):
                async with self.site(workers=3) as site:
                    await self.fail_worker(site, fault, repeatable)
                    self.assertEqual(self.outcomes(site), outcomes)
                    job = site.history.calls[0].job
                    self.assertEqual(len(self.starts(site, job)), 2 * starts)

    async def fail_worker(self, site, fault, repeatable):
        async with trio.open_nursery() as nursery:
            self.start_calls(nursery, site, 1, seconds=10.0, gang=2, repeatable=repeatable)
            await trio.sleep(3)
            worker = self.starts(site, make_job_id("w", "k0", ZONES))[0].worker
            if fault == "restart":
                site.restart_worker(worker)
                return
            site.worker(worker).faults.frozen = True
            if fault.startswith("paused"):
                await trio.sleep(4)
                site.worker(worker).faults.frozen = False

    async def test_lost_replies(self):
        for command in ("reserve", "start", "collect", "acknowledge"):
            with self.subTest(command=command):
                async with self.site() as site:
                    self.lose_reply(site, command)
                    async with trio.open_nursery() as nursery:
                        self.start_calls(nursery, site, 4, seconds=1.0, gang=2, repeatable=False)
                    self.assertEqual(self.outcomes(site), {"succeeded"})

    def lose_reply(self, site, command):
        """Lose each worker's reply, after its effect, when a node next sends the command."""
        for node in site.nodes_by_id.values():
            node.freeze_control.actions_before_call[command] = lambda: self.lose_next_reply(site)

    def lose_next_reply(self, site):
        for worker in site.workers_by_address.values():
            worker.faults.lose_replies = 1

    async def test_reclaimed_gang_resumes_from_its_checkpoint(self):
        async with self.site() as site:
            caller = Caller(site)
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 1, seconds=10.0, gang=4, repeatable=False)
                await trio.sleep(4)
                view = await caller.call_next_node(
                    lambda gateway: gateway.job("w", make_job_id("w", "k0", ZONES))
                )
                owner_of_job(site, view).stop_job(view.id, "reclaim", timedelta(seconds=5))
            self.assertEqual(self.outcomes(site), {"succeeded"})
            self.assertEqual(len(self.starts(site, view.id)), 8)
            duration = site.history.calls[0].ended_at - site.history.calls[0].sent_at
            self.assertLess(duration.total_seconds(), 13)
            await trio.sleep(5)
            remaining = [
                len(w.history) and list(w._tasks) for w in site.workers_by_address.values()
            ]
            self.assertFalse(any(remaining), "a worker still keeps tasks of an earlier attempt")

    # Guards against a gang that loses all progress when one of its tasks ended before the stop.
    async def test_reclaimed_gang_resumes_when_a_task_succeeded_without_a_checkpoint(self):
        async with self.site() as site:
            call = await self.reclaim_half_done_gang(site, repeatable=True)
            self.assertEqual(self.outcomes(site), {"succeeded"})
            progress = [round(task.spec.progress) for task in self.restarted]
            self.assertCountEqual([0, 7], progress)
            self.assertEqual(len(self.starts(site, call.job)), 4)

    # Guards against a second run of a task that must not run twice.
    async def test_reclaimed_non_repeatable_gang_starts_no_succeeded_task_again(self):
        for keeps_checkpoint in (False, True):
            with self.subTest(keeps_checkpoint=keeps_checkpoint):
                async with self.site() as site:
                    await self.reclaim_half_done_gang(
                        site, repeatable=False, keeps_checkpoint=keeps_checkpoint
                    )
                    self.assertEqual(site.violations(), [])
                    self.assertEqual(self.outcomes(site), {"may-have-run"})

    async def reclaim_half_done_gang(self, site, keeps_checkpoint=False, **fields):
        """Reclaim a gang of two when one task has succeeded, and return the ended call.

        The other task has done 7 s of its 8 s of work when it is stopped after 10 s.
        """
        caller = Caller(site)
        async with trio.open_nursery() as nursery:
            self.start_calls(nursery, site, 1, seconds=8.0, gang=2, **fields)
            await trio.sleep(0.5)
            job = make_job_id("w", "k0", ZONES)
            slow, done = (self.task(site, event) for event in self.starts(site, job))
            slow.share = 0.7
            await trio.sleep(9.5)
            self.assertIs(TaskState.SUCCEEDED, done.state)
            done.checkpoint = done.checkpoint if keeps_checkpoint else None
            view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
            owner_of_job(site, view).stop_job(job, "reclaim", timedelta(seconds=5))
            await trio.sleep(2)
            self.restarted = [self.task(site, event) for event in self.starts(site, job)[2:]]
        return site.history.calls[0]

    def task(self, site, event):
        return site.worker(event.worker)._tasks.get(event.task)


class CallerTest(SiteCase):
    """Callers repeat a submission, lose their owner, or cancel many jobs at once."""

    async def test_one_key_through_all_nodes_at_once(self):
        async with self.site() as site:
            async with trio.open_nursery() as nursery:
                for first in range(3):
                    caller = Caller(site, first)
                    nursery.start_soon(
                        lambda c=caller: c.submit_and_wait("same", 2.0, repeatable=False)
                    )
            self.assertEqual(len({call.job for call in site.history.calls}), 1)
            self.assertEqual(len(self.starts(site, site.history.calls[0].job)), 1)

    async def test_owner_killed_after_the_work_and_before_delivery(self):
        for moment in (2.0, 2.011, 2.02, 2.05):
            with self.subTest(moment=moment):
                async with self.site() as site:
                    async with trio.open_nursery() as nursery:
                        self.start_calls(nursery, site, 4, seconds=2.0, repeatable=False)
                        await trio.sleep(moment)
                        site.kill(site.owner_of(self.home_zone(site)))
                    self.assertEqual(self.outcomes(site), {"succeeded"})
                    for call in site.history.calls:
                        self.assertEqual(len(self.starts(site, call.job)), 1)

    async def test_mass_cancellation_does_not_delay_starts(self):
        async with self.site() as site:
            caller = Caller(site)
            blocker = dict(gang=5, seconds=500.0, zones=("a",))
            for number in range(3):
                await caller.submit(caller.request(f"block{number}", **blocker))
            await trio.sleep(1)
            requests = [
                caller.request(f"q{n}", 5.0, gang=6, zones=("a",)) for n in range(CANCELLED_JOBS)
            ]
            await self.for_each(requests, caller.submit)
            writes = site.store.counts["compare_and_swap"]
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.for_each, requests, lambda r: caller.cancel(r.idempotency_key)
                )
                await trio.sleep(0.2)
                urgent = await Caller(site, 1).submit_and_wait("urgent", 0.5)
            self.assertLess((urgent.ended_at - urgent.sent_at).total_seconds(), 2.5)
            self.assertLess(trio.current_time() - started_at, 20)
            self.assertLess(site.store.counts["compare_and_swap"] - writes, 600)
            owner = owner_of_job(site, await caller.submit(requests[0]))
            self.assertEqual(owner.indexed_table.queued_count(), 0)

    async def for_each(self, items, action):
        limit = trio.CapacityLimiter(CANCELLED_JOBS)

        async def one(item):
            async with limit:
                await action(item)

        async with trio.open_nursery() as nursery:
            for item in items:
                nursery.start_soon(one, item)


MOVE_OVERHEAD_SECONDS = 0.5
"""Time for the commits and calls of a move, well below the interval at which a waiting caller's job
is queried."""


class InterruptedTest(SiteCase):
    async def test_a_start_deadline_does_not_end_an_interrupted_job(self):
        async with self.site() as site:
            start_by = site.clock.now() + timedelta(seconds=3)
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 1, seconds=10.0, gang=2, start_by=start_by)
                await trio.sleep(5)
                (call,) = site.history.calls
                view = await Caller(site).call_next_node(lambda gateway: gateway.job("w", call.job))
                owner = owner_of_job(site, view)
                owner.stop_job(call.job, "reclaim", timedelta(seconds=2))
            self.assertEqual(self.outcomes(site), {"succeeded"})
            self.assertEqual(len(self.starts(site, call.job)), 4)


class MoveTest(SiteCase):
    """A job moves to another zone while owners are killed or replies are lost."""

    async def test_owner_killed_in_the_middle_of_a_move(self):
        for node in ("source", "destination"):
            for moment in (0.0, 0.004, 0.006, 0.012, 0.02, 0.03, 0.3):
                with self.subTest(killed=node, seconds_after_the_move=moment):
                    await self.move_and_kill(node, moment)

    async def move_and_kill(self, killed, moment):
        async with self.site() as site:
            caller = Caller(site)
            for zone in ZONES:
                for number in range(2):
                    key = f"block-{zone}{number}"
                    await caller.submit(caller.request(key, 8.0, gang=8, zones=(zone,)))
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 1, seconds=1.0, repeatable=False, gang=2)
                await trio.sleep(0.5)
                job = make_job_id("w", "k0", ZONES)
                view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
                other = next(zone for zone in ZONES if zone != view.zone)
                owner_of_job(site, view).mover.move(job, other)
                await trio.sleep(moment)
                site.kill(site.owner_of(view.zone if killed == "source" else other))
                nursery.start_soon(self.check_live_records, nursery, site, job)
            self.assertEqual(self.outcomes(site), {"succeeded"})
            self.assertEqual(len(self.starts(site, job)), 2)

    async def test_the_answer_of_a_moved_job_does_not_wait_for_the_next_query(self):
        async with self.site() as site:
            caller = Caller(site)
            for number in range(2):
                request = caller.request(f"block-{number}", 30.0, gang=8, zones=("a",))
                await caller.submit(request)
            await trio.sleep(1)
            key = next(f"k{n}" for n in range(9) if make_job_id("w", f"k{n}", ZONES)[0] == "a")
            job = make_job_id("w", key, ZONES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(caller.submit_and_wait, key, 0.5)
                await trio.sleep(0.1)
                view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
                owner_of_job(site, view).mover.move(job, "b")
            (call,) = [call for call in site.history.calls if call.key == key]
            waited = (call.ended_at - call.sent_at).total_seconds()
            self.assertLess(waited, 0.1 + 0.5 + MOVE_OVERHEAD_SECONDS)

    async def test_repeated_move_is_adopted_once(self):
        async with self.site() as site:
            caller = Caller(site)
            await caller.submit(caller.request("block-a", 4.0, gang=16, zones=("a",)))
            await caller.submit(caller.request("block-b", 1.0, gang=16, zones=("b",)))
            await trio.sleep(0.7)
            async with trio.open_nursery() as nursery:
                key = next(f"k{n}" for n in range(9) if make_job_id("w", f"k{n}", ZONES)[0] == "a")
                nursery.start_soon(lambda: caller.submit_and_wait(key, 0.5, repeatable=False))
                await trio.sleep(0.1)
                job = make_job_id("w", key, ZONES)
                addresses = [site.vms_by_id[site.owner_of(zone)].address for zone in ZONES]
                site.network.lose_replies(*addresses)
                view = await Caller(site, 1).call_next_node(lambda gateway: gateway.job("w", job))
                if view.zone == "a":
                    owner_of_job(site, view).mover.move(job, "b")
                await trio.sleep(6)
                site.network.heal(*addresses)
            await trio.sleep(6)
            self.assertEqual(len(self.starts(site, job)), 1)

    async def check_live_records(self, nursery, site, job):
        """Check, until the job has ended, that at most one zone has a live record of it."""
        while any(call.ended_at is None for call in site.history.calls):
            live = []
            for zone in ZONES:
                owner = site.owner_of(zone)
                core = site.nodes_by_id[owner].core if owner else None
                record = (
                    core.ownership_manager.owner(zone).indexed_table.find(job) if core else None
                )
                if record is not None and record.state not in (JobState.MOVED, JobState.ENDED):
                    live.append(zone)
            self.assertLess(len(live), 2)
            await trio.sleep(0.01)
