"""Tests of the time from the return of a silent store to service, at every node."""

import trio

from mimosapoint.cell.overlapping_calls import call_until_reply
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.errors import StoreTimeout, StoreUnavailable
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

SETTINGS = CellSettings()

NOTICE_SECONDS = SETTINGS.probe_interval.total_seconds() + 0.05
"""An interval of the calls, and a reply."""

CLAIM_SECONDS = 1.0
"""Time from the return within which a job of the outage starts: a claim, and first reports."""


class StoreReturnTest(TrioTestCase):
    mock_clock = True

    async def test_every_node_serves_soon_after_the_store_replies_again(self):
        """Pattern: the store is silent to all nodes for seconds, and callers wait at each of them.

        A call that was sent just before the return lasted for its whole timeout of 1 s.
        """
        for outage in (2.0, 2.3, 2.6, 2.9, 3.2):
            with self.subTest(outage=outage):
                async with open_site(nodes=5) as site:
                    for node in site.nodes:
                        node.store.fault = "silent"
                    await trio.sleep(outage)
                    self.assertFalse(any(node.cell.is_ready() for node in site.nodes))
                    for node in site.nodes:
                        node.store.fault = ""
                    await trio.sleep(NOTICE_SECONDS)
                    self.assertTrue(all(node.cell.is_ready() for node in site.nodes))
                    await site.submit("a", Step(1, SMALL), node=site.nodes[0])
                    await site.wait_running("a", within=CLAIM_SECONDS)
                    self.assertEqual([], site.violations())


class CallUntilReplyTest(TrioTestCase):
    mock_clock = True

    def setUp(self):
        self.calls, self.most = 0, 0
        self.outstanding = 0
        self.failures = []

    async def silent_until(self, time):
        """Reply to calls that are sent after a time; others fail after a second."""
        self.calls += 1
        self.outstanding += 1
        self.most = max(self.most, self.outstanding)
        sent_at = trio.current_time()
        try:
            await trio.sleep(1 if sent_at < time else 0.01)
        finally:
            self.outstanding -= 1
        if sent_at < time:
            raise StoreTimeout("silent")
        return sent_at

    async def test_the_rate_of_calls_is_bounded_in_a_long_outage(self):
        begun_at = trio.current_time()
        replied = await call_until_reply(
            lambda: self.silent_until(begun_at + 10), SETTINGS, self.failures.append
        )
        interval = SETTINGS.probe_interval.total_seconds()
        self.assertLess(replied, begun_at + 10 + 2 * interval)
        self.assertLessEqual(self.calls, 10 / interval + 2)
        self.assertLessEqual(self.most, SETTINGS.max_probes)
        self.assertGreater(len(self.failures), 10)
        self.assertEqual(0, self.outstanding)

    async def test_a_refusal_ends_the_call_at_once(self):
        """The caller repeats it after its own delay, which is shorter."""

        async def refuse():
            self.calls += 1
            raise StoreUnavailable("refused")

        begun_at = trio.current_time()
        with self.assertRaises(StoreUnavailable):
            await call_until_reply(refuse, SETTINGS, self.failures.append)
        self.assertEqual((1, begun_at), (self.calls, trio.current_time()))
