"""Tests that nothing is ordered or accepted on a permission that has ended since it was checked."""

from datetime import timedelta
from random import Random
from unittest.mock import Mock

import trio
import trio.testing

from mimosapoint.cell import CellSettings, Submission
from mimosapoint.cell.tests._recorded_site import API_KEY, open_recorded_site
from mimosapoint.cell.tests._site import (
    CAPACITY,
    CONFIGURATION,
    POOL,
    QUEUES,
    SMALL,
    WIDE,
    open_site,
)
from mimosapoint.cell.worker_session import WorkerSession
from mimosapoint.errors import (
    MimosapointError,
    OutcomeUnknown,
    Overloaded,
    StoreTimeout,
    WorkerUnreachable,
)
from mimosapoint.memory import TrioClock
from mimosapoint.ports import RenewLeaseOrder, WorkerRegistration, WorkerRunReport
from mimosapoint.relay import RelayedWorkers
from mimosapoint.telemetry import MemoryTelemetry
from mimosapoint.testing import TrioTestCase
from mimosapoint.workload import CellConfiguration, CellWorkspace, Phase, Step

REGISTRATION = WorkerRegistration("w", "a:1", POOL, "z", "r", frozenset(), CAPACITY, born=1)
FEW_SECONDS = 3.0
"""Time after which a withdrawn zone and a revoked key must be out of use."""


def fail_commits(node):
    """Let commits of a node time out without effect until the returned list is cleared."""
    failing, commit = [True], node.store.commit

    async def commit_or_fail(conditions, writes=(), removals=()):
        if failing:
            await trio.sleep(0.45)
            raise StoreTimeout("no answer")
        return await commit(conditions, writes, removals)

    node.store.commit = commit_or_fail
    return failing


class SilentStarts:
    """Port to a worker that replies to renewals but to no start."""

    def __init__(self):
        self.starts_at = []

    async def renew_lease(self, worker, order):
        await trio.sleep(0.1)
        return WorkerRunReport(1000, 1, (), ())

    async def start(self, worker, order):
        self.starts_at.append(trio.current_time())
        await trio.sleep(0.8)
        raise WorkerUnreachable("no reply")


class EndingOwner:
    """Owner of a session whose ownership ends at a time."""

    def __init__(self, ends_at):
        self.crash_blame = Mock()
        self.ends_at = ends_at
        self.valid_until = TrioClock().now() + timedelta(seconds=ends_at - trio.current_time())

    def holds_ownership(self):
        return trio.current_time() < self.ends_at

    def may_start_on(self, worker):
        return self.holds_ownership()

    def fleet_size(self):
        return 1

    def __getattr__(self, name):
        return lambda *arguments: True


class HandoverTest(TrioTestCase):
    mock_clock = True

    async def test_a_start_is_not_repeated_after_the_end_of_the_ownership(self):
        """The owner is checked before the first order; the repetition follows 200 ms later."""
        async with open_site(workers=1) as site:
            job = await site.submit("a", Step(1, SMALL))
            await site.wait_running("a")
            unit = next(site.owner.cell.owner.job_table.active_units())
            workers, owner = SilentStarts(), EndingOwner(trio.current_time() + 0.5)
            session = WorkerSession(
                REGISTRATION, 1, workers, owner, TrioClock(), CellSettings(), MemoryTelemetry()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.run)
                await trio.sleep(0.4)
                task_run = session.create_task_run(unit, unit.tasks[0], 7)
                await session.start(task_run, unit.job.record, "")
                self.assertEqual(1, len(workers.starts_at), job)
                self.assertEqual(1, len(session.task_runs_by_key))
                nursery.cancel_scope.cancel()

    async def test_a_start_that_waited_for_the_store_is_checked_again(self):
        """It was ordered in a zone that had been withdrawn seconds before."""
        async with open_site(workers=3) as site:
            failing = fail_commits(site.owner)
            await site.submit("a", Step(3, WIDE, gang=True))
            await trio.sleep(0.5)
            site.store.put("op/out/z0", b"{}")
            await trio.sleep(FEW_SECONDS + 0.5)
            failing.clear()
            await trio.sleep(3)
            self.assertEqual([], site.runs("a"))

    async def test_a_start_that_waited_for_the_store_spares_a_draining_worker(self):
        async with open_site(workers=1) as site:
            failing = fail_commits(site.owner)
            await site.submit("a", Step(1, SMALL))
            await trio.sleep(0.5)
            site.register(site.simulation.workers_by_id["w0"], draining=True)
            await trio.sleep(FEW_SECONDS + 0.5)
            failing.clear()
            await trio.sleep(3)
            self.assertEqual([], site.runs("a"))

    async def test_orders_in_flight_at_a_planned_stop_take_effect_once(self):
        """Some starts wait for the store, others are on their way through relay nodes."""
        for delay in (0.0, 0.05, 0.15, 0.4, 0.9):
            with self.subTest(delay=delay):
                async with open_site(workers=6, settings=CellSettings(cores=0.1)) as site:
                    await trio.sleep(4)
                    site.store.faults.delay = 0.1
                    for number in range(6):
                        await site.submit(f"a{number}", Step(1, SMALL), Step(2, WIDE, gang=True))
                    await trio.sleep(delay)
                    site.owner.cell.leave()
                    for number in range(6):
                        await site.wait_phase(f"a{number}", Phase.COMPLETE, within=60)
                    runs = [len(site.runs(f"a{number}")) for number in range(6)]
                    self.assertEqual([3] * 6, runs)
                    self.assertEqual([], site.violations())

    async def test_an_order_that_a_relay_node_never_answers_fails(self):
        """The session of its worker waited for it without end, and renewed no lease."""
        relayed = RelayedWorkers(None, MemoryTelemetry())
        stream, other_end = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relayed.accept, stream)

            async def send_heartbeats():
                while True:
                    await other_end.send_all(b"\x00\x00\x00\x02[]")
                    await trio.sleep(0.5)

            nursery.start_soon(send_heartbeats)
            await trio.sleep(1)
            with trio.fail_after(6), self.assertRaises(WorkerUnreachable):
                await relayed.renew_lease(REGISTRATION, RenewLeaseOrder(1, None, 0))
            nursery.cancel_scope.cancel()


class PauseTest(TrioTestCase):
    """A process stops for some seconds between a check and what it permits."""

    mock_clock = True

    async def test_a_start_of_a_paused_owner_has_no_effect(self):
        for seconds in (0.3, 1.2, 4.0):
            with self.subTest(seconds=seconds):
                async with open_recorded_site(Random(1), workers=2) as site:
                    owner = site.any_owner
                    control = site.freeze_controls_by_node[owner.name]
                    control.actions_before_call["start"] = control.freeze
                    await site.submit("a", Step(1, SMALL))
                    await trio.sleep(0.1 + seconds)
                    control.thaw()
                    await site.wait_phase("a", Phase.COMPLETE)
                    self.assertEqual(1, len(site.runs("a")))
                    self.assertEqual([], site.violations())

    async def test_a_paused_relay_node_executes_no_old_order(self):
        async with open_recorded_site(
            Random(1), workers=4, settings=CellSettings(cores=0.1)
        ) as site:
            await trio.sleep(4)
            for node in site.nodes:
                if not node.is_owner:
                    control = site.freeze_controls_by_node[node.name]
                    control.actions_before_call["start"] = control.freeze
            await site.submit("a", Step(4, WIDE))
            await trio.sleep(4)
            for control in site.freeze_controls_by_node.values():
                control.thaw()
            await site.wait_phase("a", Phase.COMPLETE)
            self.assertEqual(4, len(site.runs("a")))
            self.assertEqual([], site.violations())

    async def test_a_write_that_is_repeated_is_refused_after_the_key_was_revoked(self):
        """The gateway went on for the time of the request, although it knew of the revocation."""
        async with open_site() as site:
            node = site.other
            failing = fail_commits(node)
            gateway = node.cell.gateway
            workspace = gateway.workspace_of(API_KEY)

            async def revoke():
                await trio.sleep(0.2)
                tenants = (CellWorkspace("t", frozenset()),)
                site.put_configuration(CellConfiguration(2, QUEUES, tenants))
                await trio.sleep(FEW_SECONDS + 0.2)
                failing.clear()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(revoke)
                submission = Submission("a", "spec", (Step(1, SMALL),))
                with self.assertRaises(OutcomeUnknown):
                    await gateway.submit(
                        QUEUES[1], workspace, submission, timedelta(seconds=2 * FEW_SECONDS)
                    )
            await trio.sleep(2)
            self.assertEqual([], site.runs("a"))

    async def test_a_paused_gateway_accepts_nothing_by_what_it_knew_before(self):
        async with open_recorded_site(Random(1), workers=2) as site:
            node = next(node for node in site.nodes if not node.is_owner)
            control = site.freeze_controls_by_node[node.name]
            control.actions_before_call["commit"] = control.freeze
            gateway, errors = node.cell.gateway, []
            workspace = gateway.workspace_of(API_KEY)

            async def submit():
                submission = Submission("a", "spec", (Step(1, SMALL),))
                try:
                    await gateway.submit(QUEUES[1], workspace, submission, timedelta(seconds=3))
                except MimosapointError as error:
                    errors.append(error)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.1)
                site.put_keys()
                await trio.sleep(FEW_SECONDS + 1)
                with self.assertRaises(Overloaded):
                    gateway.workspace_of(API_KEY)
                control.thaw()
            await trio.sleep(2)
            self.assertEqual(["outcome-unknown"], [error.code for error in errors])
            self.assertEqual([], site.runs("a"))
            self.assertEqual(CONFIGURATION.version + 1, gateway.configuration().version)
