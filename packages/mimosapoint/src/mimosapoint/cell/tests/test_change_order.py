"""Tests of nodes that read a removal and a new entry of one key in one answer of the store."""

from random import Random

import trio

from mimosapoint.cell.election import CellOwnerRecord, OwnerElection
from mimosapoint.cell.keys import OWNER_KEY
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.codec import encode
from mimosapoint.memory import MemoryTransactionStore, TrioClock
from mimosapoint.ports import Write
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step

WITHDRAWN_KEY = "op/out/z0"


class MissedChangesTest(TrioTestCase):
    mock_clock = True

    async def change_while_turned_away(self, site, node, *changes):
        """Make changes to the entry of a zone while the store turns a node away.

        :param changes: for each, whether the zone is withdrawn by it.
        """
        node.store.fault = "refused"
        await trio.sleep(2)
        for is_withdrawn in changes:
            if is_withdrawn:
                site.store.put(WITHDRAWN_KEY, b"")
            else:
                site.store.apply({}, (), [WITHDRAWN_KEY])
            await trio.sleep(0.5)
        node.store.fault = ""
        await trio.sleep(3)

    # Guards against a node that loses a withdrawal for good and, as owner, starts tasks in the
    # zone.
    async def test_a_zone_that_was_returned_and_withdrawn_again_meanwhile_is_withdrawn(self):
        async with open_site(workers=6) as site:
            site.store.put(WITHDRAWN_KEY, b"")
            await trio.sleep(1)
            node = site.other
            await self.change_while_turned_away(site, node, False, True)
            self.assertEqual({"z0"}, node.cell.view.withdrawn_zones)
            for other in site.nodes:
                if other is not node:
                    other.kill()
            with trio.fail_after(10):
                while not node.is_owner:
                    await trio.sleep(0.05)
            await site.submit("a", Step(4, SMALL), node=node)
            await site.wait_phase("a", Phase.COMPLETE)
            workers = {record.worker for record in site.runs("a")}
            self.assertLessEqual(workers, {"w3", "w4", "w5"})

    async def test_a_zone_that_was_withdrawn_and_returned_meanwhile_is_in_service(self):
        async with open_site() as site:
            node = site.other
            await self.change_while_turned_away(site, node, True, False)
            self.assertEqual(set(), node.cell.view.withdrawn_zones)

    # Guards against a candidate that waits for the end of an ownership that it knows to be over.
    async def test_a_claim_and_its_end_in_one_answer_leave_the_cell_without_owner(self):
        store = MemoryTransactionStore(TrioClock())
        record = encode(CellOwnerRecord("n9"))
        store.put(OWNER_KEY, record)
        scan = store.scan

        async def scan_before_changes(prefix):
            result = await scan(prefix)
            lease = await store.grant_lease(CellSettings().ownership_ttl)
            store.apply({}, [Write(OWNER_KEY, record, lease)])
            await store.revoke_lease(lease)
            return result

        store.scan = scan_before_changes
        election = OwnerElection(
            "n0", store, TrioClock(), CellSettings(), MemoryTelemetry(), Random(1)
        )
        with trio.fail_after(1):
            await election.acquire()
