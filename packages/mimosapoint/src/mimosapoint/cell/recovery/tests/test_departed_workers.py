"""Tests of the pattern "a worker leaves while the owner is lost": what proves that it is gone."""

from datetime import timedelta
from unittest import mock

import trio

from mimosapoint.cell.departure_proof import DepartureProver
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import SMALL, open_site
from mimosapoint.cell.worker_lease import unknown_lease_time
from mimosapoint.cell.worker_presence import WorkerPresence
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Phase, RunEnd, Step

STANDSTILL_SECONDS = 7.0
"""Longest time without a run after the last disturbance: 4 s that it excuses, and 3 s."""

RUN_SECONDS = 20

REPORT_SECONDS = 1.5
"""Interval of the workers' status reports."""

WATCH_TIMEOUT = CellSettings().watch_timeout


class DepartedWorkerTest(TrioTestCase):
    mock_clock = True

    async def start(self, site):
        """Start a run and return its worker, whose departure is announced."""
        site.simulation.run_time = timedelta(seconds=RUN_SECONDS)
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        worker = site.simulation.workers_by_id[site.running("a")[0].worker]
        site.register(worker, draining=True, leaves_at_ms=worker.clock_ms + 2000)
        await trio.sleep(REPORT_SECONDS)
        site.register(worker)
        await trio.sleep(2 - REPORT_SECONDS)
        return worker

    def faults_of(self, site, worker):
        return site.workers.network_faults_by_address[worker.registration.address]

    def remove(self, site, worker):
        """End a worker, which ends all that runs on it; its host refuses connections."""
        site.unregister(worker)
        self.faults_of(site, worker).not_listening = True
        worker.restart(worker.born + 1)

    async def assert_starts_again(self, site, within=STANDSTILL_SECONDS):
        with trio.fail_after(within):
            while not site.running("a"):
                await trio.sleep(0.05)
        self.assertEqual([RunEnd.LOST, None], [run.end for run in site.runs("a")])
        self.assertEqual([], site.violations())

    def logged_reasons(self, site, worker):
        """Return why the runs of a worker counted as over without a report."""
        events = [event for node in site.nodes for event in node.telemetry.events]
        return [
            event.fields["reason"]
            for event in events
            if event.name == "worker-known-unheard"
            and event.fields["worker"] == worker.registration.id
        ]

    # Guards against a task that stands still for 11 s, the longest lease, as the next owner waits
    # for a worker that has left.
    async def test_the_task_of_a_worker_that_has_left_starts_under_the_next_owner(self):
        for seconds in (-0.5, 0.1, 0.5):
            for is_planned in (False, True):
                with self.subTest(seconds=seconds, is_planned=is_planned):
                    async with open_site() as site:
                        worker, owner = await self.start(site), site.owner
                        if seconds > 0:
                            self.remove(site, worker)
                        await trio.sleep(abs(seconds))
                        owner.cell.leave() if is_planned else owner.kill()
                        if seconds < 0:
                            self.remove(site, worker)
                        await self.assert_starts_again(site)
                        self.assertEqual(["left"], self.logged_reasons(site, worker))

    # Guards against a departure that is not proven on an idle store, as watches that tell the
    # newest revision begin long before the last report and end long after the removal.
    async def test_a_departure_is_proven_at_each_phase_of_the_watches(self):
        for step in range(8):
            async with open_site(settings=CellSettings(watch_timeout=WATCH_TIMEOUT)) as site:
                await trio.sleep(step * WATCH_TIMEOUT.total_seconds() / 8)
                worker = await self.start(site)
                site.register(worker)
                await trio.sleep(REPORT_SECONDS - 0.1)
                self.remove(site, worker)
                site.owner.kill()
                with self.subTest(step=step):
                    await self.assert_starts_again(site)
                    self.assertEqual(["left"], self.logged_reasons(site, worker))

    # A crash looks like a worker that is cut off and refused, whose run may go on.
    async def test_a_worker_that_crashed_and_stays_away_is_known_once_its_lease_is_over(self):
        async with open_site() as site:
            worker = await self.start(site)
            self.faults_of(site, worker).not_listening = True
            worker.restart(worker.born + 1)
            site.owner.kill()
            await trio.sleep(4.5)
            site.unregister(worker)
            with trio.move_on_after(2.0):
                await self.assert_starts_again(site)
            self.assertEqual([RunEnd.LOST], [run.end for run in site.runs("a")])
            lease = unknown_lease_time(site.settings).total_seconds()
            await self.assert_starts_again(site, within=lease - 4.5)

    async def test_owners_in_a_row_and_orders_through_relays_find_it_too(self):
        for settings in (CellSettings(), CellSettings(cores=0.1)):
            with self.subTest(cores=settings.cores):
                async with open_site(nodes=6, settings=settings) as site:
                    await trio.sleep(5)
                    self.remove(site, await self.start(site))
                    for _ in range(3):
                        site.owner.kill()
                        with trio.fail_after(10):
                            while not any(node.is_owner for node in site.live_nodes):
                                await trio.sleep(0.05)
                        await trio.sleep(0.3)
                    await self.assert_starts_again(site)

    # Guards against a cell in which nothing starts while the histories of absent workers are read
    # from a slow store, as the registrations are not read meanwhile.
    async def test_slow_histories_of_absent_workers_delay_no_other_start(self):
        async def read_slowly(prover, worker):
            await trio.sleep(1)
            return False

        async with open_site(workers=8) as site:
            await trio.sleep(1)
            for number in range(6):
                worker = site.simulation.workers_by_id[f"w{number}"]
                site.unregister(worker)
                self.faults_of(site, worker).not_listening = True
            with mock.patch.object(DepartureProver, "has_left", read_slowly):
                site.owner.kill()
                await trio.sleep(3)
                await site.submit("b", Step(1, SMALL))
                await site.wait_running("b", within=0.5)

    async def play_unproven(self, site, is_registered, not_listening):
        """Let a worker run on of which one sign says that it has left; return the violations."""
        worker = await self.start(site)
        if not is_registered:
            site.unregister(worker)
        faults = self.faults_of(site, worker)
        faults.not_listening, faults.partitioned = not_listening, not not_listening
        for _ in range(3):
            site.owner.kill()
            site.add_node()
            await trio.sleep(2.5)
        faults.not_listening = faults.partitioned = False
        site.register(worker, draining=False)
        await site.wait_phase("a", Phase.COMPLETE, within=60)
        return site.violations()

    # The invariant of docs/design/recovery.md, with a version broken in each part of it.
    async def test_one_sign_of_a_departure_is_no_proof(self):
        broken_by_signs = {
            (False, False): lambda presence, now: presence.is_absent,
            (True, True): lambda presence, now: presence._not_listening_since is not None,
        }
        for signs, broken in broken_by_signs.items():
            with self.subTest(signs=signs):
                async with open_site() as site:
                    self.assertEqual([], await self.play_unproven(site, *signs))
                async with open_site() as site:
                    with mock.patch.object(WorkerPresence, "has_left", broken):
                        self.assertNotEqual([], await self.play_unproven(site, *signs))
