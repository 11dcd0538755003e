"""Tests of the pattern "late orders of a suspended owner": no lease outlasts what is assumed."""

from datetime import timedelta
from unittest.mock import Mock, patch

import trio

from mimosapoint.cell.order_token import OrderTokens
from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, POOL, SMALL, open_site
from mimosapoint.cell.worker_lease import MILLISECOND, WorkerLease
from mimosapoint.cell.worker_orders import WorkerOrders
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.memory import TrioClock
from mimosapoint.ports import WorkerRegistration, WorkerRunReport
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import Step

SETTINGS = CellSettings()

SECOND = timedelta(seconds=1)

RUN_SECONDS = 60
"""Longer than all leases."""

SUSPENSIONS = (0, 0.5, 6, 20)
"""Times for which a process is suspended, in seconds."""


class SuspendedOwner:
    """Owner with its clock and its port to one worker, suspended once after it checked an order.

    :param suspension: time for which it is suspended.
    """

    def __init__(self, suspension):
        self.orders = []
        self.crash_blame = Mock()
        self._suspension = suspension
        self._clock = TrioClock()
        self._worker_began_at = self._clock.now() - 30 * SECOND

    def now(self):
        return self._clock.now()

    @property
    def clock_ms(self):
        return int((self.now() - self._worker_began_at) / MILLISECOND)

    def time_of(self, clock_ms):
        return self._worker_began_at + clock_ms * MILLISECOND

    def may_renew_leases(self):
        is_permitted = self.now() < self.valid_until + SETTINGS.orphan_renewal_time
        if is_permitted and self.orders:
            self._suspend()
        return is_permitted

    def may_start_on(self, worker):
        is_permitted = self.now() < self.valid_until
        self._suspend()
        return is_permitted

    def _suspend(self):
        clock, suspension = self._clock, self._suspension
        self._clock = Mock(now=lambda: clock.now() + suspension)

    def fleet_size(self):
        return 1

    def has_spare_cpu(self):
        return False

    def on_run_confirmed(self, task_run):
        pass

    def request_decision(self):
        pass

    async def renew_lease(self, worker, order):
        self.orders.append(order)
        await trio.sleep(0.1)
        return WorkerRunReport(self.clock_ms, 1)

    async def start(self, worker, order):
        self.orders.append(order)
        return self.clock_ms


class LeaseBoundTest(TrioTestCase):
    mock_clock = True

    async def start(self, site):
        """Start a long run on a worker that has ended another one, and return the worker's id."""
        site.simulation.run_time = SECOND / 2
        await site.submit("before", Step(1, SMALL))
        await trio.sleep(3)
        site.simulation.run_time = RUN_SECONDS * SECOND
        await site.submit("a", Step(1, SMALL))
        await site.wait_running("a")
        return site.running("a")[0].worker

    def separate(self, site, worker):
        """Cut the store and the other nodes off from the owner and a worker."""
        old = site.owner
        for node in site.nodes:
            if node is not old:
                node.workers.unreachable.add(worker)
        old.workers.unreachable.update(set(site.simulation.workers_by_id) - {worker})
        old.store.fault = "silent"
        return old.cell.owner

    # Guards against a task that runs twice: the owner without the store was suspended after it had
    # checked that it may renew leases, and then gave one that the next owner does not wait for.
    async def test_a_run_goes_on_alone_while_an_owner_without_the_store_is_suspended(self):
        async with open_site(workers=1) as site:
            worker = await self.start(site)
            site.add_worker(1)
            await trio.sleep(2)
            owner = self.separate(site, worker)
            await trio.sleep(1)
            self.assertFalse(owner.holds_ownership())
            renewals_end = owner.valid_until + site.settings.orphan_renewal_time

            async def wait_suspended():
                if owner.now() > renewals_end - 1.5 * SECOND:
                    await trio.sleep((renewals_end + 3.5 * SECOND - owner.now()) / SECOND)

            orders = owner.fleet.sessions_by_id[worker]._orders
            with patch.object(orders, "wait_answered", wait_suspended):
                await trio.sleep(25)
            self.assertEqual(2, len(site.runs("a")))
            self.assertEqual([], site.violations())

    # Guards against the same for each order that extends a lease, however long the suspension is.
    async def test_no_order_extends_a_lease_beyond_what_the_next_owner_assumes(self):
        for play in (self.play_renewal, self.play_start):
            for suspended in SUSPENSIONS:
                with self.subTest(play=play.__name__, suspended=suspended):
                    owner = SuspendedOwner(timedelta(seconds=suspended))
                    deadline, latest = await play(owner)
                    self.assertLessEqual(owner.time_of(deadline), latest)
                    if not suspended:
                        self.assertGreater(owner.time_of(deadline), latest - SECOND / 5)

    async def play_renewal(self, owner):
        """Return the deadline of a renewal that was checked just in time, and the latest one."""
        async with trio.open_nursery() as nursery:
            registration = WorkerRegistration("w", "a:1", POOL, "z", "r", frozenset(), CAPACITY)
            session = WorkerSession(
                registration, 1, owner, owner, owner, SETTINGS, MemoryTelemetry()
            )
            owner.valid_until = owner.now() - SETTINGS.orphan_renewal_time + SECOND / 5
            nursery.start_soon(session.run)
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        latest = owner.valid_until + SETTINGS.orphan_renewal_time + SETTINGS.worker_lease
        return owner.orders[1].lease_until_ms, latest

    async def play_start(self, owner):
        """Return the deadline of a start that was checked just in time, and the latest one."""
        lease = WorkerLease(owner, SETTINGS, born=1)
        lease.record_clock(owner.clock_ms, born=1)
        session = Mock(tokens=OrderTokens(1, 1))
        session.worker.is_over_capacity = False
        task_run = Mock(stopping=False)
        orders = WorkerOrders(session, lease, owner, owner, owner, SETTINGS, MemoryTelemetry())
        owner.valid_until = owner.now() + SECOND / 10
        await orders.start(task_run, Mock(), "")
        self.assertEqual(task_run.not_after_ms, owner.orders[0].not_after_ms)
        return task_run.not_after_ms, owner.valid_until + SETTINGS.start_window
