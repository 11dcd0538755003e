"""Tests of the in-memory transactional store."""

from datetime import timedelta

import trio

from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.testing import TrioTestCase


class WatchTest(TrioTestCase):
    mock_clock = True

    # Guards against a watcher that never learns of a change written while its answer is delayed.
    async def test_a_change_during_a_delayed_answer_is_in_the_next_one(self):
        store = MemoryTransactionStore(TrioClock())
        seen = []
        store.put("p/a", b"1")
        store.faults.delay = 0.6
        async with trio.open_nursery() as nursery:

            async def watch():
                changes = await store.watch("p/", 1, timedelta(seconds=5))
                store.faults.delay = 0
                later = await store.watch("p/", changes.revision, timedelta(seconds=1))
                seen.extend(entry.key for entry in (*changes.written, *later.written))

            nursery.start_soon(watch)
            await trio.sleep(1)
            store.put("p/b", b"2")
        self.assertEqual(["p/a", "p/b"], seen)

    # Guards against a change that the reply omits although its revision covers it.
    async def test_a_change_at_the_end_of_the_wait_is_not_passed_over(self):
        for number in range(40):
            store = MemoryTransactionStore(TrioClock())
            after = store.put("b/x", b"")
            batches = []

            async def watch(store=store, after=after, batches=batches):
                batches.append(await store.watch("a/", after, timedelta(seconds=0.8)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(0.8)
                revision = store.put("a/x", b"")
            batch = batches[0]
            self.assertEqual(batch.revision >= revision, bool(batch.written), f"try {number}")
