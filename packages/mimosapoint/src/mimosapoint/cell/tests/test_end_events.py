"""Tests of the log events that follow an end from its worker to the callers."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, Step


class EndEventTest(TrioTestCase):
    mock_clock = True

    # Guards against a task that starts again while no log tells what was stored, and where.
    async def test_the_log_follows_an_end_to_the_callers(self):
        async with open_site(workers=1) as site:
            site.simulation.run_time = timedelta(seconds=1)
            await site.submit("a", Step(1, SMALL))
            await site.wait_phase("a", Phase.COMPLETE)
            node = site.other
            await node.cell.gateway.phase("t", "a")

            def fields_of(telemetry, name):
                return [event.fields for event in telemetry.events if event.name == name][-1]

            owner = site.owner.telemetry
            reported, stored = fields_of(owner, "ends-reported"), fields_of(owner, "ends-stored")
            self.assertEqual((1, 1), (reported["born"], reported["number"]))
            self.assertEqual((1, 1), (stored["born"], stored["number"]))
            read = fields_of(node.telemetry, "phase-read")
            self.assertEqual(fields_of(owner, "job-end-stored")["revision"], read["revision"])
            site.owner.kill()
            await trio.sleep(5)
            self.assertEqual(
                read["revision"],
                fields_of(site.owner.telemetry, "job-known")["progress_revision"],
            )
