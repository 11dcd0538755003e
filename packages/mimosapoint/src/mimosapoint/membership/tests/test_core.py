"""Tests of the membership over an in-memory network."""

import trio

from mimosapoint.membership.tests._cluster import Cluster
from mimosapoint.testing import TrioTestCase


class MembershipTest(TrioTestCase):
    mock_clock = True

    async def test_killed_nodes_are_detected(self):
        for size in (8, 48):
            with self.subTest(size=size):
                async with trio.open_nursery() as nursery:
                    cluster = Cluster(nursery, size)
                    await cluster.start_all()
                    ids = set(cluster.members_by_id)
                    started = await cluster.until_agreed(ids)
                    cluster.kill("node-03")
                    ids.remove("node-03")
                    detected = await cluster.until_agreed(ids)
                    self.assertLess(started, 5)
                    self.assertLess(detected, 5)
                    nursery.cancel_scope.cancel()
