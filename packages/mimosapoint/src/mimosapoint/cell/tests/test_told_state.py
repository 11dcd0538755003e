"""Tests that what callers and operators are told is stored, and that later owners read it."""

from datetime import timedelta

import trio

from mimosapoint.cell import CellReport
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

RUN_TIME = timedelta(seconds=2)


class ReportedPhaseTest(TrioTestCase):
    mock_clock = True

    # Guards against an operator who is shown an end that the next owner may not find.
    async def test_the_report_shows_the_stored_phase(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = RUN_TIME
            await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            report = CellReport(site.owner.cell)
            site.store.faults.refuse = True
            await trio.sleep(3)
            self.assertIs(RunEnd.DONE, site.runs("a")[0].end)
            self.assertEqual("running", report.job("a").phase)
            self.assertEqual(1, report.status().jobs)
            self.assertEqual(1, sum(queue.jobs for queue in report.queues()))
            site.store.faults.refuse = False
            await site.wait_phase("a", Phase.COMPLETE)
