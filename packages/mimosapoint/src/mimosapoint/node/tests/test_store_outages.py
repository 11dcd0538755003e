"""Tests of store outages and of withdrawn zones while jobs run."""

from datetime import timedelta

import trio

from mimosapoint.errors import OutcomeUnknown
from mimosapoint.jobs import make_job_id
from mimosapoint.model import VmKind
from mimosapoint.node.tests._case import SiteCase
from mimosapoint.testing.caller import Caller

OUTAGE_SECONDS = 60
ZONES = ("a", "b")


class StoreOutageTest(SiteCase):
    """The store is unavailable for some time."""

    async def test_running_work_goes_on_and_accepted_jobs_follow(self):
        for fault in ("refuse", "frozen"):
            with self.subTest(fault=fault):
                await self.outage(fault)

    async def outage(self, fault):
        async with self.site() as site:
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 6, seconds=90.0, prefix="long", repeatable=False)
                await trio.sleep(2)
                out_at = site.clock.now()
                setattr(site.store.faults, fault, True)
                self.start_calls(nursery, site, 6, seconds=1.0, prefix="new")
                await trio.sleep(OUTAGE_SECONDS)
                back_at = site.clock.now()
                before = site.store.counts["compare_and_swap"]
                setattr(site.store.faults, fault, False)
                await trio.sleep(1)
                writes = site.store.counts["compare_and_swap"] - before
            self.assertEqual(self.outcomes(site), {"succeeded"})
            started = [e.time for e in site.task_events() if e.event.value == "started"]
            self.assertEqual([t for t in started if out_at < t < back_at], [])
            ended = [c.ended_at for c in site.history.calls if c.key.startswith("long")]
            self.assertLess((max(ended) - out_at).total_seconds(), 95)
            self.assertLess(writes, 150)

    async def test_owner_killed_in_the_outage(self):
        async with self.site() as site:
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 6, seconds=5.0, prefix="new")
                site.store.faults.refuse = True
                await trio.sleep(5)
                site.kill(site.owner_of(self.home_zone(site)))
                await trio.sleep(20)
                site.store.faults.refuse = False
            self.assertEqual(self.outcomes(site), {"succeeded"})

    async def test_non_durable_job_is_reported_as_such_and_kept(self):
        async with self.site() as site:
            caller = Caller(site, 2)
            site.store.faults.refuse = True
            view = await caller.submit(caller.request("k", 1.0))
            self.assertFalse(view.durable)
            site.kill(site.owner_of(view.zone))
            site.store.faults.refuse = False
            await site.wait_until(lambda: site.find_job_record(view.id) is not None)
            self.assertTrue((await caller.submit(caller.request("k", 1.0))).durable)

    async def test_cancel_that_is_not_durable_is_not_confirmed(self):
        async with self.site() as site:
            caller = Caller(site)
            view = await caller.submit(caller.request("k", 100.0))
            site.store.faults.refuse = True
            gateway = site.nodes_by_id[site.owner_of(view.zone)].core.gateway
            with trio.fail_after(4), self.assertRaises(OutcomeUnknown):
                await gateway.cancel("w", view.id)
            site.store.faults.refuse = False
            await caller.cancel("k")
            self.assertEqual(site.find_job_record(view.id).state.value, "ended")

    async def test_non_durable_refusal_is_not_reported(self):
        """A refusal is reported only once it is durable, since the next owner may start the job."""
        async with self.site() as site:
            caller = Caller(site)
            blockers = [f"block{n}" for n in range(16)]
            for key in blockers:
                await caller.submit(caller.request(key, 100.0, zones=("a",)))
            await trio.sleep(2)
            start_by = site.clock.now() + timedelta(seconds=2)
            await caller.submit(caller.request("late", 1.0, zones=("a",), start_by=start_by))
            await trio.sleep(1)
            site.store.faults.refuse = True
            await trio.sleep(4)
            job = make_job_id("w", "late", ZONES)
            view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
            self.assertIsNone(view.outcome)
            site.store.faults.refuse = False
            await trio.sleep(4)
            view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
            self.assertEqual(type(view.outcome).__name__, "NotRun")

    # Guards against an answer that is replaced by another outcome, as it was shown before it was
    # stored, and the owner and the worker that kept its output are lost.
    async def test_a_shown_outcome_outlives_the_owner_and_the_workers(self):
        async with self.site() as site:
            caller = Caller(site)
            job = (await caller.submit(caller.request("k", 3.0, repeatable=False))).id
            await site.wait_until(lambda: self.starts(site, job))
            site.store.faults.refuse = True
            await trio.sleep(5)
            shown = await caller.call_next_node(lambda gateway: gateway.job("w", job))
            site.kill(site.owner_of(shown.zone))
            for vm in site.vms_by_id.values():
                if vm.kind is VmKind.ENDPOINT:
                    site.restart_worker(vm.id)
            site.store.faults.refuse = False
            await trio.sleep(20)
            view = await caller.call_next_node(lambda gateway: gateway.job("w", job))
            self.assertIsNotNone(view.outcome)
            self.assertIn(shown.outcome, (None, view.outcome))

    async def test_placed_job_does_not_start_after_its_start_deadline(self):
        async with self.site() as site:
            site.store.faults.refuse = True
            async with trio.open_nursery() as nursery:
                start_by = site.clock.now() + timedelta(seconds=3)
                self.start_calls(nursery, site, 4, seconds=1.0, start_by=start_by)
                await trio.sleep(6)
                site.store.faults.refuse = False
            self.assertEqual(self.outcomes(site), {"not-run"})
            self.assertEqual(site.task_events(), [])


class WithdrawalTest(SiteCase):
    """Nothing starts in a zone 3 s after its withdrawal, whichever fault its owner has."""

    async def test_owner_misses_the_withdrawal(self):
        faults = ("none", "cut", "cut-store", "freeze", "freeze-reserve", "freeze-start")
        for fault in faults:
            for seconds_until_end in (2.0, 8.0):
                with self.subTest(fault=fault, seconds_until_end=seconds_until_end):
                    await self.withdraw(fault, seconds_until_end)

    async def withdraw(self, fault, seconds_until_end):
        async with self.site(workers=3) as site:
            owner = site.owner_of("a")
            other = next(id for id in sorted(site.nodes_by_id) if id != owner)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.keep_submitting, nursery, site)
                await trio.sleep(1)
                self.begin_fault(site, fault, owner)
                await trio.sleep(0.2)
                patch = await site.set_zone_mode(other, "a", "out", "out")
                self.assertTrue(patch.version)
                await trio.sleep(seconds_until_end)
                self.end_fault(site, fault, owner)
            self.assertEqual(self.outcomes(site), {"succeeded"})

    async def test_owner_frozen_before_it_reserves_again(self):
        """After a slow commit the owner reserves again, and only then checks the start gate."""
        for seconds_until_end in (4.0, 8.0):
            with self.subTest(seconds_until_end=seconds_until_end):
                async with self.site(zones=("a",), nodes=2) as site:
                    await self.reserve_again(site, seconds_until_end)

    async def reserve_again(self, site, seconds_until_end):
        owner = site.owner_of("a")
        other = next(id for id in sorted(site.nodes_by_id) if id != owner)
        async with trio.open_nursery() as nursery:
            site.store.faults.delay = 0.6
            site.freeze_at(owner, "reserve", 2)
            self.start_calls(nursery, site, 1, seconds=1.0, timeout_seconds=40.0)
            await site.wait_until(lambda: not site.nodes_by_id[owner].freeze_control.thawed)
            site.store.faults.delay = 0.0
            patch = await site.set_zone_mode(other, "a", "out", "out")
            self.assertTrue(patch.version)
            site.partition_store(other)
            await trio.sleep(seconds_until_end)
            site.thaw(owner)
            await trio.sleep(4)
            site.heal_store(other)
            await trio.sleep(6)
            await site.set_zone_mode(other, "a", "in-service", "in")

    async def keep_submitting(self, nursery, site):
        for number in range(60):
            caller = Caller(site, number)
            nursery.start_soon(lambda c=caller, n=number: c.submit_and_wait(f"s{n}", 0.5))
            await trio.sleep(0.1)

    def begin_fault(self, site, fault, owner):
        if fault.startswith("cut"):
            site.partition_node(owner)
        if fault == "cut-store":
            site.partition_store(owner)
        if fault == "freeze":
            site.freeze(owner)
        if fault.startswith("freeze-"):
            site.freeze_at(owner, fault.removeprefix("freeze-"))

    def end_fault(self, site, fault, owner):
        if fault.startswith("cut"):
            site.heal(owner)
        if fault == "cut-store":
            site.heal_store(owner)
        site.thaw(owner)


class OwnerAndStoreTest(SiteCase):
    """The owner is killed during a store outage."""

    async def test_running_work_outlives_both(self):
        for fault in ("refuse", "frozen"):
            with self.subTest(fault=fault):
                async with self.site() as site:
                    await self.lose_both(site, fault)

    async def lose_both(self, site, fault):
        async with trio.open_nursery() as nursery:
            self.start_calls(nursery, site, 6, seconds=90.0, repeatable=False, interruptible=False)
            await trio.sleep(2)
            setattr(site.store.faults, fault, True)
            await trio.sleep(1)
            site.kill(site.owner_of(self.home_zone(site)))
            await trio.sleep(OUTAGE_SECONDS)
            setattr(site.store.faults, fault, False)
        self.assertEqual(self.outcomes(site), {"succeeded"})
        for call in site.history.calls:
            self.assertEqual(len(self.starts(site, call.job)), 1)
