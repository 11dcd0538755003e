"""Tests of claims whose transfers fail or take long."""

from collections import Counter

import trio

from mimosapoint.errors import StoreUnavailable
from mimosapoint.jobs.bucket import bucket_key
from mimosapoint.node.tests._case import SiteCase
from mimosapoint.ownership.claim import read_owner

ZONE = "a"
SLOW_WRITE_SECONDS = 6.0
"""Time of the write of a bucket, longer than a claim may be without progress by default."""


class SlowClaimTest(SiteCase):
    def intercept_writes(self, site, before_write):
        """Call a function with the key before each write of the zone's buckets."""
        write = site.store.compare_and_swap

        async def intercepted(key, *arguments):
            if key.startswith(f"zones/{ZONE}/buckets/"):
                await before_write(key)
            return await write(key, *arguments)

        site.store.compare_and_swap = intercepted

    # Guards against a claim that transfers all buckets anew after each failed write.
    async def test_a_claim_goes_on_with_the_buckets_that_are_not_fenced(self):
        async with self.site(zones=(ZONE,)) as site:
            writes, failing_key = Counter(), bucket_key(ZONE, 13)

            async def count_or_refuse(key):
                await trio.sleep(0.01 if key != failing_key else 0.2)
                writes[key] += 1
                if key == failing_key and writes[key] <= 3:
                    raise StoreUnavailable("refused")

            self.intercept_writes(site, count_or_refuse)
            site.kill(site.owner_of(ZONE))
            await trio.sleep(3)
            await site.wait_until(lambda: site.owner_of(ZONE) is not None)
            self.assertEqual(4, writes.pop(failing_key))
            self.assertEqual({1}, set(writes.values()))

    # Guards against a claim over a slow link that another live node ends and begins anew.
    async def test_a_claim_that_makes_progress_is_not_superseded(self):
        async with self.site(zones=(ZONE,), nodes=2) as site:

            async def wait(key):
                await trio.sleep(SLOW_WRITE_SECONDS)

            preferred = site.owner_of(ZONE)
            self.intercept_writes(site, wait)
            site.kill(preferred)
            (claimant,) = site.nodes_by_id.keys() - {preferred}
            await self.wait_for_owner_record(site, claimant)
            await site.start(preferred)
            await site.wait_until(lambda: site.owner_of(ZONE) is not None, timeout=60)
            record, _ = await read_owner(site.store, ZONE)
            self.assertEqual((claimant, 2), (record.node, record.epoch))

    # Guards against running work that is stopped as its workers' leases end during a long claim.
    async def test_running_work_outlasts_a_long_claim(self):
        async with self.site(zones=(ZONE,)) as site:
            async with trio.open_nursery() as nursery:
                self.start_calls(nursery, site, 1, seconds=50.0)
                await trio.sleep(2)

                async def wait(key):
                    await trio.sleep(SLOW_WRITE_SECONDS)

                write = site.store.compare_and_swap
                self.intercept_writes(site, wait)
                site.kill(site.owner_of(ZONE))
                await trio.sleep(4)
                await site.wait_until(lambda: site.owner_of(ZONE) is not None)
                site.store.compare_and_swap = write
            self.assertEqual({"succeeded"}, self.outcomes(site))
            self.assertEqual(1, len(self.starts(site, site.history.calls[0].job)))

    # Guards against a zone that stays without an owner as its claim makes no progress.
    async def test_a_claim_without_progress_is_superseded(self):
        async with self.site(zones=(ZONE,), nodes=2) as site:
            stuck = []

            async def wait(key):
                if len(stuck) < 8:
                    stuck.append(key)
                    await trio.sleep_forever()

            preferred = site.owner_of(ZONE)
            self.intercept_writes(site, wait)
            site.kill(preferred)
            (claimant,) = site.nodes_by_id.keys() - {preferred}
            await self.wait_for_owner_record(site, claimant)
            stuck.extend([""] * 8)
            await site.start(preferred)
            await site.wait_until(lambda: site.owner_of(ZONE) == preferred, timeout=60)

    async def wait_for_owner_record(self, site, node):
        with trio.fail_after(20):
            while (await read_owner(site.store, ZONE))[0].node != node:
                await trio.sleep(0.1)
            await trio.sleep(1)
