"""Tests of nodes that claim the cell before they can decide anything."""

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

TRANSFER_SECONDS = 8.0
"""Time of the operators' entries on a slow link; the links of other nodes take no time."""

STANDSTILL_SECONDS = 3.0
"""Time after which a job without a run beside free capacity is taken for lost."""


def delay_calls(node, name, seconds, prefix=""):
    """Delay the calls of a node whose first argument begins with a prefix."""
    call = getattr(node.store, name)

    async def call_late(*args):
        if not prefix or args[0].startswith(prefix):
            await trio.sleep(seconds)
        return await call(*args)

    setattr(node.store, name, call_late)


class SlowCandidateTest(TrioTestCase):
    mock_clock = True

    # A node that had just started on a slow link claimed the cell a moment before others. Until it
    # had read the configuration nothing started, though all others had it (soak, seed 4003).
    async def test_a_node_without_a_configuration_does_not_hold_jobs_up(self):
        async with open_site(nodes=2) as site:
            first, ready = site.owner, site.other
            slow = site.add_node()
            delay_calls(slow, "scan", TRANSFER_SECONDS, "op/")
            delay_calls(ready, "grant_lease", 0.1)
            await trio.sleep(1)
            first.kill()
            await site.submit("a", Step(1, SMALL), node=ready)
            killed_at = trio.current_time()
            await site.wait_running("a")
            lease_seconds = site.settings.ownership_ttl.total_seconds()
            self.assertLess(trio.current_time() - killed_at, lease_seconds + STANDSTILL_SECONDS)
            self.assertEqual([], site.violations())
