"""Tests of the bounds on the times of the store's revisions."""

from datetime import timedelta

import trio

from mimosapoint.cell.revision_times import RevisionTimes
from mimosapoint.memory import TrioClock
from mimosapoint.testing import TrioTestCase


class RevisionTimesTest(TrioTestCase):
    mock_clock = True

    async def record(self, times, revision, seconds):
        requested_at = times._clock.now()
        await trio.sleep(seconds)
        times.record(requested_at, revision)

    # Guards against a bound that is too short: a reply may be behind the call by its whole length.
    async def test_a_bound_begins_with_a_request_and_ends_with_a_reply(self):
        times = RevisionTimes(TrioClock())
        await self.record(times, 5, 0.8)
        await trio.sleep(1)
        await self.record(times, 9, 0.3)
        self.assertEqual(timedelta(seconds=2.1), times.longest_between(6, 9))
        self.assertIsNone(times.longest_between(5, 9))
        self.assertIsNone(times.longest_between(6, 10))

    # Guards against a bound over an outage, in which entries may be removed by other rules.
    async def test_no_bound_spans_a_failed_call_or_a_forgotten_reply(self):
        for forget in (RevisionTimes.record_failure, lambda times: None):
            times = RevisionTimes(TrioClock())
            await self.record(times, 5, 0.1)
            forget(times)
            await trio.sleep(20)
            await self.record(times, 9, 0.1)
            self.assertIsNone(times.longest_between(6, 9))
            self.assertEqual(9, times.oldest_revision)

    # Guards against a bound over an outage, by a reply to a call that was sent before it.
    async def test_no_bound_begins_with_a_call_from_before_a_failure(self):
        times = RevisionTimes(TrioClock())
        requested_at = times._clock.now()
        await trio.sleep(0.5)
        times.record_failure()
        await trio.sleep(0.1)
        times.record(requested_at, 5)
        await trio.sleep(1)
        await self.record(times, 9, 0.1)
        self.assertIsNone(times.longest_between(6, 9))

    # Guards against a bound from replies that contradict each other, as of a replica that lags.
    async def test_no_bound_spans_a_reply_that_is_behind_an_earlier_one(self):
        times = RevisionTimes(TrioClock())
        await self.record(times, 9, 0.1)
        await trio.sleep(1)
        await self.record(times, 5, 0.1)
        self.assertIsNone(times.longest_between(6, 9))
