"""Tests of new jobs while the store is unavailable to every node."""

from datetime import timedelta

import trio

from mimosapoint.model import JobClass
from mimosapoint.node.tests._case import SiteCase

OUTAGE_SECONDS = 30.0
URGENT_START_LIMIT = timedelta(seconds=10)


class OutageTest(SiteCase):
    """Urgent repeatable jobs start without the store; other jobs wait for it."""

    async def starts_in_outage(self, **fields):
        """Return how many of four jobs started during the outage, and all kinds of outcomes."""
        async with self.site() as site:
            await trio.sleep(3)
            site.store.faults.refuse = True
            await trio.sleep(5)
            submitted_at = site.clock.now()
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 4, seconds=1.0, gang=2, **fields)
                await trio.sleep(OUTAGE_SECONDS)
                site.store.faults.refuse = False
                outage_ended_at = site.clock.now()
            starts = [event for event in site.task_events() if event.event.value == "started"]
            early = [event for event in starts if event.time < outage_ended_at]
            for event in early:
                self.assertLess(event.time - submitted_at, URGENT_START_LIMIT)
            return len({event.task.rsplit("/", 2)[0] for event in early}), self.outcomes(site)

    async def test_urgent_repeatable_work_starts(self):
        early, outcomes = await self.starts_in_outage(job_class=JobClass.URGENT)
        self.assertEqual((4, {"succeeded"}), (early, outcomes))

    async def test_other_work_waits(self):
        cases = (
            {"job_class": JobClass.URGENT, "repeatable": False},
            {"job_class": JobClass.NORMAL},
            {"job_class": JobClass.DEFERRABLE},
        )
        for fields in cases:
            with self.subTest(**fields):
                early, outcomes = await self.starts_in_outage(**fields)
                self.assertEqual((0, {"succeeded"}), (early, outcomes))
