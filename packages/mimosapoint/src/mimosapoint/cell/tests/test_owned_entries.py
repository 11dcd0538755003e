"""Tests of the owner's entries with writes that take effect late."""

from datetime import timedelta

import trio

from mimosapoint.cell.election import Ownership
from mimosapoint.cell.keys import BACKLOG_KEY, EPOCH_KEY
from mimosapoint.cell.owned_entry import OwnedEntry
from mimosapoint.cell.tests._site import QUEUES, SMALL, open_site
from mimosapoint.codec import to_json
from mimosapoint.errors import StaleEpoch, StoreTimeout
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

LATE = timedelta(seconds=5)


class OwnedEntryTest(TrioTestCase):
    mock_clock = True

    def open_entry(self):
        store, clock = MemoryTransactionStore(TrioClock()), TrioClock()
        ownership = Ownership(1, store.put(EPOCH_KEY, b"1"), 0, clock.now())
        store.lost_commit_delay = LATE
        return store, OwnedEntry(store, "k", ownership)

    # Guards against an old value that stays, as a write without a reply replaced a newer one.
    async def test_a_late_write_does_not_replace_a_newer_one(self):
        store, entry = self.open_entry()
        await entry.write(b"first")
        store.faults.lose_replies = 1
        with self.assertRaises(StoreTimeout):
            await entry.write(b"late")
        await entry.write(b"newest")
        await trio.sleep(6)
        self.assertEqual(b"newest", store.peek("k"))

    async def test_a_write_finds_a_late_one_that_took_effect_before(self):
        store, entry = self.open_entry()
        store.faults.lose_replies = 1
        with self.assertRaises(StoreTimeout):
            await entry.write(b"late")
        await trio.sleep(6)
        self.assertEqual(b"late", store.peek("k"))
        await entry.write(b"newest")
        self.assertEqual(b"newest", store.peek("k"))

    async def test_an_earlier_owner_writes_nothing(self):
        store, entry = self.open_entry()
        await entry.write(b"first")
        store.put(EPOCH_KEY, b"2")
        with self.assertRaises(StaleEpoch):
            await entry.write(b"second")
        self.assertEqual(b"first", store.peek("k"))


class BacklogTest(TrioTestCase):
    mock_clock = True

    # Guards against a number of waiting jobs that stays too low after a late write.
    async def test_the_backlog_is_right_after_a_late_write(self):
        async with open_site(nodes=2, workers=0) as site:
            site.store.lost_commit_delay = LATE
            commit = site.owner.store._store.commit

            async def lose_backlog(conditions, writes=(), removals=()):
                if [write.key for write in writes] == [BACKLOG_KEY] and not lost:
                    lost.append(writes)
                    site.store.faults.lose_replies = 1
                return await commit(conditions, writes, removals)

            lost = []
            site.store.commit = lose_backlog
            await site.submit("job-0", Step(1, SMALL))
            with trio.fail_after(5):
                while not lost:
                    await trio.sleep(0.01)
            for number in range(1, 6):
                await site.submit(f"job-{number}", Step(1, SMALL))
            await trio.sleep(8)
            self.assertEqual(to_json({QUEUES[1].name: 6}), site.store.peek(BACKLOG_KEY))
