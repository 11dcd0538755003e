"""Tests of owners that are killed or frozen with jobs in every state."""

import trio

from mimosapoint.node.tests._case import SiteCase
from mimosapoint.testing.caller import Caller

FAILOVER_LIMIT_SECONDS = 10


class FailoverTest(SiteCase):
    """Another owner takes over the zone and its jobs."""

    async def test_owner_killed(self):
        for moment in (0.002, 0.02, 0.05, 0.5, 2.0):
            with self.subTest(seconds_after_submission=moment):
                await self.kill_with_work_in_every_state(moment)

    async def kill_with_work_in_every_state(self, moment):
        async with self.site(workers=2) as site:
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 30, seconds=6.0, gang=2, repeatable=False)
                await trio.sleep(moment)
                killed_at = site.clock.now()
                site.kill(site.owner_of("a"))
            later_starts = [
                e for e in site.task_events() if e.event.value == "started" and e.time > killed_at
            ]
            failover_time = (
                min(e.time for e in later_starts if e.worker.startswith("a-")) - killed_at
            )
            self.assertLess(failover_time.total_seconds(), FAILOVER_LIMIT_SECONDS)
            self.assertEqual(self.outcomes(site), {"succeeded"})

    async def test_owner_frozen_at_a_command(self):
        for command in ("compare_and_swap", "reserve", "start", "stop", "collect", "acknowledge"):
            for seconds in (2.5, 15.0):
                with self.subTest(command=command, seconds=seconds):
                    await self.freeze(command, seconds)

    async def freeze(self, command, seconds):
        async with self.site() as site:
            owner = site.owner_of("a")
            site.freeze_at(owner, command)
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 8, seconds=3.0, repeatable=False)
                if command == "stop":
                    await trio.sleep(1)
                    nursery.start_soon(Caller(site).cancel, "k0")
                await trio.sleep(seconds)
                site.thaw(owner)
            self.assertLessEqual(self.outcomes(site), {"succeeded", "cancelled"})

    # Guards against work that runs twice: an owner that is cut off goes on renewing the lease of a
    # worker that the next one can't reach, and that the list of VMs may no longer have.
    async def test_work_on_a_worker_that_only_an_earlier_owner_reaches_runs_once(self):
        for moment in (0.002, 0.05, 2.0):
            for is_listed in (True, False):
                with self.subTest(moment=moment, is_listed=is_listed):
                    async with self.site(zones=("a",)) as site:
                        await self.cut_off_with_owner(site, moment, is_listed)

    async def cut_off_with_owner(self, site, moment, is_listed):
        async with trio.open_nursery() as nursery:
            self.start_calls(nursery, site, 1, seconds=60.0, repeatable=False, interruptible=False)
            await site.wait_until(lambda: site.task_events())
            await trio.sleep(moment)
            (start,), owner = site.task_events(), site.owner_of("a")
            site.partition_worker(start.worker, reachable_from=owner)
            site.partition_node(owner)
            site.partition_store(owner)
            if not is_listed:
                site.vm_list.remove(start.worker)
            await trio.sleep(50)
            self.assertNotEqual(owner, site.owner_of("a"))
            self.assertEqual([start], self.starts(site, site.history.calls[0].job))
            site.heal(owner)
            site.heal_store(owner)
        self.assertLessEqual(self.outcomes(site), {"succeeded", "may-have-run"})
