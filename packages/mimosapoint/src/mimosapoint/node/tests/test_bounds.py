"""Tests of the limits of an owner's tables and of unexpected exceptions in an owner."""

import attrs
import trio

from mimosapoint.codec import encode
from mimosapoint.errors import Overloaded
from mimosapoint.jobs import JobTable, make_job_id
from mimosapoint.jobs.bucket import bucket_key
from mimosapoint.memory import TrioClock
from mimosapoint.model import JobRecord, JobRequest, JobState
from mimosapoint.node import ComponentSettings
from mimosapoint.node.tests._case import SiteCase
from mimosapoint.ownership import OwnershipSettings
from mimosapoint.placement import ZoneOwnerSettings
from mimosapoint.placement.indexed_job_table import IndexedJobTable
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing.caller import Caller

FEW_BUCKETS = ComponentSettings(ownership=OwnershipSettings(bucket_count=1))


class BoundTest(SiteCase):
    """A nearly full bucket refuses jobs, and state of ended jobs is dropped."""

    async def test_bucket_near_its_limit_refuses(self):
        settings = attrs.evolve(
            FEW_BUCKETS, owner=ZoneOwnerSettings(admission_bucket_bytes_limit=3000)
        )
        async with self.site(zones=("a",), settings=settings) as site:
            caller = Caller(site)
            accepted = 0
            with self.assertRaises(Overloaded) as caught:
                for number in range(20):
                    await caller.submit(caller.request(f"k{number}", 100.0))
                    accepted += 1
            self.assertIsNotNone(caught.exception.retry_after)
            self.assertGreater(accepted, 1)

    async def test_oversized_answer_fails_only_its_own_job(self):
        async with self.site(zones=("a",), settings=FEW_BUCKETS) as site:
            async with trio.open_nursery() as nursery:
                big = {"value": "x" * 700_000}
                caller = Caller(site)
                nursery.start_soon(lambda: caller.submit_and_wait("big", 1.0, payload=big, gang=2))
                nursery.start_soon(lambda: caller.submit_and_wait("small", 1.0))
            by_key = {call.key: call for call in site.history.calls}
            self.assertEqual(by_key["big"].code, "answer-too-large")
            self.assertEqual(by_key["small"].outcome, "succeeded")

    # Guards against a zone in which nothing starts because one bucket is over the store's limit.
    async def test_a_bucket_over_the_limit_stops_no_job_of_another_one(self):
        async with self.site(zones=("a",)) as site:
            table = site.nodes_by_id[site.owner_of("a")].core.ownership_manager.owner("a")._table
            caller = Caller(site)
            request = caller.request("big", payload={"value": "x" * 1_000_001})
            now = site.clock.now()
            table.put(JobRecord("a~big", request, JobState.ENDED, now, ended_at=now))
            await trio.sleep(1)
            full = table.bucket_of("a~big")
            keys = [f"k{n}" for n in range(9)]
            keys = [k for k in keys if table.bucket_of(make_job_id("w", k, ("a",))) is not full]
            async with trio.open_nursery() as nursery:
                for key in keys:
                    nursery.start_soon(caller.submit_and_wait, key, 1.0)
                await trio.sleep(20)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(keys) * ["succeeded"], [c.outcome for c in site.history.calls])

    # Guards against placements that make a bucket larger than the store can hold.
    async def test_a_job_waits_while_its_placement_does_not_fit_into_its_bucket(self):
        table = JobTable("a", 1)
        indexed_table = IndexedJobTable(
            table,
            clock=TrioClock(),
            telemetry=MemoryTelemetry(strict=True),
            on_change=lambda: None,
            on_ended=lambda view: None,
        )
        now = TrioClock().now()
        large = JobRequest("w", "s", "large", payload="x" * 890_000)
        indexed_table.put(JobRecord("a~large", large, JobState.ENDED, now))
        for key, gang in (("one", 1), ("many", 128)):
            request = JobRequest("w", "s", key, gang=gang)
            indexed_table.put(JobRecord(f"a~{key}", request, JobState.QUEUED, now))
        self.assertEqual(["a~one"], [record.id for record in indexed_table.placeable()])
        indexed_table.remove("a~large")
        self.assertEqual(2, len(indexed_table.placeable()))

    async def test_watches_and_attempts_are_dropped(self):
        async with self.site(zones=("a",)) as site:
            caller = Caller(site)
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 40, seconds=4.0)
                await trio.sleep(1)
                for number in range(40):
                    await caller.cancel(f"k{number}")
            await trio.sleep(20)
            owner = site.nodes_by_id[site.owner_of("a")].core.ownership_manager.owner("a")
            self.assertEqual(owner._notifier._expiry_by_address_by_job, {})
            self.assertEqual(owner._attempts._attempts_by_job, {})
            self.assertEqual(owner.worker_inventory._allocations_by_job, {})


class TraceTest(SiteCase):
    async def test_the_trace_of_a_request_survives_a_failover(self):
        async with self.site(zones=("a",)) as site:
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 1, seconds=8.0)
                await trio.sleep(2)
                (call,) = site.history.calls
                before = site.find_job_record(call.job).trace
                site.kill(site.owner_of("a"))
            self.assertTrue(before)
            self.assertEqual(site.find_job_record(call.job).trace, before)


class ProgramFaultTest(SiteCase):
    """An unexpected exception in an owner loses one zone, which is claimed again, not the node."""

    async def test_fault_in_an_owner(self):
        for component in ("mover", "_notifier", "_scheduler"):
            with self.subTest(component=component):
                async with self.site() as site:
                    await self.fail_component(site, component)
                    self.assertEqual(self.outcomes(site), {"succeeded"})

    async def fail_component(self, site, component):
        node = site.nodes_by_id[site.owner_of("b")]
        owner = node.core.ownership_manager.owner("b")
        async with trio.open_nursery() as nursery:
            self.start_calls(nursery, site, 8, seconds=4.0, repeatable=False)
            await trio.sleep(1)
            owner._nursery.start_soon(self.raise_fault, getattr(owner, component))
            await trio.sleep(0.1)
            await site.wait_until(lambda: site.owner_of("b") is not None, timeout=10)
        lost = [e.fields["code"] for e in node.telemetry.events if e.name == "zone-lost"]
        self.assertEqual(lost, ["ZeroDivisionError"])

    async def test_repeated_fault_does_not_flood_the_store(self):
        async with self.site() as site:
            node = site.nodes_by_id[site.owner_of("b")]
            began, writes = trio.current_time(), site.store.counts["compare_and_swap"]
            while trio.current_time() - began < 30:
                owner = node.core.ownership_manager.owner("b")
                if owner is not None and owner._nursery is not None:
                    owner._nursery.start_soon(self.raise_fault, owner)
                await trio.sleep(0.1)
            self.assertLess(site.store.counts["compare_and_swap"] - writes, 200)

    async def raise_fault(self, component):
        raise ZeroDivisionError(str(component))

    async def test_newer_format_in_one_zone_does_not_affect_the_others(self):
        async with self.site(zones=("a", "b")) as site:
            newer = encode({"format": 99, "header": {}, "jobs": []})
            key = bucket_key("b", 3)
            entry = await site.store.get(key)
            await site.store.compare_and_swap(key, newer, entry.revision)
            site.kill(site.owner_of("b"))
            async with trio.open_nursery() as nursery:
                await trio.sleep(10)
                caller = Caller(site)
                nursery.start_soon(lambda: caller.submit_and_wait("k6", 1.0))
            self.assertEqual((await site.store.get(key)).value, newer)
            self.assertEqual(self.outcomes(site), {"succeeded"})
