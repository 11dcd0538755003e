"""Tests of the pattern "two disturbances look like a departure": runs that go on out of sight."""

from datetime import timedelta
from unittest import mock

import trio

from mimosapoint.cell import departure_proof
from mimosapoint.cell.departure_proof import DepartureProver
from mimosapoint.cell.keys import ROSTER_KEY
from mimosapoint.cell.revision_times import RevisionTimes
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.codec import decode, encode
from mimosapoint.errors import StoreUnavailable
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import RunEnd, Step

RUN_SECONDS = 12
"""Longer than the time for which the worker is out of sight."""

SILENCE_SECONDS = 4.5
"""Time after which the platform removes the entry of a silent worker."""

UNSEEN_SECONDS = 5
"""Time for which a worker is out of sight; shorter than its lease."""


class UnreachableWorkerTest(TrioTestCase):
    mock_clock = True

    async def start(self, site):
        """Start a run and return its worker."""
        site.simulation.run_time = timedelta(seconds=RUN_SECONDS)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        return site.simulation.workers_by_id[site.running("a")[0].worker]

    def faults_of(self, site, worker):
        return site.workers.network_faults_by_address[worker.registration.address]

    async def assert_runs_once(self, site):
        with trio.fail_after(RUN_SECONDS + 5):
            while site.running("a"):
                await trio.sleep(0.1)
        self.assertEqual([], site.violations())
        self.assertEqual([RunEnd.DONE], [run.end for run in site.runs("a")])

    async def play_out_of_sight(self, site, delay, is_draining=False):
        """Let a worker lose the store, then refuse connections, then the owner end."""
        await trio.sleep(5)
        worker = await self.start(site)
        if is_draining:
            site.register(worker, draining=True)
            await trio.sleep(SILENCE_SECONDS)
        site.unregister(worker)
        self.faults_of(site, worker).not_listening = True
        await trio.sleep(delay)
        site.owner.kill()
        await trio.sleep(UNSEEN_SECONDS - delay)
        self.faults_of(site, worker).not_listening = False
        site.register(worker)

    # Guards against a task that runs twice: the next owner took a worker for gone that had lost the
    # store and whose connections were refused, while its run went on.
    async def test_a_run_goes_on_alone_on_a_worker_that_is_absent_and_refuses_connections(self):
        for settings in (CellSettings(), CellSettings(cores=0.1)):
            for delay in (0.0, 0.2, 1.0, 2.0):
                for is_draining in (False, True):
                    with self.subTest(cores=settings.cores, delay=delay, is_draining=is_draining):
                        async with open_site(nodes=6, settings=settings) as site:
                            await self.play_out_of_sight(site, delay, is_draining)
                            await self.assert_runs_once(site)

    # The test above, with a version that takes each removal of an announced departure for its end.
    async def test_the_time_of_a_removal_belongs_to_the_proof_of_a_departure(self):
        with mock.patch.object(departure_proof, "REPORTS_BEFORE_REMOVAL", 10):
            async with open_site() as site:
                await self.play_out_of_sight(site, 0.2, is_draining=True)
                await trio.sleep(RUN_SECONDS)
                self.assertNotEqual([], site.violations())

    # Guards against a task that runs twice: the next owner took the reply at an earlier address of
    # a worker, from the roster, for its end.
    async def test_a_run_goes_on_alone_on_a_worker_whose_earlier_address_has_another_user(self):
        async with open_site(workers=2) as site:
            await self.restart_elsewhere(site)
            worker = await self.start(site)
            await trio.sleep(1)
            site.unregister(worker)
            site.owner.kill()
            await trio.sleep(UNSEEN_SECONDS)
            site.register(worker)
            await self.assert_runs_once(site)

    async def restart_elsewhere(self, site):
        """Restart all workers at other addresses; others use the earlier ones."""
        for worker in site.simulation.workers_by_id.values():
            self.faults_of(site, worker).wrong_incarnation = True
            worker.restart(worker.born + 1)
            address = f"{worker.registration.address}0"
            site.workers.add_at(address, worker)
            site.register(worker, address=address, born=worker.born)
        await trio.sleep(3)

    # Guards against a task that runs twice: the owner took a reply at the address in a late report
    # of an earlier incarnation for the end of the present one.
    async def test_a_run_goes_on_alone_on_a_worker_with_a_late_report_of_an_earlier_one(self):
        async with open_site() as site:
            first = {
                worker.registration.id: worker.registration
                for worker in site.simulation.workers_by_id.values()
            }
            await self.restart_elsewhere(site)
            worker = await self.start(site)
            present, late = worker.registration, first[worker.registration.id]
            site.register(worker, address=late.address, born=late.born)
            await trio.sleep(1.5)
            site.register(worker, address=present.address, born=present.born)
            await self.assert_runs_once(site)

    # Guards against a task that runs twice: the next owner took the late report of an earlier
    # incarnation, which announced its departure, for that of the one that had the run.
    async def test_a_run_goes_on_alone_on_a_worker_of_which_an_earlier_incarnation_has_left(self):
        async with open_site() as site:
            for worker in site.simulation.workers_by_id.values():
                worker.restart(worker.born + 1)
                site.register(worker, born=worker.born)
            await trio.sleep(3)
            worker = await self.start(site)
            await trio.sleep(1)
            site.register(worker, born=worker.born - 1, draining=True)
            await trio.sleep(0.3)
            site.unregister(worker)
            self.faults_of(site, worker).not_listening = True
            site.owner.kill()
            await trio.sleep(UNSEEN_SECONDS)
            self.faults_of(site, worker).not_listening = False
            site.register(worker, born=worker.born, draining=False)
            await self.assert_runs_once(site)

    # Guards against a task that runs twice: the next owner took an entry that was removed during an
    # outage for that of a worker that has left, as only its reads of the registrations had failed.
    async def test_a_run_goes_on_alone_on_a_worker_whose_entry_is_removed_in_an_outage(self):
        async with open_site() as site:
            await trio.sleep(3)
            worker = await self.start(site)
            site.register(worker, draining=True)
            self.faults_of(site, worker).not_listening = True
            site.owner.kill()
            for node in site.live_nodes:
                node.store.unread_prefix = "workers/"
            await trio.sleep(1.6)
            site.unregister(worker)
            await trio.sleep(0.3)
            for node in site.live_nodes:
                node.store.unread_prefix = ""
            await trio.sleep(UNSEEN_SECONDS - 2)
            self.faults_of(site, worker).not_listening = False
            site.register(worker, draining=False)
            await self.assert_runs_once(site)

    # Guards against a task that runs twice: as the registrations could not be read, the next owner
    # took a worker for one without a registration, and a reply at an earlier address for its end.
    async def test_a_run_goes_on_alone_while_the_registrations_are_not_read(self):
        async with open_site(workers=2) as site:
            await trio.sleep(1)
            worker = await self.start(site)
            entry = next(e for e in (await site.store.scan("cell/")).entries if e.key == ROSTER_KEY)
            earlier = f"{worker.registration.address}0"
            site.workers.add_at(earlier, worker)
            site.workers.network_faults_by_address[earlier].wrong_incarnation = True
            roster = decode(entry.value, list)
            for item in roster:
                if item["id"] == worker.registration.id:
                    item["address"] = earlier
            site.store.put(ROSTER_KEY, encode(roster))
            site.owner.kill()
            for node in site.live_nodes:
                node.store.unread_prefix = "workers/"
            await trio.sleep(2.5)
            self.faults_of(site, worker).partitioned = True
            for node in site.live_nodes:
                node.store.unread_prefix = ""
            await trio.sleep(1)
            self.faults_of(site, worker).partitioned = False
            await self.assert_runs_once(site)

    # Guards against a bound over an outage that only the reads of histories saw.
    async def test_a_failed_read_of_a_history_ends_the_bounds_on_revisions(self):
        async def refuse(prover, worker):
            raise StoreUnavailable("refused")

        async with open_site() as site:
            worker = await self.start(site)
            site.unregister(worker)
            self.faults_of(site, worker).not_listening = True
            with (
                mock.patch.object(DepartureProver, "has_left", refuse),
                mock.patch.object(RevisionTimes, "record_failure") as record_failure,
            ):
                site.owner.kill()
                await trio.sleep(2.5)
            record_failure.assert_called()
