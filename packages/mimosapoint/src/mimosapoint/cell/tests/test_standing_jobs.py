"""Tests of jobs of which nothing runs beside free capacity: operators see why, and they start."""

from datetime import timedelta

import trio

from mimosapoint.cell.tests._site import SMALL, WIDE, open_site
from mimosapoint.cell.tests.test_quotas import open_quota_site
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

LONG_RUN = timedelta(seconds=11)

STANDSTILL_SECONDS = 3.0
"""Time after which callers take a job for lost of which nothing runs beside free capacity."""


class StandingJobTest(TrioTestCase):
    mock_clock = True

    def standing(self, site, job):
        """Return the reasons and details that the owner has logged for a job."""
        events = [each for each in site.owner.telemetry.events if each.name == "job-stands-still"]
        return [(e.fields["reason"], e.fields["detail"]) for e in events if e.fields["job"] == job]

    # Guards against a job that waits, and no log tells for which other job.
    async def test_the_log_names_the_gang_that_quota_is_reserved_for(self):
        async with open_quota_site(workers=12, run_seconds=11, a=24) as (site, quotas):
            await quotas.submit_running("a", Step(8, SMALL))
            gang = await quotas.submit("a", Step(3, WIDE, gang=True))
            small = await quotas.submit("a", Step(1, SMALL))
            await trio.sleep(3.5)
            reasons = {reason for reason, _ in self.standing(site, gang)}
            self.assertEqual({"quota"}, reasons)
            for reason, detail in self.standing(site, small):
                self.assertEqual("reserved", reason)
                self.assertIn(gang, detail)

    # Guards against a log that fills with jobs that wait since everything is in use.
    async def test_jobs_that_wait_for_a_busy_service_are_not_logged(self):
        async with open_site(workers=2) as site:
            site.simulation.run_time = LONG_RUN
            await site.submit("first", Step(2, WIDE))
            await site.wait_running("first", 2)
            await site.submit("second", Step(1, WIDE))
            await trio.sleep(5)
            self.assertEqual([], self.standing(site, "second"))


class StandstillTest(TrioTestCase):
    """A job is started in time where its service and workspace use less than half."""

    mock_clock = True

    # Guards against a small job that waits for the end of other work of its workspace, as the
    # whole quota is reserved for a gang.
    async def test_a_gang_that_waits_for_quota_does_not_stop_the_jobs_of_its_workspace(self):
        async with open_quota_site(workers=12, run_seconds=11, a=24) as (site, quotas):
            await quotas.submit_running("a", Step(8, SMALL))
            gang = await quotas.submit("a", Step(3, WIDE, gang=True))
            small = await quotas.submit("a", Step(1, SMALL))
            await site.wait_running(small, within=STANDSTILL_SECONDS)
            self.assertEqual([], site.running(gang))
            await site.wait_running(gang, 3, within=30)

    # Guards against a small job that waits for the end of a long one, as each worker is reserved.
    async def test_a_gang_that_waits_for_workers_does_not_stop_other_jobs(self):
        async with open_site(workers=12) as site:
            site.simulation.run_time = LONG_RUN
            await site.submit("first", Step(1, WIDE))
            await site.wait_running("first")
            await site.submit("gang", Step(12, WIDE, gang=True))
            await site.submit("small", Step(1, SMALL))
            await site.wait_running("small", within=STANDSTILL_SECONDS)
            await site.wait_running("gang", 12, within=40)

    # Guards against a service that counts as half full, since most workers are put aside.
    async def test_workers_that_are_put_aside_are_part_of_the_service(self):
        async with open_site(workers=12) as site:
            site.simulation.run_time = LONG_RUN
            sessions = list(site.owner.cell.owner.fleet.sessions_by_id.values())
            for session in sessions[4:]:
                session.worker.health.quarantined_until = site.clock.now() + timedelta(minutes=1)
            for job in ("first", "second"):
                await site.submit(job, Step(1, WIDE))
                await site.wait_running(job)
            await site.submit("gang", Step(4, WIDE, gang=True))
            await site.submit("small", Step(1, SMALL))
            await site.wait_running("small", within=STANDSTILL_SECONDS)

    # Guards against a gang that waits for a rack while the other racks have room for it twice over.
    async def test_a_gang_does_not_wait_for_a_rack_without_a_bound(self):
        async with open_site(workers=12) as site:
            site.simulation.run_time = LONG_RUN
            for rack in ("r0", "r1", "r2", "r3"):
                await site.submit(f"in-{rack}", Step(1, WIDE, label=rack))
                await site.wait_running(f"in-{rack}")
            await site.submit("gang", Step(3, WIDE, gang=True, rack_local=True))
            await site.wait_running("gang", 3, within=STANDSTILL_SECONDS)

    # Guards against jobs that wait while each worker is kept for one suspect of a crash.
    async def test_isolated_suspects_do_not_stop_other_jobs(self):
        async with open_site(workers=6) as site:
            site.simulation.run_time = LONG_RUN
            for number in range(8):
                await site.submit(f"beside-{number}", Step(1, SMALL))
            await site.wait_running("beside-7")
            worker = site.simulation.workers_by_id[site.running("beside-7")[0].worker]
            await worker.crash()
            site.register(worker, born=worker.born)
            await trio.sleep(0.3)
            await site.submit("small", Step(1, SMALL))
            await site.wait_running("small", within=STANDSTILL_SECONDS)
