"""Tests of one worker session with scripted replies of the worker."""

from datetime import timedelta
from itertools import pairwise
from unittest.mock import Mock

import attrs
import trio

from mimosapoint.cell.settings import CellSettings
from mimosapoint.cell.tests._site import CAPACITY, POOL
from mimosapoint.cell.worker_session import MAX_ENDS_PER_REPORT, WorkerSession
from mimosapoint.errors import StaleEpoch, WorkerUnreachable
from mimosapoint.memory import TrioClock
from mimosapoint.ports import EndedRun, WorkerRegistration, WorkerRunReport
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import RunEnd, TaskId

BORN = 5

REPLY_SECONDS = 0.1
"""Time that the scripted worker takes for a reply."""


class ScriptedWorkers:
    """Port to a worker whose reply is a report, or an error to raise."""

    def __init__(self, reply):
        self.reply = reply
        self.orders = []

    async def renew_lease(self, worker, order):
        self.orders.append(order)
        await trio.sleep(REPLY_SECONDS)
        reply = self.reply(order)
        if isinstance(reply, Exception):
            raise reply
        return reply


class OwnerStub:
    """Owner of a session that stores ends at once and records fences."""

    def __init__(self):
        self.storing_seconds = 0
        self.crash_blame = Mock()
        self.fenced_by = []
        self.ended = []
        self.valid_until = TrioClock().now() + timedelta(hours=1)

    def may_renew_leases(self):
        return True

    def fleet_size(self):
        return 1

    def has_spare_cpu(self):
        return True

    def request_decision(self):
        pass

    def on_silent(self, worker):
        pass

    def on_fenced(self, token):
        self.fenced_by.append(token)

    def on_unknown_run_ended(self, worker, ended):
        self.ended.append(ended)

    async def wait_ends_stored(self, ended):
        await trio.sleep(self.storing_seconds)


class WorkerSessionTest(TrioTestCase):
    mock_clock = True

    async def open_session(self, nursery, reply):
        owner, workers = OwnerStub(), ScriptedWorkers(reply)
        registration = WorkerRegistration(
            "w", "a:1", POOL, "z", "r", frozenset(), CAPACITY, born=BORN
        )
        session = WorkerSession(
            registration, 1, workers, owner, TrioClock(), CellSettings(), MemoryTelemetry()
        )
        nursery.start_soon(session.run)
        return session, owner, workers

    async def test_the_runs_are_known_only_after_a_report_without_omitted_ends(self):
        """A new owner must not start a task whose end is among the omitted ones."""
        ends = [
            EndedRun(number, TaskId("a", 0, 0, number), 7, RunEnd.DONE)
            for number in range(1, MAX_ENDS_PER_REPORT + 2)
        ]

        def reply(order):
            left = [ended for ended in ends if ended.number > order.acknowledged]
            return WorkerRunReport(1000, BORN, (), tuple(left[:MAX_ENDS_PER_REPORT]))

        async with trio.open_nursery() as nursery:
            session, owner, _ = await self.open_session(nursery, reply)
            await trio.sleep(0.15)
            self.assertEqual(MAX_ENDS_PER_REPORT, len(owner.ended))
            self.assertFalse(session.runs_known(session._clock.now()))
            await trio.sleep(0.15)
            self.assertEqual(len(ends), len(owner.ended))
            self.assertTrue(session.runs_known(session._clock.now()))
            nursery.cancel_scope.cancel()

    async def test_a_renewal_that_an_order_of_the_same_owner_overtakes_is_no_fence(self):
        """The session raises its token after a restart, while an older renewal is on its way."""
        async with trio.open_nursery() as nursery:
            first_token = []

            def reply(order):
                first_token[:] = first_token or [order.token]
                if session.registration.born > BORN and order.token == first_token[0]:
                    return StaleEpoch(order.token + 1)
                return WorkerRunReport(1000, session.registration.born, (), ())

            session, owner, workers = await self.open_session(nursery, reply)
            await trio.sleep(0.25)
            restarted = WorkerRegistration(
                "w", "a:1", POOL, "z", "r", frozenset(), CAPACITY, born=BORN + 1
            )
            session.update_registration(restarted)
            await trio.sleep(1)
            self.assertEqual([], owner.fenced_by)
            self.assertGreater(workers.orders[-1].token, first_token[0])
            nursery.cancel_scope.cancel()

    # Guards against ends that are dropped unseen, as the owner acknowledges to a new incarnation
    # the number of an end of the one before.
    async def test_ends_stored_during_a_restart_are_not_acknowledged_to_the_new_incarnation(self):
        done = EndedRun(7, TaskId("a", 0, 0, 0), 7, RunEnd.DONE)

        async with trio.open_nursery() as nursery:

            def reply(order):
                ended = () if session.registration.born > BORN else (done,)
                return WorkerRunReport(1000, session.registration.born, (), ended)

            session, owner, workers = await self.open_session(nursery, reply)
            owner.storing_seconds = 0.5
            await trio.sleep(0.3)
            session.update_registration(attrs.evolve(session.registration, born=BORN + 1))
            await trio.sleep(1)
            self.assertEqual({0}, {order.acknowledged for order in workers.orders})
            nursery.cancel_scope.cancel()

    # Guards against the same after a time without renewals, none of which has failed.
    async def test_a_worker_that_was_not_asked_for_seconds_gets_no_acknowledgement_at_first(self):
        done = EndedRun(7, TaskId("a", 0, 0, 0), 7, RunEnd.DONE)
        async with trio.open_nursery() as nursery:

            def reply(order):
                ended = () if order.acknowledged else (done,)
                return WorkerRunReport(1000, BORN, (), ended)

            session, owner, workers = await self.open_session(nursery, reply)
            await trio.sleep(0.55)
            self.assertEqual(7, workers.orders[-1].acknowledged)
            owner.may_renew_leases = lambda: False
            await trio.sleep(3)
            count = len(workers.orders)
            del owner.may_renew_leases
            await trio.sleep(0.5)
            numbers = [order.acknowledged for order in workers.orders[count:]]
            self.assertEqual([0, 7], numbers[:2])
            nursery.cancel_scope.cancel()

    async def test_a_renewal_that_a_newer_token_refuses_fences_the_owner(self):
        async with trio.open_nursery() as nursery:
            _, owner, _ = await self.open_session(nursery, lambda order: StaleEpoch(99))
            await trio.sleep(0.2)
            self.assertEqual([99], owner.fenced_by)
            nursery.cancel_scope.cancel()

    # Guards against renewals of a silent worker that come later than retry_delay, as they wait for
    # the reply to a start as well; its lease runs out meanwhile.
    async def test_renewals_of_a_silent_worker_do_not_wait_for_unanswered_starts(self):
        done = EndedRun(7, TaskId("a", 0, 0, 0), 7, RunEnd.DONE)
        async with trio.open_nursery() as nursery:
            silent_since = []

            def reply(order):
                if silent_since:
                    silent_since.append(trio.current_time())
                    return WorkerUnreachable("no reply")
                return WorkerRunReport(1000, BORN, (), () if order.acknowledged else (done,))

            session, _, workers = await self.open_session(nursery, reply)
            await trio.sleep(0.55)
            self.assertEqual(7, workers.orders[-1].acknowledged)
            session._orders._starts_in_flight = 1
            silent_since.append(trio.current_time())
            await trio.sleep(2)
            retry_seconds = CellSettings().retry_delay.total_seconds() + REPLY_SECONDS
            for earlier, later in pairwise(silent_since[1:]):
                self.assertAlmostEqual(retry_seconds, later - earlier)
            nursery.cancel_scope.cancel()

    async def test_a_worker_that_replies_only_now_and_then_is_found_flapping(self):
        """Gangs were placed on such a worker as soon as it replied again."""
        async with trio.open_nursery() as nursery:
            silent = []

            def reply(order):
                return WorkerUnreachable("no reply") if silent else WorkerRunReport(1, BORN, (), ())

            session, _, _ = await self.open_session(nursery, reply)
            for expected in (1, 2):
                await trio.sleep(2)
                silent.append(True)
                await trio.sleep(2)
                silent.clear()
                await trio.sleep(2)
                now = session._clock.now()
                self.assertEqual(expected, session.worker.stability.instability(now))
            self.assertEqual(1, session._telemetry.event_names().count("worker-unstable"))
            nursery.cancel_scope.cancel()
